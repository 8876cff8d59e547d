import type { Logger } from './logger.ts';

/** Logs an error that nothing expected, with its stack. */
export function reportFailure(logger: Logger, task: string, error: unknown): void {
  logger.error('task_failed', {
    task,
    reason: error instanceof Error ? error.message : String(error),
    stack: error instanceof Error ? error.stack : undefined,
  });
}

/**
 * Runs one piece of work whose unexpected error must end this piece alone and not the process. Resolves
 * with false after an error, which is logged.
 */
export async function runContained(
  logger: Logger,
  task: string,
  work: () => unknown,
): Promise<boolean> {
  try {
    await work();
    return true;
  } catch (error) {
    reportFailure(logger, task, error);
    return false;
  }
}

/** Like `runContained`, for work that is done when it returns. */
export function callContained(logger: Logger, task: string, work: () => void): boolean {
  try {
    work();
    return true;
  } catch (error) {
    reportFailure(logger, task, error);
    return false;
  }
}

/** What tells of errors, as a process does. */
export interface FailureSource {
  on(event: 'uncaughtException' | 'unhandledRejection', handle: (error: unknown) => void): unknown;
}

/** Options of the watch for errors that no piece of work contained. */
export interface FailureWatchOptions {
  logger: Logger;
  /** The process. */
  source: FailureSource;
  /** Called once, after the first error, to end the process in order. */
  onFailure: () => void;
}

/** Logs errors that would end the process at once, and lets it end in order instead. */
export function watchFailures({ logger, source, onFailure }: FailureWatchOptions): void {
  let hasFailed = false;
  const handleFailure = (error: unknown): void => {
    reportFailure(logger, 'process', error);
    if (hasFailed) return;
    hasFailed = true;
    onFailure();
  };
  source.on('uncaughtException', handleFailure);
  source.on('unhandledRejection', handleFailure);
}
