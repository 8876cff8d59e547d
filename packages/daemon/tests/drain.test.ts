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
  runInWorld,
  sendPlan,
  submitJob,
  tokens,
  waitUntil,
} from './world.ts';

// Guards against a request or a job that is refused or cut off while balancers still send.
test('a draining daemon finishes requests and takes new work while balancers notice', async () => {
  await runInWorld({ workMs: 300 }, async (world) => {
    const client = new Client(world.url);
    const headers = { authorization: `Bearer ${tokens.anna}`, 'x-idempotent': 'true' };
    const first = client.request({ path: requestPath, method: 'POST', headers, body: 'a' });
    await waitUntil(() => (world.daemon.getDump() as { router: { open: number } }).router.open > 0);
    world.daemon.startDraining();
    const answer = await first;
    expect([answer.statusCode, answer.headers.connection]).toEqual([200, 'close']);
    await answer.body.dump();
    expect((await world.call('GET', '/v1/health')).status).toEqual(503);
    expect((await sendPlan(world)).status).toEqual(200);
    expect((await submitJob(world, { jobId: 'late' })).status).toEqual(202);
    await world.daemon.finished;
    await client.destroy();
  });
});

// Guards against a shutdown that waits for ever for a connection that sends nothing or too little.
test('silent and half-sent connections do not hold up a drain', async () => {
  await runInWorld({ limits: { readTimeoutMs: 500 } }, async (world) => {
    const [host, port] = world.daemon.httpAddress.split(':');
    const texts = [
      '',
      'GET /v1/health HTTP/1.1\r\n',
      `POST ${requestPath} HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n`,
    ];
    world.daemon.startDraining();
    const sockets = texts.map((text) => {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      if (text !== '') socket.write(text);
      return socket;
    });
    // Opened late, so that they are still within their time when the listener closes.
    const timer = setInterval(() => {
      const late = connect(Number(port), host).on('error', () => undefined);
      sockets.push(late);
    }, 200);
    await world.daemon.finished;
    clearInterval(timer);
    for (const socket of sockets) socket.destroy();
  });
});

// Guards against an operator who cannot end a daemon whose drain waits for a stalled endpoint.
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
