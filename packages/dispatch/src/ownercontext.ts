import type { Feed, RowCondition, Table } from '@bergamotreach/hosting';
import type { GroupCommitter } from '@bergamotreach/ownership';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { formatTaskName } from '@bergamotreach/scheduling';
import type {
  PlanPolicy,
  Resources,
  Task,
  TaskGroup,
  WorkerTrust,
} from '@bergamotreach/scheduling';
import type { Advisor } from './advisor.ts';
import type { ServiceConfig } from './configuration.ts';
import type { Fleet } from './fleet.ts';
import type { JobBook } from './jobbook.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import type { Journal } from './journal.ts';
import type { Mirror } from './mirror.ts';
import type { OrderSender } from './orders.ts';
import type { RunStops } from './runstops.ts';
import type { LateCopies, RunWatches } from './runwatch.ts';
import type { TaskRunner } from './taskrunner.ts';
import type { TicketDesk } from './tickets.ts';
import type { WorkerEntry } from './workerentry.ts';

/** Options of an owner. Durations are in milliseconds. */
export interface OwnerOptions {
  epoch: number;
  table: Table;
  committer: GroupCommitter;
  jobFeed: Feed<JobRow>;
  workerFeed: Feed<WorkerEntry>;
  /** States of all jobs, kept by the instance. */
  states: Mirror<StateRow>;
  runner: TaskRunner;
  advisor: Advisor;
  getConfig: () => ServiceConfig | undefined;
  /** Whether this process may give orders now. */
  isHolding: () => boolean;
  getEpochCondition: () => RowCondition | undefined;
  /** Called when another owner was seen. */
  onFenced: () => void;
  clock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
  maxLeaseMs: number;
  /** Time within which a guaranteed job has to begin. */
  reclaimMs: number;
  /** What the operators chose about plans. */
  policy: PlanPolicy;
  /** Longest time that a stop takes a worker. */
  stopMs: number;
  heartbeatMs: number;
}

/** What the parts of an owner share. */
export interface OwnerContext {
  options: OwnerOptions;
  book: JobBook;
  trust: WorkerTrust;
  watches: RunWatches;
  lateCopies: LateCopies;
  journal: Journal;
  orders: OrderSender;
  stops: RunStops;
  tickets: TicketDesk;
  readonly fleet: Fleet;
  /** Room of runs that are not wanted and have not ended yet, by worker that has sent a report. */
  strayRoom: Map<string, Resources>;
  /** Resources of a task of any job that the store holds, also of one that has ended. */
  findDemand: (taskName: string) => Resources | undefined;
  /** Steady time until which a worker that refused a start gets no further one. */
  paused: Map<string, number>;
  /** Whether the rows of all jobs were read. */
  isLoaded: () => boolean;
  isStopped: () => boolean;
  planSoon: () => void;
}

/** Name of a task of a group. */
export function getTaskName(group: TaskGroup, task: Task): string {
  const name = { jobId: group.job.id, occurrence: group.occurrence, step: group.step };
  return formatTaskName(name, task.index);
}
