import { loadSettings } from '@bergamotreach/daemon';
import { ExitCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { test } from 'node:test';
import { createErrorResponse, runCommandLine, startFakeDaemon, writeFolder } from './fakes.ts';
import type { FakeRequest, FakeResponse } from './fakes.ts';

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

// Guards against examples that no longer match the configuration keys or the settings.
test('check of the examples passes', async () => {
  for (const name of ['ezelpad', 'trinacria']) {
    expect((await runCommandLine(['config', 'check', `examples/${name}`])).exitCode).toEqual(
      ExitCode.Ok,
    );
  }
  expect((await loadSettings('examples/settings.json')).isOk()).toEqual(true);
});

// Guards against operators who find out only one fault per run.
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

// Guards against accepting an empty folder: applying it would remove the whole configuration.
test('check of a missing or empty folder fails', async () => {
  const missing = await runCommandLine(['config', 'check', '/nonexistent/folder']);
  expect(missing.exitCode).toEqual(ExitCode.NotFound);
  const empty = await runCommandLine(['config', 'check', writeFolder({})]);
  expect(empty.exitCode).toEqual(ExitCode.Usage);
});

// Guards against sending unchanged files, which a conflict would list as changed.
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

// Guards against new revisions without a change, and against a dry run that takes effect.
test('apply that changes nothing, is invalid or is a dry run sends nothing', async (context) => {
  const fake = await startFakeDaemon(context, createConfigHandler(acceptChange));
  const run = async (files: Record<string, string>, ...flags: string[]) =>
    runCommandLine(['config', 'apply', writeFolder(files), '--server', fake.url, ...flags]);
  expect((await run(activeFiles)).out).toEqual('no change from active revision 4\n');
  expect((await run({ 'a.json': '{' })).exitCode).toEqual(ExitCode.Invalid);
  expect((await run({ 'a.json': '{}' }, '--dry-run')).exitCode).toEqual(ExitCode.Ok);
  expect(fake.requests.filter(({ method }) => method === 'POST').length).toEqual(0);
});

// Guards against a change of single files that removes the others, and against misspelled names.
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

// Guards against reporting a change as refused although it may have taken effect.
test('a response lost on every attempt is an unknown outcome', async (context) => {
  const fake = await startFakeDaemon(
    context,
    createConfigHandler(() => undefined),
  );
  const { exitCode, err } = await runCommandLine(['config', 'rm', 'b.json', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Unknown);
  expect(err).toEqual(expect.includes('it is not known whether it took effect'));
});

// Guards against overwriting another operator's change, and against conflicts without its content.
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

// Guards against altered file contents, and against history lines too long for a terminal.
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

// Guards against an evacuation that replaces the operators' files, names a data centre that does not exist,
// or cannot be taken back.
test('evacuate adds a file of its own, and its end removes it', async (context) => {
  const site = JSON.stringify({ dataCentres: { d1: { region: 'r1' } } });
  const evacuation = JSON.stringify({ dataCentres: { d1: { isEvacuated: true } } });
  let files: Record<string, string> = { 'a.json': site };
  const requests: unknown[] = [];
  const fake = await startFakeDaemon(context, (request) => {
    if (request.method === 'GET') {
      return { status: 200, body: { revision: 4, manifest: 'm', files } };
    }
    requests.push(request.body);
    return acceptChange();
  });
  const run = (...args: string[]) => runCommandLine(['evacuate', ...args, '--server', fake.url]);
  expect((await run('d1')).out).toEqual('put     evacuation-d1.json\naccepted as revision 5\n');
  expect(requests).toEqual([
    expect.subset({ put: { 'evacuation-d1.json': evacuation }, remove: [] }),
  ]);
  expect((await run('d2')).exitCode).toEqual(ExitCode.NotFound);
  expect((await run('d1', '--end')).out).toEqual('no change from active revision 4\n');
  files = { ...files, 'evacuation-d1.json': evacuation };
  expect((await run('d1')).out).toEqual('no change from active revision 4\n');
  expect((await run('d1', '--end')).out).toEqual(
    'remove  evacuation-d1.json\naccepted as revision 5\n',
  );
});
