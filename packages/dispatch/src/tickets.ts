import { runContained } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { AdvicePurpose, listSpareWorkers } from '@bergamotreach/scheduling';
import type {
  AdviceRules,
  AdviceRequest,
  JobSubmission,
  PolicyDecisions,
  ReadyGroup,
  TaskGroup,
  WorkerView,
} from '@bergamotreach/scheduling';
import type { Advisor } from './advisor.ts';
import {
  countUndecidedToName,
  getCallMs,
  getMaxNamed,
  getSlowness,
  maxWorkersPerCall,
  noRecord,
  recordCall,
  usualWorkersPerCall,
} from './advicesize.ts';
import type { AdvisorRecord } from './advicesize.ts';
import { rankRequests } from './adviceturns.ts';
import type { AdviceTurn } from './adviceturns.ts';
import type { Fleet } from './fleet.ts';

/** Options of a ticket cache. */
export interface TicketCacheOptions {
  advisor: Advisor;
  fleet: Pick<Fleet, 'find'>;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Rules of a job's advisor; `undefined` if its tasks may run on any worker of the pool. */
  findAdviceRules: (job: JobSubmission) => AdviceRules | undefined;
  /** Called when new tickets have arrived, and before a retry. */
  onTickets: () => void;
}

/** Tickets for the steps of queues whose policy admits only some workers. */
export interface TicketCache {
  /** Sets the workers on which each group may start now, and what its policy has decided. */
  updateAllowedWorkers(ready: readonly ReadyGroup[]): void;
  /** Whether a call may be sent now. */
  canRequest(): boolean;
  /** Requests tickets for the request whose turn it is; `workers` are those that the plan used. */
  requestTickets(requests: readonly AdviceRequest[], workers: readonly WorkerView[]): void;
  /** Records that a task of a group has started. */
  recordStart(group: TaskGroup): void;
  /** Ticket of a group that a worker accepts now; `undefined` if it has none or needs none. */
  findTicket(group: TaskGroup, workerId: string): string | undefined;
  /** Number of steps of which something is kept. */
  countSteps(): number;
  /** Records that a worker rejected a start for want of a valid ticket. */
  recordRejection(group: TaskGroup, start: RejectedStart): void;
  /** Removes all tickets of a job, or of one occurrence of it (`<job>.<occurrence>`). */
  dropJob(name: string): void;
}

/** A start that a worker rejected for want of a valid ticket. */
export interface RejectedStart {
  workerId: string;
  /** The ticket that it had, if any. */
  ticket: string | undefined;
  /** Monotonic time at which it was sent, in milliseconds. */
  sentMs: number;
}

interface Ticket {
  ticket: string;
  /** Incarnation of the worker that accepts the ticket. */
  bornAtMs: number;
  expiresAtMs: number;
  /** Validity that must be left for a start. */
  marginMs: number;
}

interface StepTickets extends AdviceTurn {
  tickets: Map<string, Ticket>;
  /** Workers that the policy admits, with the incarnation for which it decided. */
  admitted: Map<string, number>;
  refused: Map<string, number>;
  /** Calls in a row after which the step kept its turn. */
  continuedCalls: number;
  /** Rejections in a row; starts that were under way together count once. */
  rejections: number;
  rejectedAtMs: number;
  /** Monotonic time until which nothing of the step starts. */
  blockedUntilMs: number;
}

/** A call without an answer yet; times are monotonic, in milliseconds. */
interface OpenCall {
  step: string;
  overdueAtMs: number;
}

/** A call to be sent. */
interface PlannedCall {
  group: TaskGroup;
  purpose: AdvicePurpose;
  rules: AdviceRules;
  workerIds: string[];
  /** The group needs more workers at once than the call names. */
  isPartial: boolean;
  /** Steps that need a call, this one included. */
  waiting: number;
}

/** A ticket should outlive the commit of its start, the start window of 2 s and the call that carries it. */
const usualMarginMs = 2400;
/**
 * Share of the validity left at the answer that may serve as this margin. A start that is repeated with an expired
 * ticket is refused, which does no harm; tickets that are never used keep a job from starting.
 */
const maxMarginShare = 0.5;
/** Time for calls of other machines that the advisor handles first. */
const advisorQueueMs = 1500;
/** Pause after a failed call; it doubles with each further one in a row. */
const retryMs = 300;
const maxRetryMs = 1200;
/** Calls open at once: beyond the first, only while all of them are overdue. */
const maxOpenCalls = 3;
/** Time beyond the expected duration after which a call is overdue. */
const overdueAfterMs = 500;
/** Pause of a step after the second rejection in a row for want of a ticket; it doubles with each further one. */
const firstPauseMs = 250;
const maxPauseMs = 4000;
/** Calls in a row after which a gang that needs the tickets of several calls lets others have a turn. */
const maxContinuedCalls = 4;
/** Assumed until an answer or the configuration tells the validity of a queue's tickets. */
const usualValidityMs = 3000;
/** Used for queues of which only their rejected starts tell that they have a policy. */
const assumedRules: AdviceRules = { decisionMs: 500, perWorkerMs: 10 };
/** Queues of which a record is kept. */
const maxRecords = 1000;

/** Creates an empty cache. */
export function createTicketCache(options: TicketCacheOptions): TicketCache {
  const { advisor, fleet, clock, logger, metrics } = options;
  const steps = new Map<string, StepTickets>();
  const openCalls = new Set<OpenCall>();
  /** Failed calls since the latest answer. */
  let failures = 0;
  let pausedUntilMs = 0;
  let answeredAtMs = -Infinity;
  /** By queue, latest last: its advisor as its answers have shown it. */
  const records = new Map<string, AdvisorRecord>();
  /** Queues that have no rules of advice, but of which workers rejected starts for want of a ticket. */
  const guardedQueues = new Set<string>();

  function getStepTickets(key: string): StepTickets {
    const known = steps.get(key);
    if (known !== undefined) return known;
    const created: StepTickets = {
      ...{ tickets: new Map(), admitted: new Map(), refused: new Map() },
      ...{ neededAtMs: clock.getNowMs(), renewals: 0, hasMore: false, continuedCalls: 0 },
      ...{ rejections: 0, rejectedAtMs: -Infinity, blockedUntilMs: 0 },
    };
    steps.set(key, created);
    return created;
  }

  function isBlocked({ blockedUntilMs }: StepTickets): boolean {
    return clock.getNowMs() < blockedUntilMs;
  }

  /** Drops decisions on workers that are gone or were restarted, and lists the others. */
  function listDecisions({ admitted, refused }: StepTickets): PolicyDecisions {
    for (const decided of [admitted, refused]) {
      for (const [id, bornAtMs] of decided) {
        if (fleet.find(id)?.getEntry().bornAtMs !== bornAtMs) decided.delete(id);
      }
    }
    return { admitted: new Set(admitted.keys()), refused: new Set(refused.keys()) };
  }

  /** Finds a ticket that the worker accepts now. */
  function findValidTicket(step: StepTickets, workerId: string): Ticket | undefined {
    const ticket = step.tickets.get(workerId);
    if (ticket === undefined || clock.getNowMs() >= ticket.expiresAtMs) return undefined;
    return ticket.bornAtMs === fleet.find(workerId)?.getEntry().bornAtMs ? ticket : undefined;
  }

  /** Whether a start that is planned now can use a ticket: it must be stored before it is sent. */
  function canPlan(step: StepTickets, workerId: string): boolean {
    const ticket = findValidTicket(step, workerId);
    return ticket !== undefined && clock.getNowMs() < ticket.expiresAtMs - ticket.marginMs;
  }

  /** The rules in force or of the job, else assumed ones if workers have asked for tickets of its queue. */
  function findRules(job: JobSubmission): AdviceRules | undefined {
    return (
      options.findAdviceRules(job) ?? (guardedQueues.has(job.queue) ? assumedRules : undefined)
    );
  }

  /** A ticket that runs out on the way is replaced at once; what is rejected again waits. */
  function pauseStep(step: StepTickets): void {
    step.rejections += 1;
    step.rejectedAtMs = clock.getNowMs();
    if (step.rejections < 2) return;
    const pauseMs = Math.min(maxPauseMs, firstPauseMs * 2 ** (step.rejections - 2));
    step.blockedUntilMs = step.rejectedAtMs + pauseMs;
  }

  function addGuardedQueue(queue: string): void {
    if (guardedQueues.has(queue)) return;
    if (guardedQueues.size >= maxRecords) guardedQueues.clear();
    guardedQueues.add(queue);
    logger.warn('queue_guarded', { queue });
  }

  function setRecord(queue: string, record: AdvisorRecord): void {
    records.delete(queue);
    records.set(queue, record);
    const [oldest] = records.keys();
    if (records.size > maxRecords && oldest !== undefined) records.delete(oldest);
  }

  async function requestAdvice(call: PlannedCall): Promise<void> {
    const { group, rules, workerIds: ids } = call;
    const startedMs = clock.getNowMs();
    const { queue } = group.job;
    const record = records.get(queue) ?? noRecord;
    const expectedMs = Math.round(getCallMs(rules, ids.length) * getSlowness(record));
    const timeoutMs = expectedMs + advisorQueueMs;
    const openCall = { step: group.key, overdueAtMs: startedMs + expectedMs + overdueAfterMs };
    openCalls.add(openCall);
    const incarnations = new Map(ids.map((id) => [id, fleet.find(id)?.getEntry().bornAtMs]));
    const result = await advisor.advise(group.key, ids, timeoutMs).finally(() => {
      openCalls.delete(openCall);
    });
    const tookMs = Math.round(clock.getNowMs() - startedMs);
    const outcome = result.isOk() ? 'answered' : result.error.message;
    logger.info('advice_asked', {
      step: group.key,
      purpose: call.purpose,
      workers: ids.length,
      admitted: result.isOk() ? result.value.tickets.size : 0,
      outcome,
      tookMs,
      expectedMs,
      waiting: call.waiting,
    });
    metrics.count('advice.calls', 1, { outcome: result.isOk() ? 'answered' : 'failed' });
    const decisions = { decided: 0, admitted: 0 };
    const step = steps.get(group.key);
    if (step !== undefined && result.isOk()) {
      for (const id of ids) {
        const ticket = result.value.tickets.get(id);
        const bornAtMs = incarnations.get(id);
        const isNew = !step.admitted.has(id) && !step.refused.has(id);
        if (isNew) decisions.decided += 1;
        if (isNew && ticket !== undefined) decisions.admitted += 1;
        if (bornAtMs === undefined) continue;
        (ticket === undefined ? step.refused : step.admitted).set(id, bornAtMs);
        if (ticket !== undefined) {
          // Validity is counted from before the call, so a ticket is never used too long.
          const expiresAtMs = startedMs + result.value.validityMs;
          const leftMs = Math.max(0, expiresAtMs - clock.getNowMs());
          const marginMs = Math.min(usualMarginMs, leftMs * maxMarginShare);
          step.tickets.set(id, { ticket, bornAtMs, expiresAtMs, marginMs });
        }
      }
    }
    if (step !== undefined) {
      step.calledAtMs = clock.getNowMs();
      if (decisions.decided === 0) step.renewals += 1;
      step.hasMore = result.isOk() && call.isPartial && step.continuedCalls < maxContinuedCalls;
      step.continuedCalls = step.hasMore ? step.continuedCalls + 1 : 0;
    }
    // Without an answer in time, the advisor may take longer than its rules say, so the next call waits longer.
    if (result.isOk() || tookMs >= timeoutMs) {
      const recorded = { workers: ids.length, tookMs, ...decisions };
      setRecord(queue, recordCall(record, rules, recorded));
    }
    // Another step has had an answer since: this call alone was lost.
    if (result.isErr() && answeredAtMs > startedMs) return;
    if (result.isErr()) {
      failures += 1;
      const pauseMs = Math.min(maxRetryMs, retryMs * 2 ** (failures - 1));
      pausedUntilMs = clock.getNowMs() + pauseMs;
      clock.setTimer(pauseMs, options.onTickets);
      return;
    }
    failures = 0;
    pausedUntilMs = 0;
    answeredAtMs = clock.getNowMs();
    options.onTickets();
  }

  /** The advisor handles calls one by one, so another one is sent only if all open ones may be lost. */
  function canRequest(): boolean {
    const nowMs = clock.getNowMs();
    const mayBeLost = [...openCalls].every(({ overdueAtMs }) => nowMs >= overdueAtMs);
    return nowMs >= pausedUntilMs && openCalls.size < maxOpenCalls && mayBeLost;
  }

  /** Workers that a call for a request names; `undefined` if there are none. */
  function planCall(
    request: AdviceRequest,
    workers: readonly WorkerView[],
    waiting: number,
  ): PlannedCall | undefined {
    const { group, purpose } = request;
    const rules = findRules(group.job);
    if (rules === undefined) return undefined;
    const record = records.get(group.job.queue) ?? noRecord;
    const limit = group.spec.isGang ? maxWorkersPerCall : usualWorkersPerCall;
    const validityMs = rules.validityMs ?? usualValidityMs;
    const maxNamed = getMaxNamed(rules, validityMs, record, limit);
    const step = getStepTickets(group.key);
    const undecided = request.workerIds.filter((id) => !step.admitted.has(id)).length;
    const spareCount =
      purpose === AdvicePurpose.Decision
        ? usualWorkersPerCall
        : countUndecidedToName(undecided, record) - undecided;
    const spares = spareCount > 0 ? listSpareWorkers(request, workers).slice(0, spareCount) : [];
    const workerIds = [...request.workerIds, ...spares].slice(0, maxNamed);
    if (workerIds.length === 0) return undefined;
    const isPartial = group.spec.isGang && request.workerIds.length > maxNamed;
    return { group, purpose, rules, workerIds, isPartial, waiting };
  }

  return {
    updateAllowedWorkers(ready) {
      for (const { group } of ready) {
        const hasPolicy = findRules(group.job) !== undefined;
        if (!hasPolicy) {
          group.allowedWorkers = undefined;
          group.decisions = undefined;
          continue;
        }
        const step = getStepTickets(group.key);
        group.decisions = listDecisions(step);
        const ids = [...step.tickets.keys()].filter((id) => canPlan(step, id));
        group.allowedWorkers = new Set(isBlocked(step) ? [] : ids);
      }
    },
    canRequest,
    countSteps: () => steps.size,
    requestTickets(requests, workers) {
      if (!canRequest()) return;
      const openSteps = new Set([...openCalls].map(({ step }) => step));
      const due = requests.filter(
        ({ group: { key } }) => !openSteps.has(key) && !isBlocked(getStepTickets(key)),
      );
      const ranked = rankRequests(due, ({ group }) => getStepTickets(group.key), clock.getNowMs());
      for (const request of ranked) {
        const call = planCall(request, workers, requests.length);
        if (call === undefined) continue;
        void runContained(logger, 'advice', () => requestAdvice(call));
        return;
      }
    },
    recordStart({ key }) {
      const step = steps.get(key);
      if (step === undefined) return;
      step.renewals = 0;
      step.rejections = 0;
    },
    findTicket(group, workerId) {
      const step = steps.get(group.key);
      return step === undefined ? undefined : findValidTicket(step, workerId)?.ticket;
    },
    recordRejection(group, { workerId, ticket, sentMs }) {
      const { queue } = group.job;
      metrics.count('advice.rejected', 1, { hasTicket: String(ticket !== undefined) });
      logger.info('ticket_rejected', {
        step: group.key,
        queue,
        worker: workerId,
        hasTicket: ticket !== undefined,
      });
      if (ticket === undefined) addGuardedQueue(queue);
      const step = steps.get(group.key);
      if (step === undefined) return;
      if (step.tickets.get(workerId)?.ticket === ticket) step.tickets.delete(workerId);
      if (sentMs > step.rejectedAtMs) pauseStep(step);
    },
    dropJob(name) {
      for (const key of steps.keys()) if (key.startsWith(`${name}.`)) steps.delete(key);
    },
  };
}
