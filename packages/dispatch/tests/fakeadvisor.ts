import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import type { AdviceRules } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Advisor } from '../src/index.ts';
import type { Advice } from '../src/index.ts';

interface IssuedTicket {
  ticket: string;
  /** Incarnation of the worker that accepts it. */
  bornAtMs: number;
  untilMs: number;
}

/** Advisor that handles one call at a time and admits the same workers for all queues. */
export class FakeAdvisor extends Advisor {
  /** Admitted workers; queues have no policy while this is undefined. */
  admitted: ReadonlySet<string> | undefined;
  /** Number of next calls that get no answer. */
  lostCalls = 0;
  /** Calls fail at once. */
  isAway = false;
  validityMs = 4000;
  /** Time that a call takes. */
  answerMs = 20;
  /** Time that the next call takes in addition. */
  delayNextMs = 0;
  /** Further time that it takes for each worker named. */
  perWorkerMs = 0;
  /** Times of the advisor for one step; undefined for those above. */
  findRules: (step: string) => AdviceRules | undefined = () => undefined;
  /** Whether the policy admits a worker to a step. */
  isAdmitted: (step: string, workerId: string) => boolean = (_, workerId) =>
    this.admitted?.has(workerId) === true;
  /** Incarnation of a worker. */
  getBornAtMs: (workerId: string) => number = () => 1;
  readonly calls: { step: string; workers: readonly string[]; atMs: number }[] = [];
  private readonly issued = new Map<string, IssuedTicket>();
  private lastCall: Promise<unknown> = Promise.resolve();

  constructor(private readonly clock: Clock) {
    super();
  }

  /** Whether a worker accepts a ticket for a step now. */
  isValid(step: string, workerId: string, ticket: string | undefined): boolean {
    const issued = this.issued.get(`${step} ${workerId}`);
    if (issued === undefined || issued.ticket !== ticket) return false;
    const isFresh = this.clock.getNowMs() < issued.untilMs;
    return isFresh && issued.bornAtMs === this.getBornAtMs(workerId);
  }

  async advise(
    step: string,
    workerIds: readonly string[],
    timeoutMs: number,
  ): Promise<Result<Advice, Fault>> {
    this.calls.push({ step, workers: workerIds, atMs: this.clock.getNowMs() });
    if (this.isAway) {
      await waitFor(this.clock, 1);
      return Err(createFault(FaultCode.WorkerUnavailable, 'connection refused'));
    }
    if (this.lostCalls > 0) {
      this.lostCalls -= 1;
      await waitFor(this.clock, timeoutMs);
      return Err(createFault(FaultCode.WorkerUnavailable, 'no answer'));
    }
    const answer = this.lastCall.then(() => this.decide(step, workerIds));
    this.lastCall = answer;
    return answer;
  }

  private async decide(step: string, workerIds: readonly string[]): Promise<Result<Advice, Fault>> {
    const rules = this.findRules(step);
    const { decisionMs = this.answerMs, perWorkerMs = this.perWorkerMs } = rules ?? {};
    const { delayNextMs } = this;
    this.delayNextMs = 0;
    await waitFor(this.clock, decisionMs + perWorkerMs * workerIds.length + delayNextMs);
    const nowMs = this.clock.getNowMs();
    const good = workerIds.filter((id) => this.isAdmitted(step, id));
    const tickets = new Map(good.map((id) => [id, `${step} on ${id} at ${nowMs}`]));
    for (const [id, ticket] of tickets) {
      const bornAtMs = this.getBornAtMs(id);
      this.issued.set(`${step} ${id}`, { ticket, bornAtMs, untilMs: nowMs + this.validityMs });
    }
    return Ok({ tickets, validityMs: this.validityMs });
  }
}
