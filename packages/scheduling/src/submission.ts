import type { Resources } from './resources.ts';

/** Priority of the queues whose jobs may preempt others. */
export const urgentPriority = 0;

/** One step of a job: identical tasks with the same resource demand. */
export interface StepSpec {
  taskCount: number;
  /** Resources of one task. */
  demand: Resources;
  /** Declared run time of one task in milliseconds; a rough estimate, 0 when not given. */
  estimatedMs: number;
  /** Indexes of earlier steps that must complete first. */
  dependsOn: readonly number[];
  /** Gang scheduling: all tasks run at the same time or none does. */
  isGang: boolean;
  /** Tasks run slower when they are spread over several racks, so one rack is preferred. */
  isRackBound: boolean;
  /** Label that a worker must have; empty for no requirement. */
  requiredLabel: string;
  /** Rack that holds the data; tasks run slower elsewhere. Empty for no preference. */
  preferredRack: string;
  /** Maximum number of tasks of this step on one worker; 0 is unlimited. */
  maxPerWorker: number;
  /** Tasks write checkpoints, so a stopped task resumes from its latest one. */
  isCheckpointing: boolean;
  /** Tasks run until the job is cancelled. */
  isLongRunning: boolean;
  /** Image that the tasks run; tasks of the same image are assumed to behave alike. */
  image: string;
}

/** Schedule of a recurring job. */
export interface Recurrence {
  count: number;
  /** Unix time of the first occurrence in milliseconds. */
  firstAtMs: number;
  intervalMs: number;
}

/** Rules of the queue that a job was submitted to, copied when the job was accepted. */
export interface QueueRules {
  /** Lower values are served first; 0 may preempt other work. */
  priority: number;
  /** Number of failed runs of a task, or of a gang, after which the job fails. */
  maxAttempts: number;
  /** The completion objective is the critical path times `stretch`, plus `targetMs`. */
  stretch: number;
  targetMs: number;
}

/** How long the advisor of a queue takes to answer. Durations are in milliseconds. */
export interface AdviceRules {
  decisionMs: number;
  /** Added for each worker in a call. */
  perWorkerMs: number;
  /** How long its tickets are valid; absent if the configuration does not say. */
  validityMs?: number | undefined;
}

/** A job as it was accepted. */
export interface JobSubmission {
  id: string;
  account: string;
  /** Name of the queue. */
  queue: string;
  /** Name of the worker pool that runs its tasks. */
  pool: string;
  rules: QueueRules;
  /** Rules of the queue's advisor when the job was accepted; absent if it had none, and in rows of earlier versions. */
  advice?: AdviceRules | undefined;
  /** Passed to the workers unread. */
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

/** Whether a state is terminal: the job never runs again. */
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
