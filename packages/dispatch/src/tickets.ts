import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { countRoom, listWaiting } from '@bergamotreach/scheduling';
import type { ReadyGroup, TaskGroup, WorkerView } from '@bergamotreach/scheduling';
import type { Advisor } from './advisor.ts';
import type { AdviceRules } from './configuration.ts';
import type { Fleet } from './fleet.ts';

/** Options of the tickets of an owner. */
export interface TicketDeskOptions {
  advisor: Advisor;
  fleet: Fleet;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Advice that a queue needs; `undefined` when its tasks may run on any worker. */
  findRules: (queue: string) => AdviceRules | undefined;
  /** Called when new tickets came. */
  onTickets: () => void;
}

/** Tickets for the steps of queues whose policy admits only some workers. */
export interface TicketDesk {
  /** Sets the workers that each group may use, and asks about more where their room is too small. */
  prepare(ready: readonly ReadyGroup[], workers: readonly WorkerView[]): void;
  /** Ticket of a group for a worker; `undefined` when it needs none or has none. */
  findTicket(group: TaskGroup, workerId: string): string | undefined;
  /** Forgets a ticket that the worker did not accept. */
  dropTicket(group: TaskGroup, workerId: string): void;
  /** Forgets the steps of a job. */
  dropJob(jobId: string): void;
}

interface Ticket {
  ticket: string;
  /** Life of the worker that accepts it. */
  bornAtMs: number;
  expiresAtMs: number;
}

interface StepTickets {
  tickets: Map<string, Ticket>;
  /** Workers that the policy admits; it does not change. */
  admitted: Set<string>;
  refused: Set<string>;
}

/** Workers of one call: the objectives of jobs allow for one call on this many. */
const workersPerCall = 30;
/** A ticket must outlive the window of a start, 2 s, and the call that carries it. */
const minLeftMs = 2400;
/** Time for the calls of other machines that the service handles first. */
const queueSlackMs = 1500;
const retryMs = 300;

/** Creates a desk without tickets. One call is under way at a time: the service takes them in turn. */
export function createTicketDesk(options: TicketDeskOptions): TicketDesk {
  const { advisor, fleet, clock, logger, metrics } = options;
  const steps = new Map<string, StepTickets>();
  let isAsking = false;

  function getStep(key: string): StepTickets {
    const known = steps.get(key);
    if (known !== undefined) return known;
    const created = { tickets: new Map(), admitted: new Set<string>(), refused: new Set<string>() };
    steps.set(key, created);
    return created;
  }

  function findValid(step: StepTickets, workerId: string): Ticket | undefined {
    const ticket = step.tickets.get(workerId);
    const bornAtMs = fleet.find(workerId)?.getEntry().bornAtMs;
    const isValid =
      ticket?.bornAtMs === bornAtMs && (ticket?.expiresAtMs ?? 0) > clock.getNowMs() + minLeftMs;
    return isValid ? ticket : undefined;
  }

  /** Workers to ask about: those that were admitted before first, then those with the most room. */
  function chooseCandidates(group: TaskGroup, workers: readonly WorkerView[]): string[] {
    const step = getStep(group.key);
    const rackRoom = new Map<string, number>();
    const choices = workers
      .filter(({ id }) => !step.refused.has(id) && findValid(step, id) === undefined)
      .map((worker) => ({ worker, slots: countRoom(group, worker, worker.free) }))
      .filter(({ worker }) => countRoom(group, worker, worker.capacity) > 0);
    for (const { worker, slots } of choices) {
      rackRoom.set(worker.rack, (rackRoom.get(worker.rack) ?? 0) + slots);
    }
    const getScore = ({ worker, slots }: (typeof choices)[number]): number[] => [
      Number(step.admitted.has(worker.id)),
      Number(worker.rack === group.spec.preferredRack),
      group.spec.isRackBound ? (rackRoom.get(worker.rack) ?? 0) : 0,
      slots,
    ];
    return choices
      .map((choice) => ({ id: choice.worker.id, score: getScore(choice) }))
      .sort((a, b) => compareScores(b.score, a.score))
      .slice(0, workersPerCall)
      .map(({ id }) => id);
  }

  async function requestAdvice(group: TaskGroup, rules: AdviceRules, ids: string[]): Promise<void> {
    isAsking = true;
    const startedMs = clock.getNowMs();
    const timeoutMs = rules.decisionMs + rules.perWorkerMs * ids.length + queueSlackMs;
    const lives = new Map(ids.map((id) => [id, fleet.find(id)?.getEntry().bornAtMs]));
    const result = await advisor.advise(group.key, ids, timeoutMs);
    const tookMs = Math.round(clock.getNowMs() - startedMs);
    const outcome = result.isOk() ? 'answered' : result.error.message;
    logger.info('advice_asked', {
      step: group.key,
      workers: ids.length,
      admitted: result.isOk() ? result.value.tickets.size : 0,
      outcome,
      tookMs,
    });
    metrics.count('advice.calls', 1, { outcome: result.isOk() ? 'answered' : 'failed' });
    if (result.isOk()) {
      const step = getStep(group.key);
      for (const id of ids) {
        const ticket = result.value.tickets.get(id);
        const bornAtMs = lives.get(id);
        if (ticket === undefined) step.refused.add(id);
        else if (bornAtMs !== undefined) {
          step.admitted.add(id);
          // The time counts from before the call, when the service cannot have decided yet.
          const expiresAtMs = startedMs + result.value.validityMs;
          step.tickets.set(id, { ticket, bornAtMs, expiresAtMs });
        }
      }
      isAsking = false;
      options.onTickets();
      return;
    }
    clock.setTimer(retryMs, () => {
      isAsking = false;
      options.onTickets();
    });
  }

  /** Asks for the first group whose admitted workers have too little room: by urgency, then age. */
  function requestMore(ready: readonly ReadyGroup[], workers: readonly WorkerView[]): void {
    const needy = ready
      .filter(({ group }) => group.allowedWorkers !== undefined)
      .filter(({ group }) => countAllowedRoom(group, workers) < listWaiting(group).length)
      .sort((a, b) => a.group.job.rules.priority - b.group.job.rules.priority || b.ageMs - a.ageMs);
    for (const { group } of needy) {
      const rules = options.findRules(group.job.queue);
      const allowed = group.allowedWorkers;
      group.allowedWorkers = undefined;
      const ids = chooseCandidates(group, workers);
      group.allowedWorkers = allowed;
      if (rules === undefined || ids.length === 0) continue;
      void requestAdvice(group, rules, ids);
      return;
    }
  }

  return {
    prepare(ready, workers) {
      for (const { group } of ready) {
        const isAdvised = options.findRules(group.job.queue) !== undefined;
        if (!isAdvised) {
          group.allowedWorkers = undefined;
          continue;
        }
        const step = getStep(group.key);
        const ids = [...step.tickets.keys()].filter((id) => findValid(step, id) !== undefined);
        group.allowedWorkers = new Set(ids);
      }
      if (!isAsking) requestMore(ready, workers);
    },
    findTicket(group, workerId) {
      const step = steps.get(group.key);
      return step === undefined ? undefined : findValid(step, workerId)?.ticket;
    },
    dropTicket(group, workerId) {
      steps.get(group.key)?.tickets.delete(workerId);
    },
    dropJob(jobId) {
      for (const key of steps.keys()) if (key.startsWith(`${jobId}.`)) steps.delete(key);
    },
  };
}

function countAllowedRoom(group: TaskGroup, workers: readonly WorkerView[]): number {
  return workers.reduce((sum, worker) => sum + countRoom(group, worker, worker.free), 0);
}

function compareScores(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
