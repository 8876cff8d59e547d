import type { Fault } from '@bergamotreach/protocol';
import type { Resources, RunEnd } from '@bergamotreach/scheduling';
import type { Result } from 'ts-results-es';

/** Address of a worker. */
export interface WorkerAddress {
  id: string;
  /** `ip:port`. */
  address: string;
}

/** Starts one run of a task. */
export interface StartOrder {
  task: string;
  run: number;
  payload: string;
  /** Checkpoint to resume from; empty if there is none. */
  checkpoint: string;
  /** Proof that the queue's policy admits the worker; absent if the queue has none. */
  ticket?: string;
  /** Time on the worker's clock until which the run may begin and holds its lease. */
  leaseUntilMs: number;
  /**
   * Fencing token of the owner for this incarnation of the worker; the worker rejects tokens lower
   * than the highest it has seen.
   */
  fencingToken: number;
}

/** Stops one run of a task. */
export interface StopOrder {
  task: string;
  run: number;
  fencingToken: number;
}

/** Result of an order. */
export enum OrderStatus {
  /** Carried out by this attempt or an earlier one. */
  Accepted = 'accepted',
  /** Nothing was done. */
  Refused = 'refused',
  /** The worker has seen a newer owner; nothing was done. */
  Fenced = 'fenced',
  /** Another incarnation of the worker answered; nothing was done. */
  OtherIncarnation = 'other_life',
  /** No answer: the order may have been carried out, or may still be. */
  Unknown = 'unknown',
}

/** Why a worker refused an order. */
export enum RefusalReason {
  None = 'none',
  /** Not enough free resources. */
  NoRoom = 'no_room',
  /** A run with this or a higher number was stopped or has ended there. */
  OldRun = 'old_run',
  /** The start window has passed. */
  TooLate = 'too_late',
  /** The ticket is missing, expired or for another incarnation of the worker. */
  BadTicket = 'bad_ticket',
  /** The worker is unhealthy. */
  Unhealthy = 'unhealthy',
  /** The worker does not accept the order in this form. */
  Invalid = 'invalid',
}

/** Answer to an order. */
export interface OrderReply {
  status: OrderStatus;
  reason: RefusalReason;
  /** The worker's clock when it answered; absent if it did not answer. */
  clockMs?: number;
}

/** Renews the lease of all runs on a worker and requests a report. */
export interface ReportRequest {
  fencingToken: number;
  /** Ended runs up to this number are stored and may be forgotten. */
  ackedSequence: number;
  /** New end of the lease on the worker's clock; absent to leave it unchanged. */
  leaseUntilMs?: number;
  /** How long the worker may wait for a run to end before it answers. */
  waitMs: number;
}

/** A run that is active on a worker. */
export interface RunStatus {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress in percent. */
  percent: number;
}

/** A run that has ended on a worker. */
export interface EndedRun {
  /** Number of the ended run within this incarnation of the worker. */
  sequence: number;
  task: string;
  run: number;
  end: RunEnd;
  checkpoint: string;
}

/** A part of a report that cannot be read. */
export interface SkippedEntry {
  reason: string;
  /** Whether it may tell that a run is active or has ended. */
  isRun: boolean;
  /** Name of the task that it is about, if that can be read. */
  task?: string;
}

/** Report of a worker about its runs. */
export interface WorkerReport {
  clockMs: number;
  /**
   * Start time that identifies the incarnation which answers; absent if the worker does not say.
   */
  bornAtMs?: number;
  /** What the worker can hold now; absent if the report does not tell. */
  capacity?: Resources;
  runs: readonly RunStatus[];
  ends: readonly EndedRun[];
  /** Whether further ends follow once these are acknowledged, so that a missing run may have ended. */
  hasMoreEnds?: boolean;
  /** Parts that cannot be read. */
  skippedEntries?: readonly SkippedEntry[];
}

/** Sends orders to workers. */
export abstract class TaskRunner {
  abstract start(worker: WorkerAddress, order: StartOrder): Promise<OrderReply>;
  abstract stop(worker: WorkerAddress, order: StopOrder): Promise<OrderReply>;
  /**
   * Faults: `stale_epoch` (the worker has seen a newer owner), `not_found` (another incarnation
   * answered), `protocol` (the answer is no report) and `worker_unavailable` (no answer; the lease may
   * have been renewed).
   */
  abstract report(
    worker: WorkerAddress,
    request: ReportRequest,
  ): Promise<Result<WorkerReport, Fault>>;
  /** Closes the connections to a worker that is gone. */
  abstract closeConnections(worker: WorkerAddress): void;
}
