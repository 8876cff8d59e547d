import { test } from 'node:test';
import { FaultCode, createManualClock, waitForPromises } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createQueueLimit } from '../src/queuelimit.ts';
import type { RegionReports } from '../src/regionreports.ts';

function createReports(queued: number): RegionReports & { loads: number } {
  const usageByRegion = { noord: { acme: { inUse: 0, queued } } };
  const empty = { guarantees: [], usage: {}, quarantined: [], unreachable: [] };
  const reports = {
    loads: 0,
    getOwnReport: () => undefined,
    loadReports: async () => {
      reports.loads += 1;
      return Promise.resolve({ ...empty, usageByRegion });
    },
  };
  return reports;
}

// Guards against an account that fills the queue of a region without limit.
test('a full queue refuses further jobs of the account only', async () => {
  const limit = createQueueLimit(createManualClock(), createReports(5));
  limit.checkQueue('noord', 'acme', 5);
  await waitForPromises();
  const refused = limit.checkQueue('noord', 'acme', 5);
  expect(refused.isErr() && refused.error.code).toEqual(FaultCode.QueueFull);
  expect(limit.checkQueue('noord', 'other', 5).isOk()).toEqual(true);
  expect(limit.checkQueue('zuid', 'acme', 5).isOk()).toEqual(true);
  expect(limit.checkQueue('noord', 'acme', 6).isOk()).toEqual(true);
});

// Guards against delaying an urgent job until the report request of a region without an owner
// times out.
test('a check does not wait for a report', () => {
  const pendingReports: RegionReports = {
    getOwnReport: () => undefined,
    loadReports: () => new Promise(() => undefined),
  };
  const limit = createQueueLimit(createManualClock(), pendingReports);
  expect(limit.checkQueue('noord', 'acme', 5).isOk()).toEqual(true);
});

// Guards against requesting reports from every region owner for each job of a burst.
test('a burst of submissions requests reports once a second', async () => {
  const clock = createManualClock();
  const reports = createReports(0);
  const limit = createQueueLimit(clock, reports);
  for (let count = 0; count < 100; count += 1) limit.checkQueue('noord', 'acme', 5);
  expect(reports.loads).toEqual(1);
  await clock.advance(1001);
  limit.checkQueue('noord', 'acme', 5);
  expect(reports.loads).toEqual(2);
});
