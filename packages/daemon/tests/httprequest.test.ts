import { FaultCode, Outcome, createFault, faultAnswers } from '@bergamotreach/protocol';
import { EndpointFault, setEndpointFault } from '@bergamotreach/standin';
import { expect } from 'earl';
import { connect } from 'node:net';
import { test } from 'node:test';
import { createFaultResponse } from '../src/answer.ts';
import { createBodyReader } from '../src/body.ts';
import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { getBodyBytes, requestPath, runInWorld, sendPlan, tokens, waitUntil } from './world.ts';
import type { World } from './world.ts';

function setFault(world: World, fault: EndpointFault): void {
  setEndpointFault(world.platform, [...world.platform.endpoints.keys()], fault);
}

function countOpen(world: World): number {
  return (world.daemon.getDump() as { router: { open: number } }).router.open;
}

// Guards against an error kind that is answered with another status or outcome than documented.
test('every error kind carries its status and its outcome', () => {
  for (const code of Object.values(FaultCode)) {
    const response = createFaultResponse(createFault(code, 'why'));
    expect(response.status).toEqual(faultAnswers[code].status);
    expect(response.headers.get('x-outcome')).toEqual(faultAnswers[code].outcome);
  }
  const own = createFaultResponse(
    createFault(FaultCode.EndpointFailed, 'x', { outcome: Outcome.Unknown }),
  );
  expect(own.headers.get('x-outcome')).toEqual('unknown');
});

// Guards against an answer that is changed, or that belongs to another request.
test("the endpoint's answer is passed on unchanged", async () => {
  await runInWorld({}, async (world) => {
    const answer = await sendPlan(world, { headers: { 'x-request-id': 'own-id' } });
    const { requestId, bodyBytes } = JSON.parse(answer.text) as {
      requestId: string;
      bodyBytes: number;
    };
    expect([answer.status, answer.outcome, requestId, bodyBytes]).toEqual([200, '', 'own-id', 5]);
    expect(answer.headers['content-type']).toEqual('application/json');
    expect(answer.headers['x-request-id']).toEqual('own-id');
    setFault(world, EndpointFault.Error);
    const failed = await sendPlan(world);
    expect([failed.status, failed.text, failed.outcome]).toEqual([500, 'failed', '']);
  });
});

// Guards against a request that ran and is reported as not run, so that its repeat runs twice.
test('lost, truncated and repeated non-idempotent requests are unknown, never not run', async () => {
  for (const fault of [
    EndpointFault.ResetAfter,
    EndpointFault.ResetBefore,
    EndpointFault.Truncate,
  ]) {
    await runInWorld({}, async (world) => {
      setFault(world, fault);
      const headers = { 'x-idempotent': 'false', 'x-request-id': 'once' };
      const first = await sendPlan(world, { headers });
      expect([first.status, first.error.code, first.outcome]).toEqual([
        504,
        'unknown_outcome',
        'unknown',
      ]);
      setFault(world, EndpointFault.None);
      const second = await sendPlan(world, { headers });
      expect([second.error.code, second.outcome]).toEqual(['unknown_outcome', 'unknown']);
      const other = await sendPlan(world, { headers, body: 'other' });
      expect([other.status, other.error.code, other.outcome]).toEqual([
        409,
        'duplicate_id',
        'not_run',
      ]);
    });
  }
});

// Guards against a refusal during an outage of the store that hides whether the request ran.
test('without the store, idempotent requests run and others are refused as not run', async () => {
  await runInWorld({}, async (world) => {
    expect((await sendPlan(world)).status).toEqual(200);
    world.platform.faults.isStoreDown = true;
    expect((await sendPlan(world)).status).toEqual(200);
    const headers = { 'x-idempotent': 'false', 'x-request-id': 'claimed' };
    const refused = await sendPlan(world, { headers });
    expect([refused.status, refused.error.code, refused.outcome]).toEqual([
      503,
      'store_unavailable',
      'not_run',
    ]);
    const runs = [...world.platform.endpoints.values()].map((endpoint) => endpoint.getStats().runs);
    expect(runs.some((ids) => 'claimed' in ids)).toEqual(false);
  });
});

// Guards against a waiting request that holds its body and its place after its caller has gone.
test('a caller that goes before the answer frees its request and its body', async () => {
  await runInWorld({}, async (world) => {
    setFault(world, EndpointFault.Stall);
    const [host, port] = world.daemon.httpAddress.split(':');
    const socket = connect(Number(port), host);
    const head = `POST ${requestPath} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${tokens.anna}\r\n`;
    socket.write(`${head}x-idempotent: true\r\ncontent-length: 5\r\n\r\nhello`);
    await waitUntil(() => countOpen(world) >= 1 && getBodyBytes(world) === 5);
    socket.destroy();
    await waitUntil(() => countOpen(world) === 0 && getBodyBytes(world) === 0);
    // Gone in the middle of its body.
    const half = connect(Number(port), host);
    half.write(`${head}x-idempotent: true\r\ncontent-length: 50\r\n\r\nhello`);
    await waitUntil(() => getBodyBytes(world) === 5);
    half.destroy();
    await waitUntil(() => getBodyBytes(world) === 0);
  });
});

// Guards against bodies that together use up the memory of a process of 64 MB.
test('many large bodies at once are refused as queue_full and the budget is given back', async () => {
  const mebibyte = 1024 * 1024;
  const limits = { maxBodyBytes: mebibyte, readTimeoutMs: 60_000 };
  await runInWorld({ limits }, async (world) => {
    setFault(world, EndpointFault.Stall);
    const body = Buffer.alloc(mebibyte);
    const send = (index: number) =>
      sendPlan(world, { body, headers: { 'x-request-id': `r${index}`, 'x-deadline-ms': '3000' } });
    const answers = await Promise.all(Array.from({ length: 14 }, (_, index) => send(index)));
    const full = answers.filter((answer) => answer.error.code === 'queue_full');
    expect(full.length >= 6).toEqual(true);
    for (const { status, outcome, headers } of full) {
      expect([status, outcome, headers['retry-after']]).toEqual([429, 'not_run', '1']);
    }
    await waitUntil(() => getBodyBytes(world) === 0);
  });
});

function createBody(): PassThrough & IncomingMessage {
  return Object.assign(new PassThrough(), { headers: {} }) as unknown as PassThrough &
    IncomingMessage;
}

// Guards against bytes that stay counted after a refusal, so that the budget shrinks for ever.
test('a body refused half way gives back the bytes already taken', async () => {
  const reader = createBodyReader(10);
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
  const gone = createBody();
  gone.write(Buffer.alloc(3));
  const incomplete = reader.readBody(gone, 100);
  gone.destroy();
  expect((await incomplete).unwrapErr().code).toEqual(FaultCode.BadRequest);
  expect(reader.getUsedBytes()).toEqual(0);
});
