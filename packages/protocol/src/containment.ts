import type { Logger } from './logger.ts';

/** Logs an unexpected error with its stack. */
export function reportError(logger: Logger, task: string, error: unknown): void {
  logger.error('task_failed', {
    task,
    reason: error instanceof Error ? error.message : String(error),
    stack: error instanceof Error ? error.stack : undefined,
  });
}

/**
 * Runs work and logs an error that it throws, so that the error ends only this work and not the
 * process. Resolves with `false` after an error.
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
    reportError(logger, task, error);
    return false;
  }
}

/** Synchronous variant of `runContained`. */
export function runContainedSync(logger: Logger, task: string, work: () => void): boolean {
  try {
    work();
    return true;
  } catch (error) {
    reportError(logger, task, error);
    return false;
  }
}

/** Emitter of uncaught errors, such as `process`. */
export interface UncaughtErrorSource {
  on(event: 'uncaughtException' | 'unhandledRejection', handle: (error: unknown) => void): unknown;
}

/** Options of the handler for uncaught errors. */
export interface UncaughtErrorOptions {
  logger: Logger;
  /** `process`, except in tests. */
  source: UncaughtErrorSource;
  /** Called once, after the first error, to shut the process down gracefully. */
  onFailure: () => void;
}

/** Logs uncaught errors and shuts the process down gracefully instead of letting it crash. */
export function handleUncaughtErrors({ logger, source, onFailure }: UncaughtErrorOptions): void {
  let hasFailed = false;
  const handleError = (error: unknown): void => {
    reportError(logger, 'process', error);
    if (hasFailed) return;
    hasFailed = true;
    onFailure();
  };
  source.on('uncaughtException', handleError);
  source.on('unhandledRejection', handleError);
}
