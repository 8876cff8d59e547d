import { ExitCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { test } from 'node:test';
import { createErrorResponse, runCommandLine, startFakeDaemon, writeFolder } from './fakes.ts';

function createJob(state: string, extra: object = {}) {
  const spec = { members: 2, accelerators: 4, within: 'rack' };
  return { jobId: 'acme:j1', account: 'acme', region: 'noord', state, spec, attempts: 1, ...extra };
}

test('submit sends all fields', async (context) => {
  const fake = await startFakeDaemon(context, () => ({ status: 202, body: createJob('queued') }));
  const folder = writeFolder({ 'payload.txt': 'run study' });
  const flags = ['--id', 'j1', '--members', '2', '--accelerators', '4', '--within', 'rack'];
  const more = ['--urgent', '--region', 'noord', '--payload-file', `${folder}/payload.txt`];
  const line = ['job', 'submit', ...flags, ...more, '--server', fake.url];
  expect((await runCommandLine(line)).exitCode).toEqual(ExitCode.Ok);
  expect(fake.requests[0]!.body).toEqual({
    jobId: 'j1',
    members: 2,
    accelerators: 4,
    cores: 1,
    memoryMb: 1024,
    within: 'rack',
    urgent: true,
    declaredSeconds: 3600,
    dataCentre: '',
    payload: 'run study',
    region: 'noord',
  });
});

test('a lost response to a submission is resolved by reading the job', async (context) => {
  const fake = await startFakeDaemon(context, ({ method }) =>
    method === 'POST' ? undefined : { status: 200, body: createJob('queued') },
  );
  const { exitCode } = await runCommandLine(['job', 'submit', '--id', 'j1', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Ok);
  expect(fake.requests.map(({ method }) => method)).toEqual(['POST', 'GET']);
});

test('a lost response without a job to read is unknown and names the id', async (context) => {
  const fake = await startFakeDaemon(context, ({ method }) =>
    method === 'POST' ? undefined : createErrorResponse(404, 'not_found'),
  );
  const { exitCode, err } = await runCommandLine([
    'job',
    'submit',
    '--id',
    'j1',
    '--server',
    fake.url,
  ]);
  expect(exitCode).toEqual(ExitCode.Unknown);
  expect(err).toEqual(expect.includes('job id j1'));
});

test('wait ends with the job, despite an outage of the daemon', async (context) => {
  const responses = [
    { status: 200, body: createJob('queued') },
    createErrorResponse(503, 'store_unavailable'),
    { status: 200, body: createJob('running') },
    { status: 200, body: createJob('done') },
  ];
  const fake = await startFakeDaemon(context, () => responses.shift());
  const { exitCode, out } = await runCommandLine(['job', 'wait', 'j1', '--server', fake.url]);
  expect(exitCode).toEqual(ExitCode.Ok);
  expect(out).toEqual(expect.includes('state     done'));
});

test('wait distinguishes failure, cancellation, absence and timeout', async (context) => {
  const cases: [object, number, number][] = [
    [createJob('failed', { message: 'bad image' }), 200, ExitCode.Failed],
    [createJob('cancelled'), 200, ExitCode.Failed],
    [createErrorResponse(404, 'not_found')!.body as object, 404, ExitCode.NotFound],
    [createJob('running'), 200, ExitCode.Refused],
  ];
  for (const [body, status, expected] of cases) {
    const fake = await startFakeDaemon(context, () => ({ status, body }));
    const line = ['job', 'wait', 'j1', '--timeout', '3', '--server', fake.url];
    expect((await runCommandLine(line)).exitCode).toEqual(expected);
  }
});

test('ls filters by state; cancel and status address one job', async (context) => {
  const jobs = [createJob('queued'), createJob('done')];
  const fake = await startFakeDaemon(context, ({ path }) => ({
    status: 200,
    body: path === '/v1/jobs' ? { jobs } : jobs[0],
  }));
  const { out } = await runCommandLine(['job', 'ls', '--state', 'done', '--server', fake.url]);
  expect(out).toEqual(
    'JOB ID   ACCOUNT  REGION  STATE  MEMBERS  ACCELERATORS  WITHIN  ATTEMPTS  MESSAGE\n' +
      'acme:j1  acme     noord   done         2             4  rack           1  -\n',
  );
  await runCommandLine(['job', 'status', 'acme:j1', '--server', fake.url]);
  await runCommandLine(['job', 'cancel', 'acme:j1', '--server', fake.url]);
  expect(fake.requests.map(({ method, path }) => `${method} ${path}`).slice(1)).toEqual([
    'GET /v1/jobs/acme%3Aj1',
    'DELETE /v1/jobs/acme%3Aj1',
  ]);
});
