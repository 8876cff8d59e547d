import type { Clock } from '@bergamotreach/protocol';
import { getOccurrenceCount, isFinal } from '@bergamotreach/scheduling';
import type { JobSubmission } from '@bergamotreach/scheduling';
import type { StateRow } from './jobrows.ts';
import type { TableReplica } from './tablereplica.ts';

/** Memory of a task that runs, and of the row of a job for each of its bytes. */
const taskBytes = 400;
const parsedFactor = 3;
/** A step and one of its dependencies in the row of a job. */
const stepBytes = 400;
const dependencyBytes = 4;
/**
 * Overdue occurrences of a job are opened while fewer than this many, with fewer tasks than this, wait for a place: the
 * others would wait behind them anyway.
 */
export const maxWaitingOccurrences = 16;
export const maxWaitingTasks = 1024;
/** A job whose state does not tell its size: an earlier version wrote it. */
const defaultJobBytes = 16_384;
/** Time after which an owner has adopted an accepted job, and its state is in the replica. */
const adoptionMs = 10_000;
/** The sum over all states is computed at most this often. */
const sumIntervalMs = 250;

/** Memory that an accepted job makes an owner hold until it ends, in bytes. */
export function computeJobBytes(submission: JobSubmission): number {
  const tasks = submission.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  const occurrences = Math.min(
    getOccurrenceCount(submission),
    maxWaitingOccurrences,
    Math.ceil(maxWaitingTasks / tasks) + 1,
  );
  const dependencies = submission.steps.reduce((sum, { dependsOn }) => sum + dependsOn.length, 0);
  const rowBytes =
    submission.payload.length +
    submission.steps.length * stepBytes +
    dependencies * dependencyBytes;
  return rowBytes * parsedFactor + tasks * occurrences * taskBytes;
}

/** Accounts for the memory that accepted jobs make an owner hold. */
export interface HeldWork {
  /** Memory of all jobs that have not ended, accepted or under way to the store, in bytes. */
  getUsedBytes(): number;
  /** Counts a job that this instance stores, until its state shows in the replica. */
  reserve(jobId: string, bytes: number): void;
  /** Whether a job is counted that shows in no state yet. */
  isReserved(jobId: string): boolean;
  /** Uncounts a job that was not accepted. */
  release(jobId: string): void;
}

/** Creates the account; `states` are those of all jobs. */
export function createHeldWork(states: TableReplica<StateRow>, clock: Clock): HeldWork {
  const reserved = new Map<string, { bytes: number; untilMs: number }>();
  let storedBytes = 0;
  let summedMs = -Infinity;

  function sumStored(): number {
    if (clock.getNowMs() - summedMs < sumIntervalMs) return storedBytes;
    summedMs = clock.getNowMs();
    storedBytes = 0;
    for (const [, { state, heldBytes }] of states.list()) {
      if (!isFinal(state)) storedBytes += heldBytes ?? defaultJobBytes;
    }
    return storedBytes;
  }

  return {
    getUsedBytes() {
      let sum = sumStored();
      for (const [jobId, { bytes, untilMs }] of reserved) {
        if (states.find(jobId) !== undefined || clock.getNowMs() > untilMs) reserved.delete(jobId);
        else sum += bytes;
      }
      return sum;
    },
    reserve(jobId, bytes) {
      reserved.set(jobId, { bytes, untilMs: clock.getNowMs() + adoptionMs });
    },
    isReserved: (jobId) => reserved.has(jobId),
    release(jobId) {
      reserved.delete(jobId);
    },
  };
}
