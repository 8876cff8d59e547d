import { AdvicePurpose, urgentPriority } from '@bergamotreach/scheduling';
import type { AdviceRequest } from '@bergamotreach/scheduling';

/** When a step had its calls for advice. Times are monotonic, in milliseconds. */
export interface AdviceTurn {
  /** When it first needed a call. */
  neededAtMs: number;
  /** When its latest call ended; absent if there was none. */
  calledAtMs?: number;
  /** Calls without a new decision since the last start. */
  renewals: number;
  /** It needs more workers at once than its latest call could name. */
  hasMore: boolean;
}

/** Wait after which a step goes before others that are ranked before it in the plan. */
const maxTurnWaitMs = 3000;
/** Delay after the second call in a row that brought no start; it doubles with each further one. */
const firstDelayMs = 250;
const maxDelayMs = 2000;

enum TurnClass {
  /** A gang that needs the tickets of several calls at the same time. */
  Continued,
  /** Urgent, and no call since its last start was a mere renewal. */
  Urgent,
  /** Has waited long for its turn. */
  Overdue,
  /** Had no call yet. */
  First,
  Again,
  /** Cannot start yet anyway. */
  Decision,
}

function isDue(turn: AdviceTurn, nowMs: number): boolean {
  const { calledAtMs, renewals, hasMore } = turn;
  if (calledAtMs === undefined || renewals < 2 || hasMore) return true;
  const delayMs = Math.min(maxDelayMs, firstDelayMs * 2 ** (renewals - 2));
  return nowMs - calledAtMs >= delayMs;
}

function getSinceMs({ neededAtMs, calledAtMs }: AdviceTurn): number {
  return calledAtMs ?? neededAtMs;
}

function getClass({ group, purpose }: AdviceRequest, turn: AdviceTurn, nowMs: number): TurnClass {
  if (turn.hasMore) return TurnClass.Continued;
  const isUrgent = group.job.rules.priority === urgentPriority;
  if (isUrgent && turn.renewals === 0) return TurnClass.Urgent;
  if (nowMs - getSinceMs(turn) > maxTurnWaitMs) return TurnClass.Overdue;
  if (purpose === AdvicePurpose.Decision) return TurnClass.Decision;
  return turn.calledAtMs === undefined ? TurnClass.First : TurnClass.Again;
}

/**
 * Orders requests by whose turn it is: urgent steps first, then those that have waited long, oldest first, then in
 * planning order those without a call before the others. Leaves out steps whose tickets are renewed without a start
 * until their delay is over.
 */
export function rankRequests(
  requests: readonly AdviceRequest[],
  getTurn: (request: AdviceRequest) => AdviceTurn,
  nowMs: number,
): AdviceRequest[] {
  const ranked = requests
    .map((request) => ({ request, turn: getTurn(request) }))
    .filter(({ turn }) => isDue(turn, nowMs))
    .map(({ request, turn }) => ({
      request,
      turnClass: getClass(request, turn, nowMs),
      sinceMs: getSinceMs(turn),
    }));
  ranked.sort((a, b) => {
    if (a.turnClass !== b.turnClass) return a.turnClass - b.turnClass;
    return a.turnClass === TurnClass.Overdue ? a.sinceMs - b.sinceMs : 0;
  });
  return ranked.map(({ request }) => request);
}
