import type { TaskGroup, Task } from './group.ts';
import type { Resources } from './resources.ts';
import type { Reservation } from './urgentshare.ts';

/** A task that holds room on a worker. */
export interface PlacedTask {
  group: TaskGroup;
  task: Task;
}

/** A worker as the planner sees it. */
export interface WorkerView {
  id: string;
  pool: string;
  rack: string;
  labels: ReadonlySet<string>;
  capacity: Resources;
  /** Room that no task holds. The planner lowers it as it places tasks. */
  free: Resources;
  /** Room of tasks that are being stopped. */
  releasing: Resources;
  /** Tasks that hold room, those being stopped included. */
  placed: readonly PlacedTask[];
  /** Largest number of tasks that may start now; 0 for a worker that is not to be used. */
  maxStarts: number;
  /** Its latest end was a failure. */
  isSuspect: boolean;
  /** Whether its room is set aside for urgent work. */
  reservation: Reservation;
}
