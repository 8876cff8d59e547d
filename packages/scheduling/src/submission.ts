import type { Resources } from './resources.ts';

/** Priority of the queues whose jobs may stop the work of others. */
export const urgentPriority = 0;

/** One step of a job: tasks of one shape. */
export interface StepSpec {
  taskCount: number;
  /** Resources of one task. */
  demand: Resources;
  /** Declared run time of one task in milliseconds; rough, 0 when not given. */
  estimatedMs: number;
  /** Indexes of earlier steps that must be done first. */
  dependsOn: readonly number[];
  /** All tasks run together or not at all. */
  isGang: boolean;
  /** Tasks run slower when they are spread over several racks. */
  isRackBound: boolean;
  /** Label that a worker must have; empty when any worker will do. */
  requiredLabel: string;
  /** Rack that holds the data; elsewhere tasks run slower. Empty when there is none. */
  preferredRack: string;
  /** Largest number of tasks of this step on one worker; 0 is unlimited. */
  maxPerWorker: number;
  /** Tasks save their progress as they go. */
  isCheckpointing: boolean;
  /** Tasks run until the job is cancelled. */
  isLongRunning: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  image: string;
}

/** Occurrences of a timed job. */
export interface Recurrence {
  count: number;
  /** Unix time of the first occurrence in milliseconds. */
  firstAtMs: number;
  intervalMs: number;
}

/** Rules of the queue a job was submitted to, as of its acceptance. */
export interface QueueRules {
  /** 0 is served first and may preempt others. */
  priority: number;
  /** Runs of a task that may fail before the job fails. */
  maxAttempts: number;
  /** The objective is this many times the longest chain of work plus `targetMs`. */
  stretch: number;
  targetMs: number;
}

/** A job as accepted. */
export interface JobSubmission {
  id: string;
  account: string;
  /** Name of the queue. */
  queue: string;
  /** Name of the worker pool that runs its tasks. */
  pool: string;
  rules: QueueRules;
  /** Passed to the workers; opaque to the scheduler. */
  payload: string;
  steps: readonly StepSpec[];
  /** Absent for a job that runs once. */
  recurrence?: Recurrence;
}

/** State of a job as its submitter sees it. */
export enum JobState {
  Queued = 'queued',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Whether a job in this state never runs again. */
export function isFinal(state: JobState): boolean {
  return state !== JobState.Queued && state !== JobState.Running;
}

/** Number of times that the steps of a job run. */
export function getOccurrenceCount(job: JobSubmission): number {
  return job.recurrence?.count ?? 1;
}

/** Unix time from which an occurrence may start; 0 for a job without recurrence. */
export function getDueAtMs(job: JobSubmission, occurrence: number): number {
  if (job.recurrence === undefined) return 0;
  return job.recurrence.firstAtMs + occurrence * job.recurrence.intervalMs;
}
