import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import type { PlacementAction } from './action.ts';
import type { PlacementEvent } from './event.ts';
import type { JobSpec } from './spec.ts';

/** Status of one guaranteed shape of an account, as shown to operators. All counts are in shapes. */
export interface GuaranteeStatus {
  account: string;
  dataCentre: string;
  accelerators: number;
  guaranteed: number;
  inUse: number;
  /** Unused shapes whose cells are lent to preemptible work now. */
  lentOut: number;
  /** Unused shapes that can be provided at the same time, from free and lent cells. */
  reclaimable: number;
}

/** Current usage of an account. */
export interface AccountUsage {
  account: string;
  /** Accelerators of gangs whose end is not confirmed, and of claims. */
  inUse: number;
  /** Number of queued jobs. */
  queued: number;
}

/** Placement core of one region. It is deterministic: equal events and times give equal actions. */
export interface Scheduler {
  /** Checks whether a job can ever run. Faults: `never_fits`, `quota_exceeded`, `not_found` (account). */
  checkJob(job: JobSpec): Result<void, Fault>;
  /** Applies events at `nowMs`; the next `decide` handles all of them in one pass. */
  applyEvents(events: readonly PlacementEvent[], nowMs: number): void;
  /** Runs a scheduling pass at `nowMs`; returns the actions to execute, in order. */
  decide(nowMs: number): PlacementAction[];
  /** Next time at which `decide` may return actions without new events. */
  getNextWakeMs(): number | undefined;
  /** Status of the guarantees of all accounts. */
  listGuarantees(): GuaranteeStatus[];
  /** Usage of all accounts. */
  listUsage(): AccountUsage[];
  /** Workers that are quarantined now. */
  listQuarantined(): string[];
  /** Returns the state for the dump as plain JSON data. */
  getDump(): unknown;
}
