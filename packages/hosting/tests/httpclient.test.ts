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

/** A server whose connections, once they have gone silent, swallow requests; new ones work. */
async function runWithSilentServer(
  run: (origin: string, markSilent: () => void) => Promise<void>,
): Promise<void> {
  let opened = 0;
  let silentUpTo = 0;
  const numbers = new WeakMap<object, number>();
  const server = createServer((request, response) => {
    if ((numbers.get(request.socket) ?? 0) > silentUpTo) response.end('ok');
  });
  server.on('connection', (socket) => {
    opened += 1;
    numbers.set(socket, opened);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const markSilent = (): void => {
    silentUpTo = opened;
  };
  try {
    await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, markSilent);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

// Guards against calls that time out one after the other because each takes another connection that
// went silent: an owner saw no new jobs for 1.3 s after its connections to the store went silent.
test('one lost answer replaces all connections', async () => {
  await runWithSilentServer(async (origin, markSilent) => {
    const client = createHttpClient({
      origin,
      connections: 4,
      timeoutMs: 5000,
      learnedTimeoutMs: 100,
    });
    const sendFour = () => Promise.all([1, 2, 3, 4].map(() => client.send('GET', '/')));
    for (let round = 0; round < 6; round += 1) await sendFour();
    markSilent();
    expect((await client.send('GET', '/')).status).toEqual(ExchangeStatus.Lost);
    const next = await sendFour();
    expect(next.map(({ status }) => status)).toEqual(
      Array.from({ length: 4 }, () => ExchangeStatus.Answered),
    );
    await client.abort();
  });
});

// Guards against a learned timeout that ends a call while the service holds its answer back.
test('the time that a service may hold an answer comes on top', async () => {
  await runWithServer(async (origin) => {
    const client = createHttpClient({
      origin,
      connections: 1,
      timeoutMs: 300,
      learnedTimeoutMs: 100,
    });
    const waiting = await client.send('GET', '/', undefined, { waitMs: answerAfterMs });
    expect(waiting.status).toEqual(ExchangeStatus.Answered);
    await client.abort();
  });
});
