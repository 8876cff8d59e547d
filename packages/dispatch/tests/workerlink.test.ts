import { test } from 'node:test';
import {
  FaultCode,
  createFault,
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  waitFor,
} from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { RunEnd } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ReportRequest, TaskRunner, WorkerEntry, WorkerReport } from '../src/index.ts';
import { createWorkerLink } from '../src/workerlink.ts';

const end = { sequence: 3, task: 'j.0.0.0', run: 1, end: RunEnd.Done, checkpoint: '' };
const entry = { id: 'w1', bornAtMs: 1, address: 'w1' } as unknown as WorkerEntry;

// Guards against an ended run that is lost because an acknowledgement meant for the previous
// incarnation of a worker reached the next one. Numbering starts over with each incarnation, and a
// call after a failure may reach the next one.
test('a call after a failure acknowledges nothing', async () => {
  const clock = createSystemClock();
  const requests: ReportRequest[] = [];
  const report = async (
    _worker: unknown,
    request: ReportRequest,
  ): Promise<Result<WorkerReport, Fault>> => {
    requests.push(request);
    await waitFor(clock, 10);
    if (requests.length === 3) return Err(createFault(FaultCode.WorkerUnavailable, 'reset'));
    return Ok({ clockMs: 1000 + requests.length, bornAtMs: 1, runs: [], ends: [end] });
  };
  const link = createWorkerLink({
    entry,
    runner: { report } as unknown as TaskRunner,
    fence: 1,
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    maxLeaseMs: 10_000,
    isHolding: () => true,
    onReport: () => Promise.resolve(end.sequence),
    onLapse: () => undefined,
    onRestart: () => undefined,
    onFenced: () => undefined,
  });
  link.start();
  while (requests.length < 5) await waitFor(clock, 20);
  link.stop();
  expect(requests.slice(0, 5).map(({ ackedSequence: ackedEnd }) => ackedEnd)).toEqual([
    0, 3, 3, 0, 3,
  ]);
});
