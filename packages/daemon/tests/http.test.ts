import { expect } from 'earl';
import { test } from 'node:test';
import {
  getBodyBytes,
  requestPath,
  runWithHarness,
  sendRequest,
  tokens,
  waitUntil,
} from './harness.ts';
import type { TestResponse, CallOptions, Harness } from './harness.ts';

function expectFault(
  response: TestResponse,
  status: number,
  code: string,
  path: unknown[] = [],
): void {
  const { error, outcome } = response;
  expect([response.status, error.code, outcome, error.path]).toEqual([
    status,
    code,
    'not_run',
    path,
  ]);
}

// Without an outcome in the response, a caller cannot tell whether a retry is safe.
test('malformed HTTP is rejected as not run', async () => {
  await runWithHarness({}, async (harness) => {
    const texts = [
      'nonsense\r\n\r\n',
      'GET /v1/health HTTP/1.1\r\n\r\n',
      'GET /v1/health HTTP/1.1\r\nhost: a b\r\nconnection: close\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n',
      'POST /v1/jobs HTTP/1.1\r\nhost: a\r\nexpect: nothing\r\ncontent-length: 0\r\n\r\n',
    ];
    for (const text of texts) {
      const received = await harness.sendRaw(
        text.replace('HTTP/1.1\r\n\r\n', 'HTTP/1.1\r\nconnection: close\r\n\r\n'),
      );
      expect(received).toInclude(' 400 ');
      expect(received.toLowerCase()).toInclude('x-outcome: not_run');
    }
    expect((await sendRequest(harness)).status).toEqual(200);
  });
});

async function* makeChunks(count: number, size: number): AsyncGenerator<Buffer> {
  for (let index = 0; index < count; index += 1) {
    await Promise.resolve();
    yield Buffer.alloc(size);
  }
}

// Guards against holding an oversized body in memory, and against resetting the connection before
// the caller has received the response.
test('an oversized body is refused by its length and as a stream', async () => {
  await runWithHarness({}, async (harness) => {
    expectFault(await sendRequest(harness, { body: Buffer.alloc(1001) }), 413, 'too_large');
    expectFault(await sendRequest(harness, { body: makeChunks(20, 100) }), 413, 'too_large');
    expect((await sendRequest(harness, { body: makeChunks(10, 100) })).status).toEqual(200);
    expect(getBodyBytes(harness)).toEqual(0);
  });
});

// Guards against unauthenticated callers exhausting memory with headers.
test('oversized headers are refused', async () => {
  await runWithHarness({ limits: { maxHeaderBytes: 2048 } }, async (harness) => {
    const get = async (size: number): Promise<TestResponse> =>
      harness.call('GET', '/v1/health', { headers: { 'x-fill': 'a'.repeat(size) } });
    expect((await get(1000)).status).toEqual(200);
    expectFault(await get(3000), 413, 'too_large');
    const huge = `GET /v1/health HTTP/1.1\r\nhost: a\r\nx-fill: ${'a'.repeat(80_000)}\r\n\r\n`;
    const received = await harness.sendRaw(huge);
    expect(received).toInclude('too_large');
  });
});

// Guards against slow clients that keep a connection open by sending single bytes.
test('slowly sent headers and bodies fail with read_timeout', async () => {
  await runWithHarness({ limits: { readTimeoutMs: 200 } }, async (harness) => {
    const sendSlowly = (write: (text: string) => boolean): void => {
      const timer = setInterval(() => {
        if (!write('a')) clearInterval(timer);
      }, 50);
    };
    const head = `POST ${requestPath} HTTP/1.1\r\nhost: a\r\n`;
    const authorization = `authorization: Bearer ${tokens.anna}\r\nx-idempotent: true\r\n`;
    const texts = [head, `${head}${authorization}content-length: 900\r\n\r\n`];
    for (const text of texts) {
      const received = await harness.sendRaw(text, sendSlowly);
      expect(received).toInclude('HTTP/1.1 408');
      expect(received).toInclude('read_timeout');
      expect(received).toInclude('x-outcome: not_run');
      expect(received.split('HTTP/1.1 ').length).toEqual(2);
    }
    await waitUntil(() => getBodyBytes(harness) === 0);
  });
});

// Guards against an account using operator routes, including through other spellings of a path.
test('callers are authenticated and operator routes are refused to accounts', async () => {
  await runWithHarness({}, async (harness) => {
    for (const authorization of ['', 'Bearer', 'Bearer wrong', `Basic ${tokens.anna}`]) {
      const response = await harness.call('GET', '/v1/jobs', { headers: { authorization } });
      expectFault(response, 401, 'unauthorized');
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
      const response = await harness.call(method, path, { token: tokens.anna });
      expect([path, response.status, response.outcome]).toEqual([path, 403, 'not_run']);
    }
    for (const path of ['/v1//dump', '/v1/dump/', '/V1/dump']) {
      const response = await harness.call('GET', path, { token: tokens.anna });
      expect([path, response.status === 200]).toEqual([path, false]);
    }
    expect((await harness.call('GET', '/v1/health')).text).toEqual('{"state":"ready"}');
  });
});

// Guards against dispatching an invalid request, and against errors that do not name the mistake.
test('errors name unknown routes, unknown services and invalid headers', async () => {
  await runWithHarness({}, async (harness) => {
    const token = tokens.anna;
    expectFault(await harness.call('GET', '/v1/nothing', { token }), 404, 'not_found');
    expectFault(await harness.call('PUT', '/v1/jobs', { token }), 404, 'not_found');
    for (const service of ['other', 'constructor', '__proto__']) {
      const path = `/v1/services/${service}/requests`;
      expectFault(await harness.call('POST', path, { token }), 404, 'not_found', ['service']);
    }
    const wrong: [string, string[]][] = [
      ['x-idempotent', ['yes', 'TRUE', '1']],
      ['x-deadline-ms', ['0', '-1', '1.5', '1e3', '0x10', 'soon', '9'.repeat(400)]],
      ['x-request-id', ['a b', 'a'.repeat(129), 'é']],
    ];
    for (const [name, values] of wrong) {
      for (const value of values) {
        const response = await sendRequest(harness, { headers: { [name]: value } });
        expectFault(response, 400, 'bad_request', ['headers', name]);
      }
    }
    const noId: CallOptions = { token, headers: { 'x-idempotent': 'false' } };
    const response = await harness.call('POST', requestPath, noId);
    expectFault(response, 400, 'bad_request', ['headers', 'x-request-id']);
    expect(countRuns(harness)).toEqual(0);
  });
});

function countRuns(harness: Harness): number {
  const stats = [...harness.platform.endpoints.values()].map((endpoint) => endpoint.getStats());
  return stats.reduce((sum, { runs }) => sum + Object.keys(runs).length, 0);
}

// Guards against health responses that make a load balancer keep a daemon that cannot serve.
test('health reports no configuration, ready and draining', async () => {
  await runWithHarness({ hasConfig: false }, async (harness) => {
    const health = await harness.call('GET', '/v1/health');
    expect([health.status, health.text]).toEqual([503, '{"state":"no_config"}']);
    expectFault(await sendRequest(harness, { token: tokens.operator }), 503, 'store_unavailable');
    harness.daemon.startDraining();
    const draining = await harness.call('GET', '/v1/health');
    expect([draining.status, draining.text]).toEqual([503, '{"state":"draining"}']);
    expect(draining.headers.connection).toEqual('close');
  });
});

// Guards against leaking secrets through logs or the state dump.
test('tokens, their hashes and the peer secret are in neither logs nor dump', async () => {
  await runWithHarness({}, async (harness) => {
    await sendRequest(harness);
    await sendRequest(harness, { token: 'wrong-token-secret' });
    const dump = await harness.call('GET', '/v1/dump', { token: tokens.operator });
    expect(dump.status).toEqual(200);
    expect(harness.lines.length > 0).toEqual(true);
    for (const secret of ['-secret', 'tokenHashes']) {
      expect([secret, dump.text.includes(secret)]).toEqual([secret, false]);
      expect([secret, harness.lines.join('').includes(secret)]).toEqual([secret, false]);
    }
  });
});
