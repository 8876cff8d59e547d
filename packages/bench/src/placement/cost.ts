import {
  ActionKind,
  Adjacency,
  EventKind,
  GangEnd,
  createScheduler,
} from '@bergamotreach/placement';
import type { JobSpec, PlacementEvent, Scheduler } from '@bergamotreach/placement';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { createDesignSize } from './deployment.ts';
import type { RegionSetup } from './deployment.ts';
import { computeQuantile } from './summary.ts';
import { createRandom } from '../random.ts';

/** Cost of decisions with a given number of workers, running tasks and waiting jobs. */
export interface CostPoint {
  workers: number;
  tasks: number;
  queue: number;
  decisions: number;
  medianMs: number;
  p99Ms: number;
  maxMs: number;
  /** Heap used by the scheduler and its state, in MB (10^6 bytes). */
  heapMb: number;
}

interface Scale {
  workers: number;
  tasks: number;
  queue: number;
}

const measuredDecisions = 2000;

function createSetup(workers: number): RegionSetup {
  const [north] = createDesignSize(1).regions;
  if (north === undefined) throw new Error('the design size has no region');
  const dataCentres = ['n1', 'n2', 'n3'];
  const specs = Array.from({ length: workers }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? '';
    const rack = `${dataCentre}-r${Math.floor(index / dataCentres.length / 16)}`;
    return { id: `w${index}`, dataCentre, rack, accelerators: 1, cores: 32, memoryMb: 64_000 };
  });
  return { ...north, workers: specs };
}

function createSpec(index: number, account: string, changes: Partial<JobSpec>): JobSpec {
  return {
    jobId: `c${index}`,
    account,
    members: 1,
    accelerators: 1,
    // Small enough for 38,000 tasks in the cores that are not kept for tasks with accelerators.
    cores: 0.1,
    memoryMb: 100,
    within: Adjacency.DataCentre,
    urgent: false,
    declaredSeconds: 3600,
    dataCentre: '',
    ...changes,
  };
}

function createArrival(job: JobSpec, nowMs: number): PlacementEvent {
  const history = { attempts: 0, attainedSeconds: 0, failedWorkers: [] };
  return { kind: EventKind.JobArrived, job, acceptedAtMs: nowMs, ...history };
}

/** Sends job arrivals and gang ends to a scheduler, with one decision for each. */
function createDriver(setup: RegionSetup, scheduler: Scheduler) {
  const random = createRandom(7);
  const running = new Map<string, number>();
  const stopping: string[] = [];
  let jobs = 0;
  let nowMs = 0;
  const decide = (events: PlacementEvent[]): number => {
    nowMs += 1000;
    const fromNs = process.hrtime.bigint();
    scheduler.applyEvents(events, nowMs);
    const actions = scheduler.decide(nowMs);
    const decisionMs = Number(process.hrtime.bigint() - fromNs) / 1e6;
    for (const action of actions) {
      if (action.kind === ActionKind.StartGang)
        running.set(action.placement.jobId, action.placement.attempt);
      if (action.kind === ActionKind.StopGang) stopping.push(action.jobId);
    }
    return decisionMs;
  };
  const createEnd = (jobId: string, end: GangEnd): PlacementEvent => {
    const attempt = running.get(jobId) ?? 0;
    running.delete(jobId);
    return { kind: EventKind.GangEnded, jobId, attempt, end, worker: '' };
  };
  return {
    arrive: (changes: Partial<JobSpec>): number => {
      jobs += 1;
      const account = random.choose(setup.accountShares);
      return decide([createArrival(createSpec(jobs, account, changes), nowMs)]);
    },
    /** Completes a running job, or confirms a stop if one is pending; returns the decision time. */
    end: (): number => {
      const stopped = stopping.find((id) => running.has(id));
      stopping.length = 0;
      const index = Math.floor(random.getUniform() * running.size);
      const jobId = stopped ?? [...running.keys()][index];
      if (jobId === undefined) return 0;
      return decide([createEnd(jobId, stopped === undefined ? GangEnd.Done : GangEnd.Stopped)]);
    },
    countRunning: () => running.size,
    random,
  };
}

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  if (typeof collect === 'function') (collect as () => void)();
}

/** Measures decisions with the given numbers of workers, running tasks and waiting jobs. */
export function measureCost(scale: Scale): CostPoint {
  const setup = createSetup(scale.workers);
  collectGarbage();
  const initialHeapBytes = process.memoryUsage().heapUsed;
  const scheduler = createScheduler(setup.config, setup.workers);
  const driver = createDriver(setup, scheduler);
  const widths = [1, 1, 1, 2, 4, 8, 16, 32, 64, 128];
  const createChanges = (): Partial<JobSpec> => {
    const members = widths[Math.floor(driver.random.getUniform() * widths.length)] ?? 1;
    return driver.random.getUniform() < 0.3 ? { members } : { members, accelerators: 0 };
  };
  let tasks = 0;
  while (tasks < scale.tasks) {
    const members = Math.min(8, scale.tasks - tasks);
    driver.arrive({ members, accelerators: 0 });
    tasks += members;
  }
  for (let index = 0; index < scale.queue + scale.workers / 8; index += 1) {
    driver.arrive({ members: 8 + (index % 25) });
  }
  const times: number[] = [];
  while (times.length < measuredDecisions) {
    times.push(driver.arrive(createChanges()), driver.end());
  }
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - initialHeapBytes) / 1e6;
  return {
    ...scale,
    decisions: times.length,
    medianMs: computeQuantile(times, 0.5),
    p99Ms: computeQuantile(times, 0.99),
    maxMs: Math.max(...times),
    heapMb,
  };
}

/** Scales around the design size, varying workers, tasks and queue one at a time. */
export const costScales: readonly Scale[] = [
  { workers: 375, tasks: 19_000, queue: 200 },
  { workers: 750, tasks: 19_000, queue: 200 },
  { workers: 1500, tasks: 19_000, queue: 200 },
  { workers: 3000, tasks: 19_000, queue: 200 },
  { workers: 1500, tasks: 5000, queue: 200 },
  { workers: 1500, tasks: 38_000, queue: 200 },
  { workers: 1500, tasks: 19_000, queue: 0 },
  { workers: 1500, tasks: 19_000, queue: 2000 },
];
