import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Workers that the policy of a queue admits for one step, with their tickets. */
export interface Advice {
  /** Tickets by worker id. A worker that was asked for and is missing is not admitted. */
  tickets: ReadonlyMap<string, string>;
  /** How long the tickets are valid, in milliseconds. */
  validityMs: number;
}

/** Knows which workers may run a step of a queue with a policy of its own. */
export abstract class Advisor {
  /**
   * Asks about some workers for `step`, `<job>.<occurrence>.<step>`. Fault `worker_unavailable`: no
   * answer within `timeoutMs`, or too many calls wait.
   */
  abstract advise(
    step: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Fault>>;
}
