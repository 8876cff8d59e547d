import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** State of a task on a worker. */
export enum TaskState {
  /** Resources are reserved and the task is loaded, but it does not execute. */
  Held = 'held',
  Running = 'running',
  /** Ended by itself with success. */
  Done = 'done',
  /** Ended by itself with an error, or could not be started. */
  Failed = 'failed',
  /** Ended by a stop command or because its lease expired. */
  Stopped = 'stopped',
}

/** Kinds of commands to a worker. */
export enum CommandKind {
  Hold = 'hold',
  Release = 'release',
  Checkpoint = 'checkpoint',
  Throttle = 'throttle',
  Stop = 'stop',
  Renew = 'renew',
  /** Raises the epoch of the worker and does nothing else. */
  Fence = 'fence',
}

/** One member of a gang, as started on a worker. */
export interface TaskSpec {
  /** `<jobId>/<attempt>/<memberIndex>`; unique for ever. */
  taskId: string;
  jobId: string;
  /** Members of the gang; lets any reader of task lists see whether the gang is complete. */
  gangSize: number;
  account: string;
  accelerators: number;
  cores: number;
  memoryMb: number;
  /** Passed through from the job; opaque to the scheduler. */
  payload: string;
}

/** A command to a worker. */
export type WorkerCommand =
  | { kind: CommandKind.Hold; task: TaskSpec; leaseMs: number }
  | { kind: CommandKind.Release; taskId: string }
  | { kind: CommandKind.Checkpoint; taskId: string }
  | { kind: CommandKind.Throttle; taskId: string; share: number }
  | { kind: CommandKind.Stop; taskId: string }
  | { kind: CommandKind.Renew; taskIds: string[]; leaseMs: number }
  | { kind: CommandKind.Fence };

/** Commands of one call, carried out in order. A call with an old epoch is refused as a whole. */
export interface CommandBatch {
  epoch: number;
  commands: WorkerCommand[];
}

/** Result of one command; `ok` repeats for commands that already had their effect. */
export interface CommandResult {
  isOk: boolean;
  /** Why not, for example `no_capacity` or `unknown_task`. */
  reason: string;
}

/** A task as listed by a worker. Ended tasks stay listed for some minutes. */
export interface TaskStatus {
  taskId: string;
  jobId: string;
  gangSize: number;
  account: string;
  accelerators: number;
  state: TaskState;
  /** Time until the lease expires, in milliseconds, as of the last change of the task. */
  leaseLeftMs: number;
  /** Accelerator-seconds used; lags by up to half a minute. */
  usedSeconds: number;
  /** Whether a checkpoint taken after the last `checkpoint` command is complete. */
  hasCheckpoint: boolean;
  reason: string;
}

/** Tasks of a worker with its fencing epoch. */
export interface WorkerTasks {
  epoch: number;
  tasks: TaskStatus[];
}

/** Point in the changes of one worker's task list; `stream` changes when the agent restarts. */
export interface TaskCursor {
  stream: string;
  revision: number;
}

/** Answer of a worker to a request for its tasks. */
export interface TaskChanges extends TaskCursor {
  epoch: number;
  /** All tasks, when the agent cannot tell the changes since the cursor; else only those. */
  isFull: boolean;
  tasks: TaskStatus[];
  /** Ids of tasks that are no longer listed. */
  removed: string[];
}

/** Client of the worker agents. */
export abstract class WorkerClient {
  /**
   * Sends commands to a worker. Faults: `stale_epoch` (nothing was done) and
   * `worker_unavailable` (commands may have taken effect; all are idempotent).
   */
  abstract sendCommands(
    address: string,
    workerId: string,
    batch: CommandBatch,
  ): Promise<Result<CommandResult[], Fault>>;
  /** Lists the tasks of a worker. Faults: `worker_unavailable`. */
  abstract listTasks(address: string, workerId: string): Promise<Result<WorkerTasks, Fault>>;
}
