import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { createMemoryBudget } from '@bergamotreach/hosting';
import {
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  splitAddress,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startHttpServer } from '../src/httpserver.ts';

const requests = 5;
const pauseMs = 200;

// Guards against requests ahead that are held for good, since Node.js ends only the one whose answer is due.
test('a closed connection ends all of its requests', async () => {
  const responses: ServerResponse[] = [];
  let closes = 0;
  const server = await startHttpServer({
    address: '127.0.0.1:0',
    name: 'callers',
    usedHeaders: [],
    budget: createMemoryBudget({ clock: createSystemClock(), maxBytes: Infinity }),
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    handler: (_request, response) => {
      responses.push(response);
      response.on('close', () => {
        closes += 1;
      });
    },
  });
  try {
    const socket = connect(splitAddress(server.address));
    socket.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(requests));
    await wait(pauseMs);
    expect(server.countOpen().requests).toEqual(requests);
    socket.destroy();
    await once(socket, 'close');
    await wait(pauseMs);
    // Answers that are ready too late must harm nothing.
    for (const response of responses) response.end('late');
    await wait(pauseMs);
    expect(server.countOpen()).toEqual({ connections: 0, requests: 0 });
    expect(closes).toEqual(requests);
  } finally {
    server.closeNow();
  }
});
