import { expect } from 'earl';
import { test } from 'node:test';
import { runWithHarness, submitJob, tokens, waitForOwner } from './harness.ts';

// Guards against accepting an invalid job, and against errors that do not name the invalid key.
test('each invalid field of a submission is refused with its path', async () => {
  await runWithHarness({ limits: { maxPayloadBytes: 10 } }, async (harness) => {
    const numbers: [string, unknown[]][] = [
      ['members', [0, 129, 1.5, '1', null]],
      ['accelerators', [-1, 65, null, []]],
      ['cores', [-1, 1025, {}]],
      ['memoryMb', [-1, 16_777_217, true]],
      ['declaredSeconds', [-1, 31_536_001, 'long']],
    ];
    const texts: [string, unknown[]][] = [
      ['jobId', ['', 'a:b', '-a', 'a b', 'a'.repeat(65), 7, null, undefined]],
      ['within', ['planet', 'constructor', '', 3]],
      ['dataCentre', [1, null]],
      ['region', [1, null]],
      ['payload', [{}, null]],
      ['urgent', ['yes', 1, null]],
      ['colour', ['red']],
    ];
    for (const [key, values] of [...numbers, ...texts]) {
      for (const value of values) {
        const response = await submitJob(harness, { jobId: 'a', [key]: value });
        const found = [response.status, response.error.code, response.outcome, response.error.path];
        expect([key, value, ...found]).toEqual([key, value, 400, 'bad_request', 'not_run', [key]]);
      }
    }
    const large = await submitJob(harness, { jobId: 'a', payload: 'x'.repeat(11) });
    expect([large.status, large.error.code, large.error.path]).toEqual([
      413,
      'too_large',
      ['payload'],
    ]);
    for (const body of ['', '[]', 'null', '{"jobId"', '7']) {
      const response = await harness.call('POST', '/v1/jobs', { token: tokens.anna, body });
      expect([body, response.status, response.error.code]).toEqual([body, 400, 'bad_request']);
    }
    const listed = await harness.call('GET', '/v1/jobs', { token: tokens.operator });
    expect(listed.text).toEqual('{"jobs":[]}');
  });
});

// Guards against an account that reads or cancels the jobs of another one.
test("an account neither sees nor cancels another account's job", async () => {
  await runWithHarness({}, async (harness) => {
    const submitted = await submitJob(harness, { jobId: 'mine', payload: '{"runMs":60000}' });
    expect([submitted.status, submitted.outcome]).toEqual([202, '']);
    const { bert, anna, operator } = tokens;
    for (const name of ['mine', 'anna:mine', 'anna%3Amine']) {
      for (const method of ['GET', 'DELETE']) {
        const response = await harness.call(method, `/v1/jobs/${name}`, { token: bert });
        expect([name, response.status, response.error.code]).toEqual([name, 404, 'not_found']);
      }
    }
    expect((await harness.call('GET', '/v1/jobs', { token: bert })).text).toEqual('{"jobs":[]}');
    for (const [token, path] of [
      [anna, 'mine'],
      [operator, 'anna:mine'],
    ] as const) {
      const seen = await harness.call('GET', `/v1/jobs/${path}`, { token });
      const { jobId, payload } = JSON.parse(seen.text) as { jobId: string; payload?: string };
      expect([jobId, payload]).toEqual(['anna:mine', undefined]);
    }
    expect((await harness.call('DELETE', '/v1/jobs/mine', { token: anna })).status).toEqual(200);
  });
});

// Guards against queueing a job that can never run, and against accepting two different jobs under
// one id.
test('impossible and duplicate jobs are refused as not run', async () => {
  await runWithHarness({}, async (harness) => {
    await waitForOwner(harness);
    const cases: [object, number, string][] = [
      [{ jobId: 'far', region: 'zuid' }, 404, 'not_found'],
      [{ jobId: 'quota', accelerators: 9, within: 'rack' }, 429, 'quota_exceeded'],
      [{ jobId: 'wide', accelerators: 0, cores: 1000 }, 422, 'never_fits'],
    ];
    for (const [job, status, code] of cases) {
      const response = await submitJob(harness, job);
      expect([response.status, response.error.code, response.outcome]).toEqual([
        status,
        code,
        'not_run',
      ]);
    }
    expect((await submitJob(harness, { jobId: 'one', cores: 2 })).status).toEqual(202);
    expect((await submitJob(harness, { jobId: 'one', cores: 2 })).status).toEqual(202);
    const duplicate = await submitJob(harness, { jobId: 'one', cores: 3 });
    expect([duplicate.status, duplicate.error.code]).toEqual([409, 'duplicate_id']);
    expect((await submitJob(harness, { jobId: 'one' }, tokens.bert)).status).toEqual(202);
    harness.platform.faults.isStoreDown = true;
    const refused = await submitJob(harness, { jobId: 'late' });
    expect([refused.status, refused.error.code, refused.outcome]).toEqual([
      503,
      'store_unavailable',
      'not_run',
    ]);
  });
});
