import { ExitCode, FaultCode, faultResponses } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { test } from 'node:test';
import { createErrorResponse, runCommandLine, startFakeDaemon } from './fakes.ts';

const closedPort = 'http://127.0.0.1:9';

// Guards against flags and arguments that are ignored because they are misspelled.
test('invalid command lines are usage errors that name the nearest word', async () => {
  const cases: [string[], string][] = [
    [[], 'USAGE bergamotreach'],
    [['config'], 'USAGE bergamotreach config'],
    [['conifg'], 'nearest known: config'],
    [['toString'], 'unknown command'],
    [['config', 'aply', 'x'], 'nearest known: apply'],
    [['config', 'ls', '--sever', closedPort], 'nearest known: --server'],
    [['config', 'ls', '--no-json'], 'unknown flag "--no-json"'],
    [['config', 'ls', '-x'], 'unknown flag "-x"'],
    [['config', 'ls', '--server'], "'--server <value>' argument missing"],
    [['config', 'check'], 'Missing required positional argument: DIR'],
    [['config', 'check', 'a', 'b'], 'surplus argument "b"'],
    [['config', 'ls'], 'set --server or BERGAMOTREACH_SERVER'],
    [['config', 'ls', '--server', 'ftp://x'], 'not of the form http://ip:port'],
    [['job', 'submit', '--members', '1e3', '--server', closedPort], '--members is "1e3"'],
    [['serve'], 'Missing required argument: --settings'],
  ];
  for (const [line, expected] of cases) {
    const { exitCode, out, err } = await runCommandLine(line);
    expect([line, exitCode, out]).toEqual([line, ExitCode.Usage, '']);
    expect(err.includes(expected) ? expected : err).toEqual(expected);
  }
});

// Guards against commands without help, and against escape sequences outside a terminal.
test('every command has help', async () => {
  const groups = ['serve', 'config', 'account', 'job', 'worker', 'instance', 'drain', 'dump'];
  const leaves = [
    ...['check', 'apply', 'put', 'rm', 'ls', 'show', 'history'].map((name) => ['config', name]),
    ...['submit', 'status', 'ls', 'cancel', 'wait'].map((name) => ['job', name]),
    ...['ls', 'show'].map((name) => ['account', name]),
  ];
  for (const words of [[], ...groups.map((name) => [name]), ...leaves]) {
    const { exitCode, out } = await runCommandLine([...words, '--help']);
    expect([words, exitCode]).toEqual([words, ExitCode.Ok]);
    expect(out).toEqual(expect.includes(['USAGE', 'bergamotreach', ...words].join(' ')));
    expect(out.includes('\u001B')).toEqual(false);
  }
});

// Guards against scripts that see another exit code than the documented one.
test('each fault code of the daemon has the exit code in faultResponses', async (context) => {
  let code = FaultCode.BadRequest;
  const fake = await startFakeDaemon(context, () =>
    createErrorResponse(faultResponses[code].status, code),
  );
  for (code of Object.values(FaultCode)) {
    const line = ['worker', 'ls', '--server', fake.url];
    const { exitCode, err } = await runCommandLine(line);
    expect([code, exitCode]).toEqual([code, faultResponses[code].exitCode]);
    expect(err).toEqual(expect.includes(`error: ${code}: reason of ${code}`));
    const json = await runCommandLine([...line, '--json']);
    expect((JSON.parse(json.err) as { error: { code: string } }).error.code).toEqual(code);
  }
});

// Guards against scripts that cannot tell an unreachable daemon from a refused request.
test('a daemon that does not respond, or not in JSON, is unavailable', async (context) => {
  const refused = await runCommandLine(['worker', 'ls', '--server', closedPort]);
  expect(refused.exitCode).toEqual(ExitCode.Unavailable);
  const droppingDaemon = await startFakeDaemon(context, () => undefined);
  const dropped = await runCommandLine(['worker', 'ls', '--server', droppingDaemon.url]);
  expect(dropped.exitCode).toEqual(ExitCode.Unavailable);
  const htmlDaemon = await startFakeDaemon(context, () => ({ status: 200, body: '<html>' }));
  const html = await runCommandLine(['worker', 'ls', '--server', htmlDaemon.url]);
  expect(html.exitCode).toEqual(ExitCode.Unavailable);
});

// Guards against sending a request with the token of another account.
test('server and token flags take precedence over the environment', async (context) => {
  const fake = await startFakeDaemon(context, () => ({ status: 200, body: { workers: [] } }));
  const env = { BERGAMOTREACH_SERVER: fake.url, BERGAMOTREACH_TOKEN: 'env-token' };
  await runCommandLine(['worker', 'ls'], env);
  await runCommandLine(['worker', 'ls', '--token', 'flag-token'], env);
  expect(fake.requests.map(({ authorization }) => authorization)).toEqual([
    'Bearer env-token',
    'Bearer flag-token',
  ]);
});

// Guards against JSON that is altered for display, and against colours despite NO_COLOR.
test('lists are printed as tables, or the response as JSON', async (context) => {
  const worker = {
    id: 'noord-1-w0',
    region: 'noord',
    dataCentre: 'noord-1',
    rack: 'noord-1-r0',
    state: 'live',
    capacity: { accelerators: 8 },
    isQuarantined: false,
    isEvacuated: true,
  };
  const fake = await startFakeDaemon(context, () => ({ status: 200, body: { workers: [worker] } }));
  const line = ['worker', 'ls', '--server', fake.url];
  expect((await runCommandLine(line)).out).toEqual(
    'ID          REGION  DATA CENTRE  RACK        STATE  ACCELERATORS  IS QUARANTINED  IS EVACUATED\n' +
      'noord-1-w0  noord   noord-1      noord-1-r0  live              8  false           true\n',
  );
  const json = await runCommandLine([...line, '--json']);
  expect(JSON.parse(json.out)).toEqual({ workers: [worker] });
  const isColoured = async (env: Record<string, string>) =>
    (await runCommandLine(line, env, true)).out.includes('\u001B');
  expect([await isColoured({}), await isColoured({ NO_COLOR: '1' })]).toEqual([true, false]);
});

// Guards against showing the guarantees of another account under the requested one.
test('account show prints only the guarantees of the account', async (context) => {
  const body = {
    accounts: [
      { id: 'a', weight: 1 },
      { id: 'b', weight: 2 },
    ],
    guarantees: [
      { account: 'a', accelerators: 8 },
      { account: 'b', accelerators: 4 },
    ],
  };
  const fake = await startFakeDaemon(context, () => ({ status: 200, body }));
  const found = await runCommandLine(['account', 'show', 'b', '--json', '--server', fake.url]);
  expect(JSON.parse(found.out)).toEqual({
    account: { id: 'b', weight: 2 },
    guarantees: [{ account: 'b', accelerators: 4 }],
  });
  const missing = await runCommandLine(['account', 'show', 'c', '--server', fake.url]);
  expect(missing.exitCode).toEqual(ExitCode.NotFound);
});

// Guards against a dump that drains the daemon, and against a drain that does nothing.
test('drain and dump call the daemon', async (context) => {
  const fake = await startFakeDaemon(context, () => ({ status: 200, body: { state: 'draining' } }));
  expect((await runCommandLine(['drain', '--server', fake.url])).out).toEqual('draining\n');
  expect((await runCommandLine(['dump', '--server', fake.url, '--json'])).exitCode).toEqual(
    ExitCode.Ok,
  );
  expect(fake.requests.map(({ method, path }) => `${method} ${path}`)).toEqual([
    'POST /v1/drain',
    'GET /v1/dump',
  ]);
});
