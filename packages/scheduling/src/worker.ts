import type { TaskGroup, Task } from './group.ts';
import type { Resources } from './resources.ts';

/** Whether a worker is reserved for urgent work. */
export enum UrgentReserve {
  None = 0,
  /** Open to work that checkpoints too, as little is lost when it is preempted. */
  CheckpointingOnly = 1,
  /** Kept free for urgent work; no other work may start. */
  UrgentOnly = 2,
}

/** A task that holds resources on a worker. */
export interface PlacedTask {
  group: TaskGroup;
  task: Task;
}

/** A worker as the planner sees it. */
export interface WorkerView {
  id: string;
  /** Machine of the worker; the next worker there has the same. */
  machine: string;
  pool: string;
  rack: string;
  labels: ReadonlySet<string>;
  capacity: Resources;
  /** Resources that no task holds. The planner reduces them as it places tasks. */
  free: Resources;
  /** Resources of tasks that are being stopped; not included in `free`. */
  releasing: Resources;
  /** Tasks that hold resources, including those being stopped. */
  placed: readonly PlacedTask[];
  /** Maximum number of tasks that may start now; 0 excludes the worker. */
  maxStarts: number;
  /** Speed relative to its fellows; 0 is usual or unknown, see `WorkerSpeeds`. */
  speedClass: number;
  /** Whether a recent run on it failed and none has succeeded since. */
  isSuspect: boolean;
  /** Whether the worker is reserved for urgent work, and how strictly. */
  urgentReserve: UrgentReserve;
  /** Whether runs that no job wants occupy it. */
  hasOrphans: boolean;
  /** Job whose tasks alone may start here, since they may crash the worker; set by the planner. */
  isolatedFor?: string | undefined;
}
