import { createSystemClock } from '@bergamotreach/protocol';
import {
  CostMeasure,
  UrgentReserve,
  TaskPhase,
  createGroup,
  createPlanPolicy,
  planStarts,
} from '@bergamotreach/scheduling';
import type {
  PlacedTask,
  PlanInput,
  PlanPolicy,
  TaskGroup,
  WorkerView,
} from '@bergamotreach/scheduling';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';

/** Time of planning rounds for one fleet and queue size. */
export interface PlanningTimes {
  workers: number;
  waitingGroups: number;
  p50Ms: number;
  maxMs: number;
}

const seed = 7;
const workersPerRack = 20;
const accounts = 24;
const capacity = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 8 };
const demand = { cpuMillis: 4000, memoryMb: 8000, accelerators: 1 };
/** Tasks per group; the largest is that of the design size. */
const gangSizes = [2, 5, 13, 40, 128];
/** Share of the accelerators in use; a nearly full fleet is the hardest to plan for. */
const usedShare = 0.95;
const nowMs = 100_000;

function createSampleGroup(id: string, priority: number, taskCount: number): TaskGroup {
  const job = {
    id,
    account: `a${taskCount % accounts}`,
    queue: `q${priority}`,
    pool: 'p1',
    rules: { priority, maxAttempts: 3, stretch: 3, targetMs: 500 },
    payload: '',
    steps: [
      {
        taskCount,
        demand,
        estimatedMs: 2500,
        dependsOn: [],
        isGang: priority < 2,
        isRackBound: false,
        requiredLabel: '',
        preferredRack: '',
        maxPerWorker: 0,
        isCheckpointing: priority === 2,
        isLongRunning: false,
        image: '',
      },
    ],
  };
  return createGroup(job, 0, 0);
}

function createView(index: number): WorkerView {
  return {
    id: `w${index}`,
    pool: 'p1',
    rack: `r${Math.floor(index / workersPerRack)}`,
    labels: new Set(),
    capacity,
    free: { ...capacity },
    releasing: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    placed: [],
    maxStarts: Infinity,
    speedClass: 0,
    isSuspect: false,
    urgentReserve: UrgentReserve.None,
    machine: '',
    hasOrphans: false,
  };
}

/** Fills a worker with running tasks of many groups. */
function fillWorker(worker: WorkerView, groups: readonly TaskGroup[], random: Random): void {
  const placed: PlacedTask[] = [];
  for (let slot = 0; slot < capacity.accelerators; slot += 1) {
    if (random.getUniform() > usedShare) continue;
    const group = groups[random.getIndex(groups.length)];
    const task = group?.tasks[placed.length % group.tasks.length];
    if (group === undefined || task === undefined) continue;
    const startedAtMs = nowMs - random.getIndex(2500);
    placed.push({
      group,
      task: { ...task, phase: TaskPhase.Running, workerId: worker.id, startedAtMs },
    });
    worker.free.cpuMillis -= demand.cpuMillis;
    worker.free.memoryMb -= demand.memoryMb;
    worker.free.accelerators -= demand.accelerators;
  }
  worker.placed = placed;
}

function createInput(workerCount: number, waitingGroups: number, policy: PlanPolicy): PlanInput {
  const random = createRandom(seed);
  const chooseSize = (): number => gangSizes[random.getIndex(gangSizes.length)] ?? 1;
  const running = Array.from({ length: 200 }, (_, index) =>
    createSampleGroup(`run${index}`, random.getIndex(3), chooseSize()),
  );
  const workers = Array.from({ length: workerCount }, (_, index) => createView(index));
  for (const worker of workers) fillWorker(worker, running, random);
  const waiting = Array.from({ length: waitingGroups }, (_, index) =>
    createSampleGroup(`wait${index}`, random.getIndex(3), chooseSize()),
  );
  const guaranteed = new Set(waiting.filter((_, index) => index % 2 === 0).map((g) => g.job.id));
  const ready = waiting.map((group) => ({
    group,
    ageMs: random.getIndex(4000),
    meanWork: 100,
  }));
  return {
    nowMs,
    workers,
    ready,
    suspectsDown: new Map(),
    guaranteed,
    urgentDemand: new Map([['p1', workerCount]]),
    preemptUrgentAfterMs: 1500,
    policy,
  };
}

/** Measures planning rounds on a nearly full fleet. */
export function measurePlanning(
  workers: number,
  waitingGroups: number,
  rounds: number,
  measure = CostMeasure.Separate,
): PlanningTimes {
  const policy = createPlanPolicy({ measure });
  const clock = createSystemClock();
  const times: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    // Planning modifies the free resources of its input, so each round needs a new one.
    const input = createInput(workers, waitingGroups, policy);
    const startedMs = clock.getNowMs();
    planStarts(input);
    times.push(clock.getNowMs() - startedMs);
  }
  times.sort((a, b) => a - b);
  const p50Ms = times[Math.floor(times.length / 2)] ?? 0;
  return { workers, waitingGroups, p50Ms, maxMs: times.at(-1) ?? 0 };
}
