import { getShapeKey } from './footprint.ts';
import type { JobSpec } from './spec.ts';
import type { Account, CoreState, Job } from './state.ts';

/** Creates a job that is neither queued nor running yet. */
export function createJob(
  state: CoreState,
  account: Account,
  history: {
    job: JobSpec;
    acceptedAtMs: number;
    attainedSeconds: number;
    failedWorkers: string[];
  },
): Job {
  const spec = history.job;
  state.nextSequence += 1;
  return {
    spec,
    account,
    accelerators: spec.members * spec.accelerators,
    acceptedAtMs: history.acceptedAtMs,
    queuedAtMs: Math.min(history.acceptedAtMs, state.nowMs),
    notBeforeMs: 0,
    attempts: 0,
    failedStarts: 0,
    memberFailures: 0,
    attainedSeconds: history.attainedSeconds,
    attainedAtMs: state.nowMs,
    failedWorkers: new Set(history.failedWorkers),
    isCancelled: false,
    gang: undefined,
    claim: undefined,
    shapeKey: getShapeKey(spec),
    accountShapeKey: `${spec.account}:${getShapeKey(spec)}`,
    priorityLevel: 0,
    sequence: state.nextSequence,
  };
}
