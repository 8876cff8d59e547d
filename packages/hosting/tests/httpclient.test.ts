import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { expect } from 'earl';
import { ExchangeLimit, ExchangeStatus, createHttpClient } from '../src/index.ts';
import type { Exchange } from '../src/index.ts';

// Longer than the resolution of undici's own timers.
const responseDelayMs = 2500;

async function runWithServer(run: (origin: string) => Promise<void>): Promise<void> {
  const server = createServer((_request, response) => {
    setTimeout(() => response.end('late'), responseDelayMs);
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

// Guards against ending a long call at the shorter timeout of the client.
test('the timeout of a call overrides that of the client', async () => {
  await runWithServer(async (origin) => {
    const client = createHttpClient({ origin, connections: 1, timeoutMs: 100 });
    const longer = await client.send('GET', '/', undefined, { timeoutMs: 5000 });
    const { transfer, ...answer } = longer;
    expect(answer).toEqual({ status: ExchangeStatus.Answered, code: 200, body: 'late' });
    expect([transfer.receivedBytes, transfer.limit]).toEqual([4, ExchangeLimit.None]);
    const shorter = await client.send('GET', '/');
    expect(shorter.status).toEqual(ExchangeStatus.Lost);
    await client.abort();
  });
});

/** Runs a server that stops responding on the connections opened before `stopResponding` is called. */
async function runWithUnresponsiveServer(
  run: (origin: string, stopResponding: () => void) => Promise<void>,
): Promise<void> {
  let openedConnections = 0;
  let unresponsiveUpTo = 0;
  const connectionNumbers = new WeakMap<object, number>();
  const server = createServer((request, response) => {
    if ((connectionNumbers.get(request.socket) ?? 0) > unresponsiveUpTo) response.end('ok');
  });
  server.on('connection', (socket) => {
    openedConnections += 1;
    connectionNumbers.set(socket, openedConnections);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const stopResponding = (): void => {
    unresponsiveUpTo = openedConnections;
  };
  try {
    await run(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, stopResponding);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

// Guards against consecutive timeouts when each retry uses another dead connection of the pool: an
// owner received no new jobs for 1.3 s after its connections to the store had stopped responding.
test('one lost response replaces all connections', async () => {
  await runWithUnresponsiveServer(async (origin, stopResponding) => {
    const client = createHttpClient({
      origin,
      connections: 4,
      timeoutMs: 5000,
      minTimeoutMs: 100,
    });
    const sendFour = () => Promise.all([1, 2, 3, 4].map(() => client.send('GET', '/')));
    for (let round = 0; round < 6; round += 1) await sendFour();
    stopResponding();
    expect((await client.send('GET', '/')).status).toEqual(ExchangeStatus.Lost);
    const next = await sendFour();
    expect(next.map(({ status }) => status)).toEqual(
      Array.from({ length: 4 }, () => ExchangeStatus.Answered),
    );
    await client.abort();
  });
});

// Guards against an adaptive timeout that ends a call during its long poll.
test('the long-poll time is added to the timeout', async () => {
  await runWithServer(async (origin) => {
    const client = createHttpClient({
      origin,
      connections: 1,
      timeoutMs: 300,
      minTimeoutMs: 100,
    });
    const waiting = await client.send('GET', '/', undefined, { waitMs: responseDelayMs });
    expect(waiting.status).toEqual(ExchangeStatus.Answered);
    await client.abort();
  });
});

const partMs = 60;
const partCount = 15;

/** Sends a response in parts; it stops after `sentParts` of them. */
async function runWithSlowParts(
  sentParts: number,
  run: (origin: string) => Promise<void>,
): Promise<void> {
  const server = createServer((request, response) => {
    if (request.url === '/small') {
      response.end('ok');
      return;
    }
    let parts = 0;
    const timer = setInterval(() => {
      parts += 1;
      if (parts <= sentParts) response.write('x'.repeat(1000));
      if (parts < partCount) return;
      clearInterval(timer);
      if (sentParts === partCount) response.end();
    }, partMs);
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

async function readParts(origin: string): Promise<Exchange> {
  const client = createHttpClient({ origin, connections: 2, timeoutMs: 1200, minTimeoutMs: 300 });
  for (let call = 0; call < 10; call += 1) await client.send('GET', '/small');
  const exchange = await client.send('GET', '/');
  await client.abort();
  return exchange;
}

// Guards against ending a response that arrives for longer than the timeout.
test('a response is read to its end while its bytes arrive', async () => {
  await runWithSlowParts(partCount, async (origin) => {
    const exchange = await readParts(origin);
    expect([exchange.status, exchange.transfer.receivedBytes]).toEqual([
      ExchangeStatus.Answered,
      partCount * 1000,
    ]);
  });
});

// Guards against waiting for the rest of a response whose connection has gone silent.
test('a response that stops is given up', async () => {
  await runWithSlowParts(3, async (origin) => {
    const exchange = await readParts(origin);
    const { limit, receivedBytes } = exchange.transfer;
    expect([exchange.status, limit, receivedBytes]).toEqual([
      ExchangeStatus.Lost,
      ExchangeLimit.Gap,
      3000,
    ]);
  });
});

// Guards against a backoff that lasts while all long polls are answered before their time.
test('an early answer to a long poll ends the backoff', async () => {
  let isSilent = false;
  const server = createServer((_request, response) => {
    if (!isSilent) response.end('ok');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createHttpClient({ origin, connections: 1, timeoutMs: 1200, minTimeoutMs: 200 });
  for (let call = 0; call < 20; call += 1) await client.send('GET', '/');
  const measureSilence = async (): Promise<number> => {
    isSilent = true;
    const { transfer } = await client.send('GET', '/');
    isSilent = false;
    return transfer.durationMs;
  };
  await measureSilence();
  await measureSilence();
  const backedOffMs = await measureSilence();
  const early = await client.send('GET', '/', undefined, { waitMs: 5000 });
  const silenceMs = await measureSilence();
  await client.abort();
  server.closeAllConnections();
  server.close();
  expect(early.status).toEqual(ExchangeStatus.Answered);
  expect(silenceMs < backedOffMs).toEqual(true);
});
