import { createMemoryBudget } from '@bergamotreach/hosting';
import {
  FaultCode,
  Outcome,
  createFault,
  createSystemClock,
  faultResponses,
} from '@bergamotreach/protocol';
import { EndpointFault, setEndpointFault } from '@bergamotreach/standin';
import { expect } from 'earl';
import { connect } from 'node:net';
import { test } from 'node:test';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { createBodyReader } from '../src/body.ts';
import { createFaultResponse } from '../src/responses.ts';
import {
  getBodyBytes,
  requestPath,
  runWithHarness,
  sendRequest,
  tokens,
  waitUntil,
} from './harness.ts';
import type { Harness } from './harness.ts';

function setFault(harness: Harness, fault: EndpointFault): void {
  setEndpointFault(harness.platform, [...harness.platform.endpoints.keys()], fault);
}

function countOpen(harness: Harness): number {
  return (harness.daemon.getDump() as { router: { open: number } }).router.open;
}

// Guards against a fault response with a status or outcome other than the documented one.
test('every fault code has its status and outcome', () => {
  for (const code of Object.values(FaultCode)) {
    const response = createFaultResponse(createFault(code, 'why'));
    expect(response.status).toEqual(faultResponses[code].status);
    expect(response.headers.get('x-outcome')).toEqual(faultResponses[code].outcome);
  }
  const own = createFaultResponse(
    createFault(FaultCode.EndpointFailed, 'x', { outcome: Outcome.Unknown }),
  );
  expect(own.headers.get('x-outcome')).toEqual('unknown');
});

// Guards against altering a response or returning that of another request.
test("the endpoint's response is passed on unchanged", async () => {
  await runWithHarness({}, async (harness) => {
    const response = await sendRequest(harness, { headers: { 'x-request-id': 'own-id' } });
    const { requestId, bodyBytes } = JSON.parse(response.text) as {
      requestId: string;
      bodyBytes: number;
    };
    expect([response.status, response.outcome, requestId, bodyBytes]).toEqual([
      200,
      '',
      'own-id',
      5,
    ]);
    expect(response.headers['content-type']).toEqual('application/json');
    expect(response.headers['x-request-id']).toEqual('own-id');
    setFault(harness, EndpointFault.Error);
    const failed = await sendRequest(harness);
    expect([failed.status, failed.text, failed.outcome]).toEqual([500, 'failed', '']);
  });
});

// Guards against reporting a request that ran as not run: a retry would run it twice.
test('lost, truncated and repeated non-idempotent requests are unknown, never not run', async () => {
  for (const fault of [
    EndpointFault.ResetAfter,
    EndpointFault.ResetBefore,
    EndpointFault.Truncate,
  ]) {
    await runWithHarness({}, async (harness) => {
      setFault(harness, fault);
      const headers = { 'x-idempotent': 'false', 'x-request-id': 'once' };
      const first = await sendRequest(harness, { headers });
      expect([first.status, first.error.code, first.outcome]).toEqual([
        504,
        'unknown_outcome',
        'unknown',
      ]);
      setFault(harness, EndpointFault.None);
      const second = await sendRequest(harness, { headers });
      expect([second.error.code, second.outcome]).toEqual(['unknown_outcome', 'unknown']);
      const conflicting = await sendRequest(harness, { headers, body: 'other' });
      expect([conflicting.status, conflicting.error.code, conflicting.outcome]).toEqual([
        409,
        'duplicate_id',
        'not_run',
      ]);
    });
  }
});

// Guards against a refusal during a store outage that hides whether the request ran.
test('without the store, idempotent requests run and others are refused as not run', async () => {
  await runWithHarness({}, async (harness) => {
    expect((await sendRequest(harness)).status).toEqual(200);
    harness.platform.faults.isStoreDown = true;
    expect((await sendRequest(harness)).status).toEqual(200);
    const headers = { 'x-idempotent': 'false', 'x-request-id': 'claimed' };
    const refused = await sendRequest(harness, { headers });
    expect([refused.status, refused.error.code, refused.outcome]).toEqual([
      503,
      'store_unavailable',
      'not_run',
    ]);
    const runs = [...harness.platform.endpoints.values()].map(
      (endpoint) => endpoint.getStats().runs,
    );
    expect(runs.some((ids) => 'claimed' in ids)).toEqual(false);
  });
});

// Guards against a queued request that keeps its body and slot after its caller disconnected.
test('a caller that disconnects before the response frees its request and body', async () => {
  await runWithHarness({}, async (harness) => {
    setFault(harness, EndpointFault.Stall);
    const [host, port] = harness.daemon.httpAddress.split(':');
    const socket = connect(Number(port), host);
    const head = `POST ${requestPath} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${tokens.anna}\r\n`;
    socket.write(`${head}x-idempotent: true\r\ncontent-length: 5\r\n\r\nhello`);
    await waitUntil(() => countOpen(harness) >= 1 && getBodyBytes(harness) === 5);
    socket.destroy();
    await waitUntil(() => countOpen(harness) === 0 && getBodyBytes(harness) === 0);
    // Disconnects in the middle of the body.
    const half = connect(Number(port), host);
    half.write(`${head}x-idempotent: true\r\ncontent-length: 50\r\n\r\nhello`);
    await waitUntil(() => getBodyBytes(harness) === 5);
    half.destroy();
    await waitUntil(() => getBodyBytes(harness) === 0);
  });
});

// Guards against concurrent bodies that together exhaust the memory of a 64 MB process.
test('bodies over the memory budget are refused as queue_full and the budget is released', async () => {
  const mebibyte = 1024 * 1024;
  const limits = { maxBodyBytes: mebibyte, readTimeoutMs: 60_000 };
  await runWithHarness({ limits }, async (harness) => {
    setFault(harness, EndpointFault.Stall);
    const body = Buffer.alloc(mebibyte);
    const send = (index: number) =>
      sendRequest(harness, {
        body,
        headers: { 'x-request-id': `r${index}`, 'x-deadline-ms': '3000' },
      });
    const responses = await Promise.all(Array.from({ length: 14 }, (_, index) => send(index)));
    const full = responses.filter((response) => response.error.code === 'queue_full');
    expect(full.length >= 6).toEqual(true);
    for (const { status, outcome, headers } of full) {
      expect([status, outcome, headers['retry-after']]).toEqual([429, 'not_run', '1']);
    }
    await waitUntil(() => getBodyBytes(harness) === 0);
  });
});

function createBody(): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), { headers: {} }) as unknown as PassThrough &
    IncomingMessage;
}

// Guards against bytes that stay reserved after a refusal, which would shrink the budget permanently.
test('a body refused midway releases the bytes already reserved', async () => {
  const reader = createBodyReader({
    budget: createMemoryBudget({ clock: createSystemClock(), maxBytes: 10 }),
  });
  const first = createBody();
  first.end(Buffer.alloc(8));
  const kept = await reader.readBody(first, 100);
  const second = createBody();
  second.write(Buffer.alloc(2));
  const refused = reader.readBody(second, 100);
  second.write(Buffer.alloc(1));
  expect((await refused).unwrapErr().code).toEqual(FaultCode.QueueFull);
  expect(reader.getUsedBytes()).toEqual(8);
  reader.release(kept.unwrap());
  expect(reader.getUsedBytes()).toEqual(0);
  const disconnecting = createBody();
  disconnecting.write(Buffer.alloc(3));
  const incomplete = reader.readBody(disconnecting, 100);
  disconnecting.destroy();
  expect((await incomplete).unwrapErr().code).toEqual(FaultCode.BadRequest);
  expect(reader.getUsedBytes()).toEqual(0);
});
