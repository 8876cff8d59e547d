import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { ExchangeStatus, createHttpClient } from '../src/index.ts';

// Longer than the resolution of the timers of the HTTP library.
const answerAfterMs = 2500;

async function runWithServer(run: (origin: string) => Promise<void>): Promise<void> {
  const server = createServer((_request, response) => {
    setTimeout(() => response.end('late'), answerAfterMs);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  try {
    await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

// Guards against calls that wait on purpose and are cut off by the shorter timeout of their client.
test('timeout of a call replaces that of its client', async () => {
  await runWithServer(async (origin) => {
    const client = createHttpClient({ origin, connections: 1, timeoutMs: 100 });
    const longer = await client.send('GET', '/', undefined, { timeoutMs: 5000 });
    expect(longer).toEqual({ status: ExchangeStatus.Answered, code: 200, body: 'late' });
    const shorter = await client.send('GET', '/');
    expect(shorter.status).toEqual(ExchangeStatus.Lost);
    await client.abort();
  });
});
