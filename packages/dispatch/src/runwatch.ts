import type { Task } from '@bergamotreach/scheduling';

/** What is certain about the latest run of a task. */
export interface RunWatch {
  run: number;
  /** Reports in a row that lack the run. */
  missedReports: number;
  /** The worker's clock when it confirmed the start; infinite before the order was answered. */
  confirmedClockMs: number;
  /** End of the window of a start whose fate is not known; 0 when it is. */
  windowUntilMs: number;
  /** A report listed the run, so the life that the report is from has it. */
  isListed: boolean;
}

/** Creates the watch of a run about which no answer and no report has told anything yet. */
export function createRunWatch(run: number, known: Partial<RunWatch> = {}): RunWatch {
  return {
    run,
    missedReports: 0,
    confirmedClockMs: Infinity,
    windowUntilMs: 0,
    isListed: false,
    ...known,
  };
}

/** Watches by task. A run without one was restored from the store. */
export type RunWatches = Map<Task, RunWatch>;

/** Until which steady time a lost copy of some start of a task may be carried out, by worker. */
export type LateCopies = WeakMap<Task, Map<string, number>>;

/** From the platform's pages: an order without an answer is carried out up to 12 s later. */
export const lateOrderMs = 13_000;
