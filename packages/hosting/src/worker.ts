import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** State of a task on a worker. */
export enum TaskState {
  /** Resources are reserved and the task is loaded, but it does not execute. */
  Held = 'held',
  Running = 'running',
  /** Completed successfully. */
  Done = 'done',
  /** Exited with an error, or could not be started. */
  Failed = 'failed',
  /** Stopped by a command or because its lease expired. */
  Stopped = 'stopped',
}

/** Kinds of commands to a worker. */
export enum CommandKind {
  /** Reserves resources and loads a task without executing it. */
  Hold = 'hold',
  /** Starts the execution of a held task. */
  Release = 'release',
  Checkpoint = 'checkpoint',
  Throttle = 'throttle',
  Stop = 'stop',
  /** Renews the leases of tasks. */
  Renew = 'renew',
  /** Raises the fencing epoch of the worker and does nothing else. */
  Fence = 'fence',
}

/** One member of a gang, as started on a worker. */
export interface TaskSpec {
  /** `<jobId>/<attempt>/<memberIndex>`; never reused. */
  taskId: string;
  jobId: string;
  /** Number of tasks of the gang; shows from task lists alone whether the gang is complete. */
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

/** Commands of one call, executed in order. A call with a stale epoch is rejected as a whole. */
export interface CommandBatch {
  epoch: number;
  commands: WorkerCommand[];
}

/** Result of one command; a repeated command that already took effect is ok again. */
export interface CommandResult {
  isOk: boolean;
  /** Why the command failed, for example `no_capacity` or `unknown_task`. */
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
  /** Accelerator-seconds used; up to half a minute stale. */
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

/** Position in the change stream of a worker's task list; an agent restart begins a new `stream`. */
export interface TaskCursor {
  stream: string;
  revision: number;
}

/** Response of a worker to a request for its tasks. */
export interface TaskChanges extends TaskCursor {
  epoch: number;
  /** Whether `tasks` is the full list, because the agent does not have the changes since the cursor. */
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
