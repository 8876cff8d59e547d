import { expect } from 'earl';
import { test } from 'node:test';
import { getBodyBytes, requestPath, runInWorld, sendPlan, tokens, waitUntil } from './world.ts';
import type { Answer, CallOptions, World } from './world.ts';

function expectFault(answer: Answer, status: number, code: string, path: unknown[] = []): void {
  const { error, outcome } = answer;
  expect([answer.status, error.code, outcome, error.path]).toEqual([status, code, 'not_run', path]);
}

// Guards against an answer without an outcome, after which a caller cannot tell whether to repeat.
test('malformed HTTP is answered as not run', async () => {
  await runInWorld({}, async (world) => {
    const texts = [
      'nonsense\r\n\r\n',
      'GET /v1/health HTTP/1.1\r\n\r\n',
      'GET /v1/health HTTP/1.1\r\nhost: a b\r\nconnection: close\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\nexpect: nothing\r\ncontent-length: 0\r\n\r\n',
    ];
    for (const text of texts) {
      const received = await world.sendRaw(
        text.replace('HTTP/1.1\r\n\r\n', 'HTTP/1.1\r\nconnection: close\r\n\r\n'),
      );
      expect(received).toInclude(' 400 ');
      expect(received.toLowerCase()).toInclude('x-outcome: not_run');
    }
    expect((await sendPlan(world)).status).toEqual(200);
  });
});

async function* makeChunks(count: number, size: number): AsyncGenerator<Buffer> {
  for (let index = 0; index < count; index += 1) {
    await Promise.resolve();
    yield Buffer.alloc(size);
  }
}

// Guards against a body over the limit that is held in memory, or that resets the connection before
// the caller has its answer.
test('an oversized body is refused by its length and as a stream', async () => {
  await runInWorld({}, async (world) => {
    expectFault(await sendPlan(world, { body: Buffer.alloc(1001) }), 413, 'too_large');
    expectFault(await sendPlan(world, { body: makeChunks(20, 100) }), 413, 'too_large');
    expect((await sendPlan(world, { body: makeChunks(10, 100) })).status).toEqual(200);
    expect(getBodyBytes(world)).toEqual(0);
  });
});

// Guards against headers that use up memory before the caller is known.
test('oversized headers are refused', async () => {
  await runInWorld({ limits: { maxHeaderBytes: 2048 } }, async (world) => {
    const get = async (size: number): Promise<Answer> =>
      world.call('GET', '/v1/health', { headers: { 'x-fill': 'a'.repeat(size) } });
    expect((await get(1000)).status).toEqual(200);
    expectFault(await get(3000), 413, 'too_large');
    const huge = `GET /v1/health HTTP/1.1\r\nhost: a\r\nx-fill: ${'a'.repeat(80_000)}\r\n\r\n`;
    const received = await world.sendRaw(huge);
    expect(received).toInclude('too_large');
  });
});

// Guards against callers that hold a connection by sending one byte now and then.
test('headers and bodies that trickle are cut with read_timeout', async () => {
  await runInWorld({ limits: { readTimeoutMs: 200 } }, async (world) => {
    const sendSlowly = (write: (text: string) => boolean): void => {
      const timer = setInterval(() => {
        if (!write('a')) clearInterval(timer);
      }, 50);
    };
    const head = `POST ${requestPath} HTTP/1.1\r\nhost: a\r\n`;
    const authorization = `authorization: Bearer ${tokens.anna}\r\nx-idempotent: true\r\n`;
    const texts = [head, `${head}${authorization}content-length: 900\r\n\r\n`];
    for (const text of texts) {
      const received = await world.sendRaw(text, sendSlowly);
      expect(received).toInclude('HTTP/1.1 408');
      expect(received).toInclude('read_timeout');
      expect(received).toInclude('x-outcome: not_run');
      expect(received.split('HTTP/1.1 ').length).toEqual(2);
    }
    await waitUntil(() => getBodyBytes(world) === 0);
  });
});

// Guards against an account that acts as an operator, also through another spelling of a path.
test('callers are authenticated and operator routes are refused to accounts', async () => {
  await runInWorld({}, async (world) => {
    for (const authorization of ['', 'Bearer', 'Bearer wrong', `Basic ${tokens.anna}`]) {
      const answer = await world.call('GET', '/v1/jobs', { headers: { authorization } });
      expectFault(answer, 401, 'unauthorized');
    }
    const routes: [string, string][] = [
      ['GET', '/v1/config'],
      ['POST', '/v1/config'],
      ['GET', '/v1/config/history'],
      ['GET', '/v1/instances'],
      ['GET', '/v1/workers'],
      ['GET', '/v1/report'],
      ['GET', '/v1/dump'],
      ['HEAD', '/v1/dump'],
      ['POST', '/v1/drain'],
      ['POST', '/v1/%64rain'],
    ];
    for (const [method, path] of routes) {
      const answer = await world.call(method, path, { token: tokens.anna });
      expect([path, answer.status, answer.outcome]).toEqual([path, 403, 'not_run']);
    }
    for (const path of ['/v1//dump', '/v1/dump/', '/V1/dump']) {
      const answer = await world.call('GET', path, { token: tokens.anna });
      expect([path, answer.status === 200]).toEqual([path, false]);
    }
    expect((await world.call('GET', '/v1/health')).text).toEqual('{"state":"ready"}');
  });
});

// Guards against a wrong request that is dispatched, or refused without naming what is wrong.
test('unknown routes and services and bad headers are named', async () => {
  await runInWorld({}, async (world) => {
    const token = tokens.anna;
    expectFault(await world.call('GET', '/v1/nothing', { token }), 404, 'not_found');
    expectFault(await world.call('PUT', '/v1/jobs', { token }), 404, 'not_found');
    for (const service of ['other', 'constructor', '__proto__']) {
      const path = `/v1/services/${service}/requests`;
      expectFault(await world.call('POST', path, { token }), 404, 'not_found', ['service']);
    }
    const wrong: [string, string[]][] = [
      ['x-idempotent', ['yes', 'TRUE', '1']],
      ['x-deadline-ms', ['0', '-1', '1.5', '1e3', '0x10', 'soon', '9'.repeat(400)]],
      ['x-request-id', ['a b', 'a'.repeat(129), 'é']],
    ];
    for (const [name, values] of wrong) {
      for (const value of values) {
        const answer = await sendPlan(world, { headers: { [name]: value } });
        expectFault(answer, 400, 'bad_request', ['headers', name]);
      }
    }
    const noId: CallOptions = { token, headers: { 'x-idempotent': 'false' } };
    const answer = await world.call('POST', requestPath, noId);
    expectFault(answer, 400, 'bad_request', ['headers', 'x-request-id']);
    expect(countRuns(world)).toEqual(0);
  });
});

function countRuns(world: World): number {
  const stats = [...world.platform.endpoints.values()].map((endpoint) => endpoint.getStats());
  return stats.reduce((sum, { runs }) => sum + Object.keys(runs).length, 0);
}

// Guards against health answers that keep a balancer on a daemon that cannot serve.
test('health tells no configuration, ready and draining', async () => {
  await runInWorld({ hasConfig: false }, async (world) => {
    const health = await world.call('GET', '/v1/health');
    expect([health.status, health.text]).toEqual([503, '{"state":"no_config"}']);
    expectFault(await sendPlan(world, { token: tokens.operator }), 503, 'store_unavailable');
    world.daemon.startDraining();
    const draining = await world.call('GET', '/v1/health');
    expect([draining.status, draining.text]).toEqual([503, '{"state":"draining"}']);
    expect(draining.headers.connection).toEqual('close');
  });
});

// Guards against secrets that leave the process through logs or the state dump.
test('tokens, their hashes and the peer secret are in neither logs nor dump', async () => {
  await runInWorld({}, async (world) => {
    await sendPlan(world);
    await sendPlan(world, { token: 'wrong-token-secret' });
    const dump = await world.call('GET', '/v1/dump', { token: tokens.operator });
    expect(dump.status).toEqual(200);
    expect(world.lines.length > 0).toEqual(true);
    for (const secret of ['-secret', 'tokenHashes']) {
      expect([secret, dump.text.includes(secret)]).toEqual([secret, false]);
      expect([secret, world.lines.join('').includes(secret)]).toEqual([secret, false]);
    }
  });
});
