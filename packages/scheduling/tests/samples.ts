import { UrgentReserve, TaskPhase, createGroup, createPlanPolicy } from '../src/index.ts';
import type {
  JobSubmission,
  PlacedTask,
  Plan,
  PlanInput,
  ReadyGroup,
  StepSpec,
  TaskGroup,
  WorkerView,
} from '../src/index.ts';

export const noResources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

/** Step with one task that needs one accelerator. */
export function createStep(changes: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    demand: { cpuMillis: 1000, memoryMb: 1000, accelerators: 1 },
    estimatedMs: 2000,
    dependsOn: [],
    isGang: false,
    isRackBound: false,
    requiredLabel: '',
    preferredRack: '',
    maxPerWorker: 0,
    isCheckpointing: false,
    isLongRunning: false,
    image: '',
    ...changes,
  };
}

export function createJob(id: string, priority: number, steps: StepSpec[]): JobSubmission {
  return {
    id,
    account: 'a1',
    queue: `q${priority}`,
    pool: 'p1',
    rules: { priority, maxAttempts: 3, stretch: 2, targetMs: 1000 },
    payload: '',
    steps,
  };
}

export function createSingle(
  id: string,
  priority: number,
  changes: Partial<StepSpec> = {},
): TaskGroup {
  return createGroup(createJob(id, priority, [createStep(changes)]), 0, 0);
}

/** Idle worker with 8 accelerators. */
export function createWorker(id: string, rack = 'r1'): WorkerView {
  const capacity = { cpuMillis: 32_000, memoryMb: 64_000, accelerators: 8 };
  return {
    id,
    machine: id,
    pool: 'p1',
    rack,
    labels: new Set(['a', rack]),
    capacity,
    free: { ...capacity },
    releasing: { ...noResources },
    placed: [],
    maxStarts: Infinity,
    speedClass: 0,
    isSuspect: false,
    urgentReserve: UrgentReserve.None,
    hasOrphans: false,
  };
}

/** Marks all tasks of a group as running on one worker since the monotonic time `startedAtMs`. */
export function runOn(worker: WorkerView, group: TaskGroup, startedAtMs = 0): void {
  const placed: PlacedTask[] = group.tasks.map((task) => ({ group, task }));
  for (const { task } of placed) {
    Object.assign(task, { phase: TaskPhase.Running, run: 1, workerId: worker.id, startedAtMs });
    worker.free.accelerators -= group.spec.demand.accelerators;
    worker.free.cpuMillis -= group.spec.demand.cpuMillis;
    worker.free.memoryMb -= group.spec.demand.memoryMb;
  }
  worker.placed = [...worker.placed, ...placed];
}

export function createReady(group: TaskGroup, ageMs = 0): ReadyGroup {
  return { group, ageMs, meanWork: 100 };
}

export function createInput(
  workers: WorkerView[],
  ready: ReadyGroup[],
  changes: Partial<PlanInput> = {},
): PlanInput {
  return {
    nowMs: 10_000,
    workers,
    ready,
    suspectsDown: new Map(),
    guaranteed: new Set(),
    urgentDemand: new Map(),
    preemptUrgentAfterMs: 1500,
    policy: createPlanPolicy(),
    ...changes,
  };
}

/** Workers on which a plan starts tasks of a job, one entry per task. */
export function listWorkers(plan: Plan, jobId: string): string[] {
  return plan.starts
    .filter(({ group }) => group.job.id === jobId)
    .flatMap(({ placements }) => placements.map(({ workerId }) => workerId));
}
