import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Advisor } from '../src/index.ts';
import type { Advice } from '../src/index.ts';

/** Advisor that admits the same workers for all queues. */
export class FakeAdvisor extends Advisor {
  /** Admitted workers; queues have no policy while this is undefined. */
  admitted: ReadonlySet<string> | undefined;
  /** Number of next calls that get no answer. */
  lostCalls = 0;
  validityMs = 4000;
  /** Time that a call takes. */
  answerMs = 20;
  /** Further time that it takes for each worker named. */
  perWorkerMs = 0;
  readonly calls: { step: string; workers: readonly string[] }[] = [];

  constructor(private readonly clock: Clock) {
    super();
  }

  async advise(
    step: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Fault>> {
    this.calls.push({ step, workers: workerIds });
    if (this.lostCalls > 0) {
      this.lostCalls -= 1;
      await waitFor(this.clock, timeoutMs);
      return Err(createFault(FaultCode.WorkerUnavailable, 'no answer'));
    }
    await waitFor(this.clock, this.answerMs + this.perWorkerMs * workerIds.length);
    const good = workerIds.filter((id) => this.admitted?.has(id) === true);
    const tickets = new Map(good.map((id) => [id, `${step} on ${id}`]));
    return Ok({ tickets, validityMs: this.validityMs });
  }
}
