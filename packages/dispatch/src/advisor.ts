import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** The workers that a queue's policy admits for one step, with their tickets. */
export interface Advice {
  /** Tickets by worker id. A requested worker without a ticket is not admitted. */
  tickets: ReadonlyMap<string, string>;
  /** How long the tickets are valid, in milliseconds. */
  validityMs: number;
}

/** Client of the service that decides which workers may run the steps of a queue. */
export abstract class Advisor {
  /**
   * Requests tickets of some workers for `step`, which is `<job>.<occurrence>.<step>`. Fault
   * `worker_unavailable`: no answer within `timeoutMs`, or too many calls are waiting.
   */
  abstract advise(
    step: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Fault>>;
}
