import { expect } from 'earl';
import { test } from 'node:test';
import { runInWorld, submitJob, tokens, waitOwner } from './world.ts';

// Guards against a wrong job that is accepted, or refused without naming the key that is wrong.
test('each wrong field of a submission is refused with its path', async () => {
  await runInWorld({ limits: { maxPayloadBytes: 10 } }, async (world) => {
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
        const answer = await submitJob(world, { jobId: 'a', [key]: value });
        const found = [answer.status, answer.error.code, answer.outcome, answer.error.path];
        expect([key, value, ...found]).toEqual([key, value, 400, 'bad_request', 'not_run', [key]]);
      }
    }
    const large = await submitJob(world, { jobId: 'a', payload: 'x'.repeat(11) });
    expect([large.status, large.error.code, large.error.path]).toEqual([
      413,
      'too_large',
      ['payload'],
    ]);
    for (const body of ['', '[]', 'null', '{"jobId"', '7']) {
      const answer = await world.call('POST', '/v1/jobs', { token: tokens.anna, body });
      expect([body, answer.status, answer.error.code]).toEqual([body, 400, 'bad_request']);
    }
    const listed = await world.call('GET', '/v1/jobs', { token: tokens.operator });
    expect(listed.text).toEqual('{"jobs":[]}');
  });
});

// Guards against an account that reads or ends the work of another one.
test("an account neither sees nor cancels another account's job", async () => {
  await runInWorld({}, async (world) => {
    const submitted = await submitJob(world, { jobId: 'mine', payload: '{"runMs":60000}' });
    expect([submitted.status, submitted.outcome]).toEqual([202, '']);
    const { bert, anna, operator } = tokens;
    for (const name of ['mine', 'anna:mine', 'anna%3Amine']) {
      for (const method of ['GET', 'DELETE']) {
        const answer = await world.call(method, `/v1/jobs/${name}`, { token: bert });
        expect([name, answer.status, answer.error.code]).toEqual([name, 404, 'not_found']);
      }
    }
    expect((await world.call('GET', '/v1/jobs', { token: bert })).text).toEqual('{"jobs":[]}');
    for (const [token, path] of [
      [anna, 'mine'],
      [operator, 'anna:mine'],
    ] as const) {
      const seen = await world.call('GET', `/v1/jobs/${path}`, { token });
      const { jobId, payload } = JSON.parse(seen.text) as { jobId: string; payload?: string };
      expect([jobId, payload]).toEqual(['anna:mine', undefined]);
    }
    expect((await world.call('DELETE', '/v1/jobs/mine', { token: anna })).status).toEqual(200);
  });
});

// Guards against a job that waits for ever, or that is accepted twice with different content.
test('impossible and doubled jobs are refused as not run', async () => {
  await runInWorld({}, async (world) => {
    await waitOwner(world);
    const cases: [object, number, string][] = [
      [{ jobId: 'far', region: 'zuid' }, 404, 'not_found'],
      [{ jobId: 'quota', accelerators: 9, within: 'rack' }, 429, 'quota_exceeded'],
      [{ jobId: 'wide', accelerators: 0, cores: 1000 }, 422, 'never_fits'],
    ];
    for (const [job, status, code] of cases) {
      const answer = await submitJob(world, job);
      expect([answer.status, answer.error.code, answer.outcome]).toEqual([status, code, 'not_run']);
    }
    expect((await submitJob(world, { jobId: 'one', cores: 2 })).status).toEqual(202);
    expect((await submitJob(world, { jobId: 'one', cores: 2 })).status).toEqual(202);
    const doubled = await submitJob(world, { jobId: 'one', cores: 3 });
    expect([doubled.status, doubled.error.code]).toEqual([409, 'duplicate_id']);
    expect((await submitJob(world, { jobId: 'one' }, tokens.bert)).status).toEqual(202);
    world.platform.faults.isStoreDown = true;
    const refused = await submitJob(world, { jobId: 'late' });
    expect([refused.status, refused.error.code, refused.outcome]).toEqual([
      503,
      'store_unavailable',
      'not_run',
    ]);
  });
});
