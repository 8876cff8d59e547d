import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { countFittingTasks, listWaitingTasks } from '@bergamotreach/scheduling';
import type { ReadyGroup, TaskGroup, WorkerView } from '@bergamotreach/scheduling';
import type { Advisor } from './advisor.ts';
import { getCallMs, getMaxNamed, getSlowness, noRecord, recordCall } from './advicesize.ts';
import type { AdvisorRecord } from './advicesize.ts';
import type { AdviceRules } from './configuration.ts';
import type { Fleet } from './fleet.ts';

/** Options of a ticket cache. */
export interface TicketCacheOptions {
  advisor: Advisor;
  fleet: Fleet;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Rules of a queue's advisor; `undefined` if its tasks may run on any worker of the pool. */
  findAdviceRules: (queue: string) => AdviceRules | undefined;
  /** Called when new tickets have arrived, and before a retry. */
  onTickets: () => void;
}

/** Tickets for the steps of queues whose policy admits only some workers. */
export interface TicketCache {
  /**
   * Sets the workers that each group may use, and requests tickets for more workers if those have
   * too few free resources.
   */
  updateAllowedWorkers(ready: readonly ReadyGroup[], workers: readonly WorkerView[]): void;
  /** Ticket of a group for a worker; `undefined` if it has none or needs none. */
  findTicket(group: TaskGroup, workerId: string): string | undefined;
  /** Removes a ticket that the worker rejected. */
  dropTicket(group: TaskGroup, workerId: string): void;
  /** Removes all tickets of a job, or of one occurrence of it (`<job>.<occurrence>`). */
  dropJob(name: string): void;
}

interface Ticket {
  ticket: string;
  /** Incarnation of the worker that accepts the ticket. */
  bornAtMs: number;
  expiresAtMs: number;
  /** Validity that must be left for a start. */
  marginMs: number;
}

interface StepTickets {
  tickets: Map<string, Ticket>;
  /** Workers that the policy admits; the decision does not change. */
  admitted: Set<string>;
  refused: Set<string>;
}

/** A ticket should outlive the start window of 2 s and the call that carries it. */
const usualMarginMs = 2400;
/**
 * Share of the validity left at the answer that may serve as this margin. A start that is repeated with an expired
 * ticket is refused, which does no harm; tickets that are never used keep a job from starting.
 */
const maxMarginShare = 0.5;
/** Time for calls of other machines that the advisor handles first. */
const advisorQueueMs = 1500;
const retryMs = 300;
/** Assumed until an answer or the configuration tells the validity of a queue's tickets. */
const usualValidityMs = 3000;
/** Queues of which a record is kept. */
const maxRecords = 1000;

/**
 * Creates an empty cache. It sends one call at a time, since the advisor handles calls one by one.
 */
export function createTicketCache(options: TicketCacheOptions): TicketCache {
  const { advisor, fleet, clock, logger, metrics } = options;
  const steps = new Map<string, StepTickets>();
  let isRequesting = false;
  /** By queue, latest last: its advisor as its answers have shown it. */
  const records = new Map<string, AdvisorRecord>();

  function getStepTickets(key: string): StepTickets {
    const known = steps.get(key);
    if (known !== undefined) return known;
    const created = { tickets: new Map(), admitted: new Set<string>(), refused: new Set<string>() };
    steps.set(key, created);
    return created;
  }

  function findValidTicket(step: StepTickets, workerId: string): Ticket | undefined {
    const ticket = step.tickets.get(workerId);
    const bornAtMs = fleet.find(workerId)?.getEntry().bornAtMs;
    const isValid =
      ticket?.bornAtMs === bornAtMs &&
      (ticket?.expiresAtMs ?? 0) > clock.getNowMs() + (ticket?.marginMs ?? 0);
    return isValid ? ticket : undefined;
  }

  /**
   * Workers to request tickets for: those admitted before come first, then those in the preferred
   * rack, for rack-bound groups those in the rack with the most room, then those with the most room.
   */
  function chooseCandidates(group: TaskGroup, workers: readonly WorkerView[]): string[] {
    const step = getStepTickets(group.key);
    const rackRoom = new Map<string, number>();
    const choices = workers
      .filter(({ id }) => !step.refused.has(id) && findValidTicket(step, id) === undefined)
      .map((worker) => ({ worker, slots: countFittingTasks(group, worker, worker.free) }))
      .filter(({ worker }) => countFittingTasks(group, worker, worker.capacity) > 0);
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
      .map(({ id }) => id);
  }

  function setRecord(queue: string, record: AdvisorRecord): void {
    records.delete(queue);
    records.set(queue, record);
    const [oldest] = records.keys();
    if (records.size > maxRecords && oldest !== undefined) records.delete(oldest);
  }

  async function requestAdvice(group: TaskGroup, rules: AdviceRules, ids: string[]): Promise<void> {
    isRequesting = true;
    const startedMs = clock.getNowMs();
    const { queue } = group.job;
    const record = records.get(queue) ?? noRecord;
    const expectedMs = Math.round(getCallMs(rules, ids.length) * getSlowness(record));
    const timeoutMs = expectedMs + advisorQueueMs;
    const incarnations = new Map(ids.map((id) => [id, fleet.find(id)?.getEntry().bornAtMs]));
    const result = await advisor.advise(group.key, ids, timeoutMs);
    const tookMs = Math.round(clock.getNowMs() - startedMs);
    const outcome = result.isOk() ? 'answered' : result.error.message;
    logger.info('advice_asked', {
      step: group.key,
      workers: ids.length,
      admitted: result.isOk() ? result.value.tickets.size : 0,
      outcome,
      tookMs,
      expectedMs,
    });
    metrics.count('advice.calls', 1, { outcome: result.isOk() ? 'answered' : 'failed' });
    if (result.isOk()) {
      const call = { workers: ids.length, tookMs, decided: 0, admitted: 0 };
      setRecord(queue, recordCall(record, rules, call));
      const step = getStepTickets(group.key);
      for (const id of ids) {
        const ticket = result.value.tickets.get(id);
        const bornAtMs = incarnations.get(id);
        if (ticket === undefined) step.refused.add(id);
        else if (bornAtMs !== undefined) {
          step.admitted.add(id);
          // Validity is counted from before the call, so a ticket is never used too long.
          const expiresAtMs = startedMs + result.value.validityMs;
          const leftMs = Math.max(0, expiresAtMs - clock.getNowMs());
          const marginMs = Math.min(usualMarginMs, leftMs * maxMarginShare);
          step.tickets.set(id, { ticket, bornAtMs, expiresAtMs, marginMs });
        }
      }
      isRequesting = false;
      options.onTickets();
      return;
    }
    // The advisor may take longer than its rules say, so the next call waits longer.
    if (tookMs >= timeoutMs) {
      const call = { workers: ids.length, tookMs, decided: 0, admitted: 0 };
      setRecord(queue, recordCall(record, rules, call));
    }
    clock.setTimer(retryMs, () => {
      isRequesting = false;
      options.onTickets();
    });
  }

  /**
   * Requests tickets for the first group whose admitted workers have too few free resources,
   * ordered by priority, then by age.
   */
  function requestTickets(ready: readonly ReadyGroup[], workers: readonly WorkerView[]): void {
    const underservedGroups = ready
      .filter(({ group }) => group.allowedWorkers !== undefined)
      .filter(({ group }) => countAllowedRoom(group, workers) < listWaitingTasks(group).length)
      .sort((a, b) => a.group.job.rules.priority - b.group.job.rules.priority || b.ageMs - a.ageMs);
    for (const { group } of underservedGroups) {
      const rules = options.findAdviceRules(group.job.queue);
      const allowed = group.allowedWorkers;
      group.allowedWorkers = undefined;
      const ids = chooseCandidates(group, workers);
      group.allowedWorkers = allowed;
      if (rules === undefined || ids.length === 0) continue;
      const record = records.get(group.job.queue) ?? noRecord;
      const maxNamed = getMaxNamed(rules, rules.validityMs ?? usualValidityMs, record);
      void requestAdvice(group, rules, ids.slice(0, maxNamed));
      return;
    }
  }

  return {
    updateAllowedWorkers(ready, workers) {
      for (const { group } of ready) {
        const hasPolicy = options.findAdviceRules(group.job.queue) !== undefined;
        if (!hasPolicy) {
          group.allowedWorkers = undefined;
          group.decisions = undefined;
          continue;
        }
        const step = getStepTickets(group.key);
        group.decisions = step;
        const ids = [...step.tickets.keys()].filter(
          (id) => findValidTicket(step, id) !== undefined,
        );
        group.allowedWorkers = new Set(ids);
      }
      if (!isRequesting) requestTickets(ready, workers);
    },
    findTicket(group, workerId) {
      const step = steps.get(group.key);
      return step === undefined ? undefined : findValidTicket(step, workerId)?.ticket;
    },
    dropTicket(group, workerId) {
      steps.get(group.key)?.tickets.delete(workerId);
    },
    dropJob(name) {
      for (const key of steps.keys()) if (key.startsWith(`${name}.`)) steps.delete(key);
    },
  };
}

function countAllowedRoom(group: TaskGroup, workers: readonly WorkerView[]): number {
  return workers.reduce((sum, worker) => sum + countFittingTasks(group, worker, worker.free), 0);
}

function compareScores(a: readonly number[], b: readonly number[]): number {
  for (const [index, value] of a.entries()) {
    const difference = value - (b[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}
