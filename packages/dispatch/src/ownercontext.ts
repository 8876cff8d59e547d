import type { Feed, RowCondition, Table } from '@bergamotreach/hosting';
import type { GroupCommitter } from '@bergamotreach/ownership';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { formatTaskName } from '@bergamotreach/scheduling';
import type {
  PlanPolicy,
  Resources,
  RunTimes,
  Task,
  TaskGroup,
  WorkerHealth,
  WorkerSpeeds,
} from '@bergamotreach/scheduling';
import type { Advisor } from './advisor.ts';
import type { ServiceConfig } from './configuration.ts';
import type { Fleet } from './fleet.ts';
import type { ActiveJobs } from './activejobs.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import type { Journal } from './journal.ts';
import type { OperatorRows } from './operatorrows.ts';
import type { TableReplica } from './tablereplica.ts';
import type { OrderSender } from './orders.ts';
import type { RunLosses } from './runlosses.ts';
import type { RunStops } from './runstops.ts';
import type { UnansweredStarts, ObservedRuns } from './observedrun.ts';
import type { TaskRunner } from './taskrunner.ts';
import type { TicketCache } from './tickets.ts';
import type { WorkerEntry } from './workerentry.ts';

/** Options of an owner. Durations are in milliseconds. */
export interface OwnerOptions {
  epoch: number;
  table: Table;
  committer: GroupCommitter;
  /** Version of the rows that the owner before this one kept. */
  previousRowVersion: number;
  jobFeed: Feed<JobRow>;
  workerFeed: Feed<WorkerEntry>;
  /** Replica of all job states, kept by the instance. */
  states: TableReplica<StateRow>;
  runner: TaskRunner;
  advisor: Advisor;
  getConfig: () => ServiceConfig | undefined;
  operatorRows: Pick<OperatorRows, 'getEvacuations' | 'refreshEvacuations'>;
  /** Whether this process may send orders now. */
  isHolding: () => boolean;
  getEpochCondition: () => RowCondition | undefined;
  /** Called when a newer owner was detected. */
  onFenced: () => void;
  clock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
  maxLeaseMs: number;
  /** Time within which a job covered by a guarantee must start. */
  reclaimMs: number;
  /** Planning policy set by the operators. */
  policy: PlanPolicy;
  /** Longest time that a worker takes to stop a run. */
  stopMs: number;
  heartbeatMs: number;
}

/** State and services that the parts of an owner share. */
export interface OwnerContext {
  options: OwnerOptions;
  activeJobs: ActiveJobs;
  workerHealth: WorkerHealth;
  /** Observed run times of the work of this owner; empty after a takeover. */
  runTimes: RunTimes;
  /** Observed speeds of machines; empty after a takeover. */
  workerSpeeds: WorkerSpeeds;
  observedRuns: ObservedRuns;
  unansweredStarts: UnansweredStarts;
  journal: Journal;
  orders: OrderSender;
  stops: RunStops;
  tickets: TicketCache;
  readonly fleet: Fleet;
  readonly losses: RunLosses;
  /** Resources that orphaned runs still occupy, by worker; only workers that have sent a report. */
  orphanUsage: Map<string, Resources>;
  /** Whether runs that no job wants occupy a worker, as far as it has reported. */
  hasOrphans: (workerId: string) => boolean;
  /** Resources of a task of any stored job, including jobs that have ended. */
  findDemand: (taskName: string) => Resources | undefined;
  /** Monotonic time until which a worker that refused a start gets no new one, by worker id. */
  startBackoffs: Map<string, number>;
  /** Whether all job rows have been read. */
  isLoaded: () => boolean;
  isStopped: () => boolean;
  requestPlan: () => void;
}

/** Full name of a task, as orders and reports use it. */
export function getTaskName(group: TaskGroup, task: Task): string {
  const name = { jobId: group.job.id, occurrence: group.occurrence, step: group.step };
  return formatTaskName(name, task.index);
}
