import type { AdviceRules } from '@bergamotreach/scheduling';

/** What the answers of a queue's advisor have shown. */
export interface AdvisorRecord {
  /** Durations of the latest calls as a multiple of what the queue's rules say, oldest first. */
  slowness: readonly number[];
  /** Workers on which the policy has decided, and those of them that it admits. */
  decided: number;
  admitted: number;
}

/** Workers in one call; the time objectives of jobs allow for one call with this many. */
export const usualWorkersPerCall = 30;
/** Workers that one call may name, as documented by the platform. */
export const maxWorkersPerCall = 100;
/** Share of the validity left after the decision that naming workers may take. */
const maxNamingShare = 1 / 3;
/** Calls of which the quickest tells how long the advisor takes. */
const recordedCalls = 4;
/** Fewer calls tell nothing: one may be late because the advisor handled a call of another machine before it. */
const minRecordedCalls = 2;
/** Decisions that count as if half of the workers had been admitted, until there are others. */
const assumedDecisions = 4;
/** The number of admitted workers varies from step to step. */
const spareFactor = 1.5;

export const noRecord: AdvisorRecord = { slowness: [], decided: 0, admitted: 0 };

/** Time that a call should take by the rules of its queue, in milliseconds. */
export function getCallMs({ decisionMs, perWorkerMs }: AdviceRules, workers: number): number {
  return decisionMs + perWorkerMs * workers;
}

/** Adds a call of `workers` that took `tookMs`; of those on which it decided, `admitted` are admitted. */
export function recordCall(
  record: AdvisorRecord,
  rules: AdviceRules,
  call: { workers: number; tookMs: number; decided: number; admitted: number },
): AdvisorRecord {
  const slowness = call.tookMs / Math.max(1, getCallMs(rules, call.workers));
  return {
    slowness: [...record.slowness, slowness].slice(-recordedCalls),
    decided: record.decided + call.decided,
    admitted: record.admitted + call.admitted,
  };
}

/** How many times longer than its rules say the advisor takes, by the quickest of its latest calls; at least 1. */
export function getSlowness({ slowness }: AdvisorRecord): number {
  return slowness.length < minRecordedCalls ? 1 : Math.max(1, Math.min(...slowness));
}

/** Most workers that a call may name so that its tickets can still be used after the answer. */
export function getMaxNamed(
  rules: AdviceRules,
  validityMs: number,
  record: AdvisorRecord,
  limit = usualWorkersPerCall,
): number {
  const slowness = getSlowness(record);
  const leftMs = Math.max(0, validityMs - rules.decisionMs * slowness);
  const perWorkerMs = rules.perWorkerMs * slowness;
  const fitting = perWorkerMs > 0 ? Math.floor((leftMs * maxNamingShare) / perWorkerMs) : limit;
  return Math.max(1, Math.min(limit, fitting));
}

/** Undecided workers to name so that `needed` of them are most likely admitted. */
export function countUndecidedToName(needed: number, { decided, admitted }: AdvisorRecord): number {
  if (needed === 0) return 0;
  const share = (admitted + assumedDecisions / 2) / (decided + assumedDecisions);
  return Math.ceil((needed * spareFactor) / share);
}
