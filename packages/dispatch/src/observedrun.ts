import type { Task } from '@bergamotreach/scheduling';

/** What is certain about the latest run of a task. */
export interface ObservedRun {
  run: number;
  /** Reports in a row that lack the run. */
  missedReports: number;
  /** The worker's clock when it confirmed the start; infinite before the order was answered. */
  confirmedClockMs: number;
  /**
   * End of the start window on the worker's clock while the outcome of the start is unknown, else
   * 0.
   */
  windowEndMs: number;
  /** Monotonic time at which the first start was sent; absent before. */
  sentAtMs?: number;
  /** Whether a report has listed the run, which proves that the reporting incarnation has it. */
  isListed: boolean;
}

/** Creates the observation of a run that no answer and no report has mentioned yet. */
export function createObservedRun(run: number, known: Partial<ObservedRun> = {}): ObservedRun {
  return {
    run,
    missedReports: 0,
    confirmedClockMs: Infinity,
    windowEndMs: 0,
    isListed: false,
    ...known,
  };
}

/** Observations by task. A run without one was restored from the store. */
export type ObservedRuns = Map<Task, ObservedRun>;

/** Monotonic time until which an unanswered start of a task may take effect, by worker id. */
export type UnansweredStarts = WeakMap<Task, Map<string, number>>;

/** The platform documents that an unanswered order may be carried out up to 12 s later. */
export const maxOrderDelayMs = 13_000;
