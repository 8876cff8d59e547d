import { loadSettings } from '@bergamotreach/daemon';
import { ExitCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { test } from 'node:test';
import { createErrorResponse, runCommandLine, startFakeDaemon, writeFolder } from './fakes.ts';
import type { FakeResponse, FakeRequest } from './fakes.ts';

function formatAccount(id: string, weight: number): string {
  return JSON.stringify({ accounts: { [id]: { weight } } });
}

const activeFiles = { 'a.json': formatAccount('a', 1), 'b.json': formatAccount('b', 1) };

function createConfigHandler(handlePost: (request: FakeRequest) => FakeResponse) {
  return (request: FakeRequest): FakeResponse =>
    request.method === 'GET'
      ? { status: 200, body: { revision: 4, manifest: 'm', files: activeFiles } }
      : handlePost(request);
}

const acceptChange = (): FakeResponse => ({ status: 200, body: { revision: 5 } });

test('check of the examples passes', async () => {
  for (const name of ['ezelpad', 'trinacria']) {
    expect((await runCommandLine(['config', 'check', `examples/${name}`])).exitCode).toEqual(
      ExitCode.Ok,
    );
  }
  expect((await loadSettings('examples/settings.json')).isOk()).toEqual(true);
});

test('check prints every fault', async () => {
  const folder = writeFolder({ 'a.json': formatAccount('a', 0), 'b.json': '{"limts": {}}' });
  const { exitCode, err } = await runCommandLine(['config', 'check', folder]);
  expect(exitCode).toEqual(ExitCode.Invalid);
  expect(err).toEqual(expect.includes('a.json: accounts.a.weight: found 0'));
  expect(err).toEqual(expect.includes('nearest known: "limits"'));
  const json = await runCommandLine(['config', 'check', folder, '--json']);
  const { error } = JSON.parse(json.err) as { error: { details: { faults: unknown[] } } };
  expect(error.details.faults.length).toEqual(2);
});

test('check of a missing or empty folder fails', async () => {
  const missing = await runCommandLine(['config', 'check', '/nonexistent/folder']);
  expect(missing.exitCode).toEqual(ExitCode.NotFound);
  const empty = await runCommandLine(['config', 'check', writeFolder({})]);
  expect(empty.exitCode).toEqual(ExitCode.Usage);
});

test('apply sends only the difference, with the revision it is based on', async (context) => {
  const fake = await startFakeDaemon(context, createConfigHandler(acceptChange));
  const folder = writeFolder({ 'a.json': formatAccount('a', 2), 'c.json': formatAccount('c', 1) });
  const { exitCode, out } = await runCommandLine(['config', 'apply', folder, '--server', fake.url]);
  expect([exitCode, out]).toEqual([
    ExitCode.Ok,
    'put     a.json\nput     c.json\nremove  b.json\naccepted as revision 5\n',
  ]);
  const { baseRevision, put, remove } = fake.requests[1]!.body;
  expect({ baseRevision, put, remove }).toEqual({
    baseRevision: 4,
    put: { 'a.json': formatAccount('a', 2), 'c.json': formatAccount('c', 1) },
    remove: ['b.json'],
  });
});

test('apply that changes nothing, is invalid or is a dry run sends nothing', async (context) => {
  const fake = await startFakeDaemon(context, createConfigHandler(acceptChange));
  const run = async (files: Record<string, string>, ...flags: string[]) =>
    runCommandLine(['config', 'apply', writeFolder(files), '--server', fake.url, ...flags]);
  expect((await run(activeFiles)).out).toEqual('no change; in force is revision 4\n');
  expect((await run({ 'a.json': '{' })).exitCode).toEqual(ExitCode.Invalid);
  expect((await run({ 'a.json': '{}' }, '--dry-run')).exitCode).toEqual(ExitCode.Ok);
  expect(fake.requests.filter(({ method }) => method === 'POST').length).toEqual(0);
});

test('put and rm change single files', async (context) => {
  const fake = await startFakeDaemon(context, createConfigHandler(acceptChange));
  const folder = writeFolder({ 'a.json': formatAccount('a', 2), 'c.json': formatAccount('c', 1) });
  await runCommandLine([
    'config',
    'put',
    `${folder}/a.json`,
    `${folder}/c.json`,
    '--server',
    fake.url,
  ]);
  await runCommandLine(['config', 'rm', 'a.json', 'b.json', '--server', fake.url]);
  const posts = fake.requests.filter(({ method }) => method === 'POST');
  expect(posts.map(({ body }) => [Object.keys(body.put as object), body.remove])).toEqual([
    [['a.json', 'c.json'], []],
    [[], ['a.json', 'b.json']],
  ]);
  const missing = await runCommandLine(['config', 'rm', 'x.json', '--server', fake.url]);
  expect(missing.exitCode).toEqual(ExitCode.NotFound);
});

// Guards against reporting a change as failed although it took effect.
test('a lost response is retried with the same operation id', async (context) => {
  let posts = 0;
  const fake = await startFakeDaemon(
    context,
    createConfigHandler(() => ((posts += 1) < 3 ? undefined : acceptChange())),
  );
  const { exitCode } = await runCommandLine(['config', 'rm', 'b.json', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Ok);
  const ids = fake.requests
    .filter(({ method }) => method === 'POST')
    .map(({ body }) => body.operationId);
  expect([ids.length, new Set(ids).size]).toEqual([3, 1]);
});

test('a response lost on every attempt is an unknown outcome', async (context) => {
  const fake = await startFakeDaemon(
    context,
    createConfigHandler(() => undefined),
  );
  const { exitCode, err } = await runCommandLine(['config', 'rm', 'b.json', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Unknown);
  expect(err).toEqual(expect.includes('it is not known whether it took effect'));
});

test('a conflict shows both changes per file and is not retried', async (context) => {
  const details = {
    baseRevision: 4,
    headRevision: 5,
    theirs: [{ revision: 5, manifest: 'm', author: 'bob', put: ['a.json'], remove: [] }],
    files: [
      { name: 'a.json', isChangedByTheirs: true, isChangedByYours: false, theirs: '{\n1\n}' },
      { name: 'b.json', isChangedByTheirs: false, isChangedByYours: true, yours: null },
    ],
  };
  const fake = await startFakeDaemon(
    context,
    createConfigHandler(() => createErrorResponse(409, 'conflict', details)),
  );
  const { exitCode, err } = await runCommandLine(['config', 'rm', 'b.json', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Conflict);
  expect(err).toEqual(
    [
      'error: conflict: reason of conflict',
      '  revision 5 by bob: put a.json',
      '  file a.json: changed by them',
      '    theirs | {',
      '    theirs | 1',
      '    theirs | }',
      '  file b.json: changed by you',
      '    yours: removed',
      '',
    ].join('\n'),
  );
  expect(fake.requests.length).toEqual(2);
});

test('ls, show and history', async (context) => {
  const remove = ['a', 'b', 'c', 'd', 'e'];
  const entries = [{ revision: 4, manifest: 'm', author: 'ann', put: ['a.json'], remove }];
  const fake = await startFakeDaemon(context, ({ path }) =>
    path.endsWith('/history')
      ? { status: 200, body: { entries } }
      : { status: 200, body: { revision: 4, manifest: 'm', files: activeFiles } },
  );
  const show = async (...words: string[]) =>
    runCommandLine(['config', ...words, '--server', fake.url]);
  expect((await show('ls')).out).toEqual(
    'NAME    BYTES\na.json     31\nb.json     31\nrevision 4\n',
  );
  expect((await show('show', 'a.json')).out).toEqual(`${formatAccount('a', 1)}\n`);
  expect((await show('show', 'x.json')).exitCode).toEqual(ExitCode.NotFound);
  expect(JSON.parse((await show('show')).out)).toEqual({
    accounts: { a: { weight: 1 }, b: { weight: 1 } },
  });
  expect((await show('history')).out).toEqual(
    'REVISION  AUTHOR  PUT     REMOVED\n       4  ann     a.json  a b c d and 1 more\n',
  );
});
