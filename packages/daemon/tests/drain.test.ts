import {
  EndpointFault,
  setEndpointFault,
  startPlatform,
  ezelpadLayout,
} from '@bergamotreach/standin';
import { createSystemClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Client } from 'undici';
import {
  callUrl,
  peerSecret,
  requestPath,
  runWithHarness,
  sendRequest,
  submitJob,
  tokens,
  waitUntil,
} from './harness.ts';

// Guards against refusing or aborting work while load balancers still send requests.
test('a draining daemon finishes requests and accepts work during the notice period', async () => {
  await runWithHarness({ workMs: 300 }, async (harness) => {
    const client = new Client(harness.url);
    const headers = { authorization: `Bearer ${tokens.anna}`, 'x-idempotent': 'true' };
    const first = client.request({ path: requestPath, method: 'POST', headers, body: 'a' });
    await waitUntil(
      () => (harness.daemon.getDump() as { router: { open: number } }).router.open > 0,
    );
    harness.daemon.startDraining();
    const response = await first;
    expect([response.statusCode, response.headers.connection]).toEqual([200, 'close']);
    await response.body.dump();
    expect((await harness.call('GET', '/v1/health')).status).toEqual(503);
    expect((await sendRequest(harness)).status).toEqual(200);
    expect((await submitJob(harness, { jobId: 'late' })).status).toEqual(202);
    await harness.daemon.finished;
    await client.destroy();
  });
});

// Guards against a shutdown that waits forever for an idle connection or an incomplete request.
test('idle connections and incomplete requests do not block a drain', async () => {
  await runWithHarness({ limits: { readTimeoutMs: 500 } }, async (harness) => {
    const [host, port] = harness.daemon.httpAddress.split(':');
    const texts = [
      '',
      'GET /v1/health HTTP/1.1\r\n',
      `POST ${requestPath} HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n`,
    ];
    harness.daemon.startDraining();
    const sockets = texts.map((text) => {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      if (text !== '') socket.write(text);
      return socket;
    });
    // Opened repeatedly, so that some are within their read timeout when the listener closes.
    const timer = setInterval(() => {
      const lateSocket = connect(Number(port), host).on('error', () => undefined);
      sockets.push(lateSocket);
    }, 200);
    await harness.daemon.finished;
    clearInterval(timer);
    for (const socket of sockets) socket.destroy();
  });
});

// Guards against a daemon that cannot be stopped while its drain waits for a stalled endpoint.
test('a second SIGTERM stops the process at once', async () => {
  const layout = { ...ezelpadLayout, workersPerDataCentre: 1, endpointsPerDataCentre: 1 };
  const clock = createSystemClock();
  const platform = await startPlatform({ layout, clock, host: '127.0.0.1', port: 0, seed: 1 });
  setEndpointFault(platform, [...platform.endpoints.keys()], EndpointFault.Stall);
  const folder = await mkdtemp(join(tmpdir(), 'bergamotreach-drain-'));
  const path = join(folder, 'settings.json');
  const settings = {
    id: 'noord-d0',
    region: 'noord',
    dataCentre: 'noord-1',
    httpAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    platformUrl: `http://${platform.address}`,
    peerSecret,
    operatorTokenHash: 'a'.repeat(64),
  };
  await writeFile(path, JSON.stringify(settings));
  const child = spawn(process.execPath, [
    '--import',
    'tsx',
    'packages/daemon/tests/daemonprocess.ts',
    path,
  ]);
  let log = '';
  child.stdout.on('data', (chunk: Buffer) => (log += chunk.toString()));
  const ended = new Promise((resolve) => child.once('exit', resolve));
  await waitUntil(() => log.includes('event=daemon_ready'));
  const url = /http=(\S+)/u.exec(log)?.[1] ?? '';
  expect((await callUrl(`http://${url}/v1/health`, 'GET', {})).status).toEqual(503);
  child.kill('SIGTERM');
  await waitUntil(() => log.includes('event=drain_started'));
  child.kill('SIGTERM');
  expect(await ended).toEqual(1);
  expect(log.includes('drain_finished')).toEqual(false);
  await platform.close();
  await rm(folder, { recursive: true, force: true });
});
