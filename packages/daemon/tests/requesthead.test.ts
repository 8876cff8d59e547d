import { test } from 'node:test';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { createMemoryBudget } from '@bergamotreach/hosting';
import {
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  splitAddress,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startHttpServer } from '../src/httpserver.ts';
import { computeHeldBytes, createHeadFilter, createParserLoad } from '../src/requesthead.ts';

const maxBytes = 65_536;

function createRequest(lines: number, changes: Partial<IncomingMessage> = {}): IncomingMessage {
  const names = Array.from({ length: lines }, (_, index) => `X-${index}`);
  return {
    url: '/',
    rawHeaders: [...names.flatMap((name) => [name, 'v']), 'Api-Key', 'k1'],
    headers: {
      ...Object.fromEntries(names.map((name) => [name.toLowerCase(), 'v'])),
      'api-key': 'k1',
    },
    complete: false,
    once: () => undefined,
    ...changes,
  } as unknown as IncomingMessage;
}

// Guards against header lines that are held, and not counted, while their request waits.
test('only the header lines that are used are held', () => {
  const request = createRequest(1000);
  const before = computeHeldBytes(request);
  createHeadFilter(['api-key'])(request);
  expect([request.rawHeaders, request.headers]).toEqual([['Api-Key', 'k1'], { 'api-key': 'k1' }]);
  expect([before > 256_000, computeHeldBytes(request) < 300]).toEqual([true, true]);
});

// Guards against lines of a head that never ends and costs more than its bytes.
test('a head and trailers count while they arrive, a body does not', () => {
  const load = createParserLoad(maxBytes);
  const lines = Buffer.from('a:\r\n'.repeat(1024));
  load.addBytes(lines);
  load.addBytes(lines);
  expect(load.getHeldBytes()).toEqual(2 * (4096 + 1024 * 256));
  load.startRequest(createRequest(1, { headers: { 'content-length': '9' } }));
  load.addBytes(lines);
  expect(load.getHeldBytes()).toEqual(0);
  load.startRequest(createRequest(1, { headers: { 'transfer-encoding': 'chunked' } }));
  load.addBytes(lines);
  expect(load.getHeldBytes()).toEqual(2 * (4096 + 1024 * 256));
  for (let slice = 0; slice < 100; slice += 1) load.addBytes(lines);
  expect(load.getHeldBytes()).toEqual(maxBytes + (maxBytes / 4) * 256);
});

// Guards against a head that does not count since it begins behind a whole request.
test('a head counts from the slice in which the request before it ends', () => {
  const load = createParserLoad(maxBytes);
  const lines = Buffer.from('a:\r\n'.repeat(1024));
  load.addBytes(lines);
  load.startRequest(createRequest(1, { complete: true }));
  load.addBytes(lines);
  expect(load.getHeldBytes()).toEqual(2 * (4096 + 1024 * 256));
  load.addBytes(Buffer.from('\r\n'));
  load.startRequest(createRequest(1, { complete: true }));
  expect(load.getHeldBytes()).toEqual(2 + 256);
});

// Guards against lines beyond the thousandth that are dropped without a word.
test('a header line behind 4,000 others reaches the handler', async () => {
  const clock = createSystemClock();
  const server = await startHttpServer({
    ...{ address: '127.0.0.1:0', name: 'callers', usedHeaders: ['api-key'] },
    budget: createMemoryBudget({ clock, maxBytes: 16_777_216 }),
    ...{ logger: createNullLogger(), metrics: createNullMetrics() },
    handler: (request, response) => response.end(`key ${String(request.headers['api-key'])}`),
  });
  const socket = connect(splitAddress(server.address));
  const lines = 'a:\r\n'.repeat(4000);
  socket.write(`GET / HTTP/1.1\r\n${lines}host: h\r\napi-key: k1\r\nconnection: close\r\n\r\n`);
  let answer = '';
  socket.on('data', (chunk: Buffer) => {
    answer += chunk.toString();
  });
  await once(socket, 'close');
  server.closeNow();
  expect(answer).toInclude('key k1');
});
