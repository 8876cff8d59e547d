import type { Fault } from '@bergamotreach/protocol';
import type { RunEnd } from '@bergamotreach/scheduling';
import type { Result } from 'ts-results-es';

/** Where a worker is reached. */
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
  /** Saved progress to resume from; empty when there is none. */
  checkpoint: string;
  /** Proof that the queue's policy admits the worker; absent when it needs none. */
  ticket?: string;
  /** Time on the worker's clock until which the run may begin and holds its lease. */
  leaseUntilMs: number;
  /** Token of the owner for this life of the worker; a lower one than the worker knows is refused. */
  fence: number;
}

/** Stops one run of a task. */
export interface StopOrder {
  task: string;
  run: number;
  fence: number;
}

/** How an order was answered. */
export enum OrderStatus {
  /** Carried out, now or before. */
  Accepted = 'accepted',
  /** Nothing was done. */
  Refused = 'refused',
  /** The worker obeys a newer owner; nothing was done. */
  Fenced = 'fenced',
  /** Another life of the worker answered; nothing was done. */
  OtherLife = 'other_life',
  /** No answer: the order may have been carried out or may be later. */
  Unknown = 'unknown',
}

/** Why a worker refused an order. */
export enum RefusalReason {
  None = 'none',
  /** Not enough free resources. */
  NoRoom = 'no_room',
  /** The run is not higher than one that was stopped or ended there. */
  OldRun = 'old_run',
  /** The time until which the run could begin has passed. */
  TooLate = 'too_late',
  /** The ticket is missing, expired or of another life of the worker. */
  BadTicket = 'bad_ticket',
  /** The worker is unhealthy. */
  Unhealthy = 'unhealthy',
  /** The worker does not accept the order as it is. */
  Invalid = 'invalid',
}

/** Answer to an order. */
export interface OrderReply {
  status: OrderStatus;
  reason: RefusalReason;
  /** The worker's clock when it answered; absent without an answer. */
  clockMs?: number;
}

/** Extends the lease of everything on a worker and asks what runs there. */
export interface ReportRequest {
  fence: number;
  /** Ends up to this number are stored and may be forgotten. */
  ackedEnd: number;
  /** New end of the lease on the worker's clock; absent to leave it. */
  leaseUntilMs?: number;
  /** How long the worker may wait for an end before it answers. */
  waitMs: number;
}

/** A run that is on a worker now. */
export interface RunStatus {
  task: string;
  run: number;
  checkpoint: string;
  /** Progress in percent. */
  percent: number;
}

/** A run that ended on a worker. */
export interface EndedRun {
  /** Number of the end within this life of the worker. */
  sequence: number;
  task: string;
  run: number;
  end: RunEnd;
  checkpoint: string;
}

/** What a worker says of its runs. */
export interface WorkerReport {
  clockMs: number;
  /** Life of the worker that answers; absent when it does not say. */
  bornAtMs?: number;
  runs: readonly RunStatus[];
  ends: readonly EndedRun[];
}

/** Gives orders to workers. */
export abstract class TaskRunner {
  abstract start(worker: WorkerAddress, order: StartOrder): Promise<OrderReply>;
  abstract stop(worker: WorkerAddress, order: StopOrder): Promise<OrderReply>;
  /**
   * Faults: `stale_epoch` (the worker obeys a newer owner), `not_found` (another life answered) and
   * `worker_unavailable` (no answer; the lease may have been extended).
   */
  abstract report(
    worker: WorkerAddress,
    request: ReportRequest,
  ): Promise<Result<WorkerReport, Fault>>;
  /** Closes the connections to a worker that is gone. */
  abstract drop(worker: WorkerAddress): void;
}
