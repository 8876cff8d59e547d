import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';
import { createMemoryBudget } from '@bergamotreach/hosting';
import {
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  splitAddress,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startHttpServer } from '../src/httpserver.ts';

const requests = 20;
const answerBytes = 65_536;

/** Sends requests of 3 KB each at once and reads the answers only afterwards; returns the bytes of all answers. */
async function sendAhead(maxAhead: number): Promise<number> {
  const clock = createSystemClock();
  const server = await startHttpServer({
    address: '127.0.0.1:0',
    name: 'callers',
    usedHeaders: [],
    budget: createMemoryBudget({ clock, maxBytes: Infinity }),
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    maxAhead,
    handler: (_request, response) => response.end(Buffer.alloc(answerBytes)),
  });
  const socket = connect(splitAddress(server.address));
  socket.on('error', () => undefined).pause();
  const head = `GET / HTTP/1.1\r\nhost: h\r\nx-padding: ${'p'.repeat(3000)}\r\n`;
  socket.write(`${head}\r\n`.repeat(requests - 1) + `${head}connection: close\r\n\r\n`);
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  socket.resume();
  await once(socket, 'close');
  server.closeNow();
  return bytes;
}

// Guards against requests that are lost, or end the process, when the listener stops reading in the middle of what
// it has received because answers wait to be read.
test('requests sent ahead are all answered though their answers fill the connection', async () => {
  expect((await sendAhead(requests)) >= requests * answerBytes).toEqual(true);
});

// Guards against a bound on requests ahead that does not hold.
test('a connection with more requests ahead than allowed is closed', async () => {
  expect((await sendAhead(4)) < requests * answerBytes).toEqual(true);
});
