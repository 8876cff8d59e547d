import { FaultCode, LogLevel } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { loadSettings } from '../src/settings.ts';
import { checkSettings } from '../src/settingscheck.ts';
import { peerSecret } from './harness.ts';

const validSettings = {
  id: 'noord-d0',
  region: 'noord',
  dataCentre: 'noord-1',
  httpAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  platformUrl: 'http://127.0.0.1:1',
  peerSecret,
  operatorTokenHash: 'a'.repeat(64),
};

async function runInFolder(run: (path: string) => Promise<void>): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'bergamotreach-settings-'));
  try {
    await run(join(folder, 'settings.json'));
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

// Guards against reporting only one invalid key per start, and against multi-line messages.
test('settings errors are one line that names every invalid key', () => {
  expect(checkSettings(validSettings).unwrap().logLevel).toEqual(LogLevel.Info);
  const invalid = {
    id: '',
    region: 'a b',
    dataCentre: 7,
    httpAddress: '300.0.0.1:80',
    peerAddress: '10.0.0.1:99999',
    platformUrl: 'https://example',
    seeds: ['10.0.0.1'],
    peerSecret: 'short-secret',
    operatorTokenHash: 'xyz',
    logLevel: 'loud',
    statsd: { host: 'a', port: 0 },
    extra: 1,
  };
  const fault = checkSettings(invalid).unwrapErr();
  expect(fault.code).toEqual(FaultCode.ConfigInvalid);
  for (const key of Object.keys(invalid)) expect(fault.message).toInclude(key);
  expect(fault.message.includes('\n')).toEqual(false);
  expect(fault.message.includes('short-secret')).toEqual(false);
  const missing = checkSettings({}).unwrapErr();
  for (const key of Object.keys(validSettings)) expect(missing.message).toInclude(`${key}: `);
});

// Guards against printing a parser error that quotes secrets from the file.
test('a settings file that is absent or not JSON is refused without quoting it', async () => {
  await runInFolder(async (path) => {
    expect((await loadSettings(path)).unwrapErr().message).toInclude('no such file');
    await writeFile(path, `{"peerSecret":${peerSecret}}`);
    const { message } = (await loadSettings(path)).unwrapErr();
    expect([message.includes('JSON'), message.includes('peer-secret')]).toEqual([true, false]);
  });
});

// Guards against a stack trace instead of a reason, and against exit code 0 after a failed start.
test('a daemon whose address is in use exits with one line', async () => {
  await runInFolder(async (path) => {
    const server = createServer().listen(0, '127.0.0.1');
    await new Promise((resolve) => server.once('listening', resolve));
    const { port } = server.address() as AddressInfo;
    await writeFile(path, JSON.stringify({ ...validSettings, httpAddress: `127.0.0.1:${port}` }));
    const child = spawn(process.execPath, [
      '--import',
      'tsx',
      'packages/daemon/tests/daemonprocess.ts',
      path,
    ]);
    let text = '';
    child.stderr.on('data', (chunk: Buffer) => (text += chunk.toString()));
    const code = await new Promise((resolve) => child.once('close', resolve));
    server.close();
    expect([code, text.split('\n').length]).toEqual([8, 2]);
    expect(text).toInclude(`bergamotreach: cannot start: listen EADDRINUSE`);
  });
});
