import { test } from 'node:test';
import { expect } from 'earl';
import { FaultCode, getOutcome, Outcome } from '@bergamotreach/protocol';
import { AnswerKind, createRoutingConfig } from '../src/index.ts';
import type { CallerAnswer } from '../src/index.ts';
import {
  createRequest,
  createTestRouter,
  formatAnswer,
  startHttpEndpoint,
  startRawEndpoint,
} from './fakes.ts';
import type { FakeEndpoint, RawRequestHandler, TestRouter } from './fakes.ts';

function getText(answer: CallerAnswer): string {
  return answer.kind === AnswerKind.Answer ? answer.body.toString() : answer.fault.code;
}

function getOutcomeOf(answer: CallerAnswer): string {
  return answer.kind === AnswerKind.Answer ? 'answer' : getOutcome(answer.fault);
}

async function runWithRouter(
  endpoints: FakeEndpoint[],
  run: (parts: TestRouter) => Promise<void>,
  config = createRoutingConfig(),
): Promise<void> {
  const parts = createTestRouter(endpoints, config);
  try {
    await run(parts);
    await parts.router.waitIdle();
  } finally {
    parts.router.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  }
}

const brokenEndpoints: Record<string, RawRequestHandler> = {
  truncated: (socket) => {
    socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
  },
  truncatedChunk: (socket) => {
    socket.end(
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n5\r\nhal',
    );
  },
  unframed: (socket) => {
    socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
  },
  reset: (socket) => {
    socket.resetAndDestroy();
  },
  lost: (socket) => {
    socket.end();
  },
  stale: (socket) => {
    socket.write(formatAnswer('of another request', { 'x-request-id': 'another' }));
  },
  garbage: (socket) => {
    socket.end('not http at all\r\n\r\n');
  },
  tooLarge: (socket) => {
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n');
  },
};

for (const [name, behave] of Object.entries(brokenEndpoints)) {
  // Guards against a broken answer that is passed on as complete, and against a second run.
  test(`a ${name} answer to a non-idempotent request is unknown and never retried`, async () => {
    const endpoint = await startRawEndpoint('e1', behave);
    await runWithRouter([endpoint], async ({ router }) => {
      const request = createRequest({ isIdempotent: false });
      expect(getText(await router.handleRequest(request))).toEqual(FaultCode.UnknownOutcome);
      expect(getText(await router.handleRequest(request))).toEqual(FaultCode.UnknownOutcome);
      expect(endpoint.receivedIds).toEqual([request.requestId]);
    });
  });

  // Guards against a fault for a request that another endpoint could have answered.
  test(`a ${name} answer to an idempotent request is retried elsewhere`, async () => {
    const broken = await startRawEndpoint('e1', behave);
    const good = await startHttpEndpoint('e2', (_request, response) => response.end('good'));
    await runWithRouter([broken, good], async ({ router }) => {
      const answers = [];
      for (let count = 0; count < 2; count += 1) {
        answers.push(getText(await router.handleRequest(createRequest())));
      }
      expect(answers).toEqual(['good', 'good']);
    });
  });
}

// Guards against an answer that is delivered to the wrong caller on a reused connection.
test('a duplicated answer never reaches the next caller', async () => {
  const endpoint = await startRawEndpoint(
    'e1',
    (socket, id) => {
      const answer = formatAnswer(id, { 'x-request-id': id });
      socket.write(answer);
      // Arrives while the next exchange is in progress.
      setTimeout(() => socket.write(answer), 5);
    },
    1,
  );
  await runWithRouter([endpoint], async ({ router }) => {
    const requests = Array.from({ length: 60 }, () => createRequest());
    const answers = await Promise.all(requests.map((request) => router.handleRequest(request)));
    answers.forEach((answer, index) => {
      if (answer.kind === AnswerKind.Answer) {
        expect(getText(answer)).toEqual(requests[index]!.requestId);
      }
    });
    expect(answers.filter((answer) => answer.kind === AnswerKind.Answer).length > 5).toEqual(true);
  });
});

// Guards against a late answer to one account that is passed to another with the same request id.
test('one connection never carries the same request id twice', async () => {
  const sockets = new Map<unknown, string[]>();
  const endpoint = await startRawEndpoint('e1', (socket, id) => {
    sockets.set(socket, [...(sockets.get(socket) ?? []), id]);
    socket.write(formatAnswer('ok', { 'x-request-id': id }));
  });
  await runWithRouter([endpoint], async ({ router }) => {
    for (const account of ['a', 'b', 'c']) {
      await router.handleRequest(createRequest({ account, requestId: 'same' }));
    }
    expect([...sockets.values()]).toEqual([['same'], ['same'], ['same']]);
  });
});

// Guards against the outcome `not_run` for a request whose lost attempt may have run.
test('an idempotent request that was lost is not refused as not run', async () => {
  const endpoint = await startRawEndpoint('e1', brokenEndpoints.lost!);
  await runWithRouter([endpoint], async ({ router }) => {
    for (let count = 0; count < 5; count += 1) {
      const before = endpoint.receivedIds.length;
      const outcome = getOutcomeOf(await router.handleRequest(createRequest()));
      const hasRun = endpoint.receivedIds.length > before;
      expect(outcome).toEqual(hasRun ? Outcome.Unknown : Outcome.NotRun);
    }
  });
});

// Guards against a claim that blocks a repeat of a request which never ran.
test('a refused connection releases the claim, and the repeat runs', async () => {
  const endpoint = await startHttpEndpoint('e1', (_request, response) => response.end('good'));
  const dead = await startHttpEndpoint('e2', () => undefined);
  await dead.close();
  const { router, claims } = createTestRouter([{ ...endpoint, instance: dead.instance }]);
  const request = createRequest({ isIdempotent: false });
  expect(getOutcomeOf(await router.handleRequest(request))).toEqual(Outcome.NotRun);
  expect(claims.rows.size).toEqual(0);
  router.applyInstances([endpoint.instance]);
  expect(getText(await router.handleRequest(request))).toEqual('good');
  router.close();
  await endpoint.close();
});

// Guards against a request that runs without a claim while the store is unavailable.
test('without the store idempotent requests run and others are refused as not run', async () => {
  const endpoint = await startHttpEndpoint('e1', (_request, response) => response.end('good'));
  await runWithRouter([endpoint], async ({ router, claims }) => {
    claims.setUnavailable(true);
    const refused = await router.handleRequest(createRequest({ isIdempotent: false }));
    expect(getOutcomeOf(refused)).toEqual(Outcome.NotRun);
    expect(getText(await router.handleRequest(createRequest()))).toEqual('good');
    expect(endpoint.receivedIds.length).toEqual(1);
  });
});

// Guards against a non-idempotent request that is aborted because its caller disconnected.
test('when the caller disconnects, idempotent requests stop and others finish', async () => {
  let closed = 0;
  const finish: (() => void)[] = [];
  const endpoint = await startHttpEndpoint('e1', (_request, response) => {
    response.on('close', () => {
      if (!response.writableEnded) closed += 1;
    });
    finish.push(() => response.end('booked'));
  });
  await runWithRouter([endpoint], async ({ router, claims }) => {
    const gone = new AbortController();
    const stopped = router.handleRequest(createRequest({ signal: gone.signal }));
    const kept = createRequest({ signal: gone.signal, isIdempotent: false });
    const finished = router.handleRequest(kept);
    while (finish.length < 2) await new Promise((resolve) => setTimeout(resolve, 5));
    gone.abort();
    expect(getOutcomeOf(await stopped)).toEqual(Outcome.Unknown);
    while (closed === 0) await new Promise((resolve) => setTimeout(resolve, 5));
    for (const action of finish) action();
    expect(getText(await finished)).toEqual('booked');
    expect([closed, claims.rows.size]).toEqual([1, 1]);
  });
});

// Guards against retries that multiply the load on the remaining endpoints during an outage.
test('a total outage sends at most 1.1 attempts per request', async () => {
  const endpoints = await Promise.all(
    ['e1', 'e2', 'e3'].map((id) => startRawEndpoint(id, brokenEndpoints.lost!)),
  );
  await runWithRouter(endpoints, async ({ router }) => {
    const requests = Array.from({ length: 300 }, () => createRequest({ deadlineMs: 1000 }));
    const answers = await Promise.all(requests.map((request) => router.handleRequest(request)));
    const attempts = endpoints.reduce((sum, endpoint) => sum + endpoint.receivedIds.length, 0);
    expect(attempts).toBeLessThanOrEqual(330);
    expect(answers.every((answer) => answer.kind === AnswerKind.Fault)).toEqual(true);
  });
});

// Guards against new requests to an endpoint that announced that it is leaving or that the
// platform marked as leaving.
test('a leaving endpoint gets no new requests', async () => {
  const leaving = await startRawEndpoint('e1', (socket) => {
    socket.end('HTTP/1.1 503 Leaving\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
  });
  const good = await startHttpEndpoint('e2', (_request, response) => response.end('good'));
  await runWithRouter([leaving, good], async ({ router }) => {
    for (let count = 0; count < 20; count += 1) await router.handleRequest(createRequest());
    expect(leaving.receivedIds.length).toEqual(1);
  });
});

// Guards against a non-idempotent request that fails although the endpoint did not run it.
test('a request that an endpoint refused as not run is sent to another one', async () => {
  const refusing = await startHttpEndpoint('e1', (_request, response) =>
    response.writeHead(503, { connection: 'close', 'x-outcome': 'not_run' }).end(),
  );
  const good = await startHttpEndpoint('e2', (_request, response) => response.end('good'));
  await runWithRouter([refusing, good], async ({ router }) => {
    const answers: CallerAnswer[] = [];
    for (let count = 0; count < 8; count += 1) {
      answers.push(await router.handleRequest(createRequest({ isIdempotent: false })));
    }
    expect(answers.map(getText)).toEqual(Array.from({ length: 8 }, () => 'good'));
    expect(refusing.receivedIds.length).toEqual(1);
  });
});

// Guards against a planned stop that aborts requests in flight.
test('draining finishes accepted requests and refuses new ones', async () => {
  const finish: (() => void)[] = [];
  const endpoint = await startHttpEndpoint(
    'e1',
    (_request, response) => {
      finish.push(() => response.end('good'));
    },
    2,
  );
  await runWithRouter([endpoint], async ({ router }) => {
    const accepted = Array.from({ length: 6 }, () => router.handleRequest(createRequest()));
    while (finish.length < 2) await new Promise((resolve) => setTimeout(resolve, 5));
    router.startDraining();
    expect(getText(await router.handleRequest(createRequest()))).toEqual(FaultCode.Draining);
    let isIdle = false;
    const idle = router.waitIdle().then(() => (isIdle = true));
    expect(isIdle).toEqual(false);
    const timer = setInterval(() => {
      for (const action of finish.splice(0)) action();
    }, 5);
    const answers = await Promise.all(accepted);
    await idle;
    clearInterval(timer);
    expect(answers.map(getText)).toEqual(Array.from({ length: 6 }, () => 'good'));
  });
});

// Guards against requests that stay at a stalled endpoint while another one could answer them.
test('requests at a stalled endpoint are answered by another one', async () => {
  const stalled = await startRawEndpoint('e1', () => undefined);
  const good = await startHttpEndpoint('e2', (_request, response) => response.end('good'));
  const config = createRoutingConfig({ limits: { stallMs: 50 } });
  await runWithRouter(
    [stalled, good],
    async ({ router }) => {
      const answers = [];
      for (let count = 0; count < 4; count += 1) {
        answers.push(getText(await router.handleRequest(createRequest())));
      }
      expect(answers).toEqual(['good', 'good', 'good', 'good']);
      expect(stalled.receivedIds.length).toEqual(1);
    },
    config,
  );
});
