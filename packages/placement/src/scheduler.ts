import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import type { PlacementAction } from './action.ts';
import type { PlacementEvent } from './event.ts';
import type { JobSpec } from './spec.ts';

/** Guarantee of an account at one shape, as shown to operators. All counts are shapes. */
export interface GuaranteeStatus {
  account: string;
  dataCentre: string;
  accelerators: number;
  guaranteed: number;
  inUse: number;
  /** Unused shapes whose cells are lent to stoppable work now. */
  lentOut: number;
  /** Unused shapes that can be had at once, from free and lent cells. */
  reclaimable: number;
}

/** What an account uses and waits for. */
export interface AccountUsage {
  account: string;
  /** Accelerators of gangs that were not reported as ended. */
  inUse: number;
  /** Jobs in the queue. */
  queued: number;
}

/** The decision core of one region. It is deterministic: same events and times, same actions. */
export interface Scheduler {
  /** Tells whether a job can ever run. Faults: `never_fits`, `quota_exceeded`, `not_found` (account). */
  checkJob(job: JobSpec): Result<void, Fault>;
  /** Applies events at `nowMs` without deciding. Later `decide` sees all of them in one pass. */
  applyEvents(events: readonly PlacementEvent[], nowMs: number): void;
  /** Decides at `nowMs`; returns what to carry out, in order. */
  decide(nowMs: number): PlacementAction[];
  /** Time of the next moment at which `decide` may have something to do without new events. */
  getNextWakeMs(): number | undefined;
  /** Guarantees of all accounts. */
  listGuarantees(): GuaranteeStatus[];
  /** Usage of all accounts. */
  listUsage(): AccountUsage[];
  /** Workers that are quarantined now. */
  listQuarantined(): string[];
  /** State for the dump, as plain JSON data. */
  getDump(): unknown;
}
