import { createActiveJobs } from '@bergamotreach/dispatch';
import {
  EndEffect,
  JobState,
  UrgentReserve,
  RunEnd,
  TaskPhase,
  addResources,
  createPlanPolicy,
  createRunTimes,
  createUrgentDemands,
  createWorkerHealth,
  createWorkerSpeeds,
  getCoreEquivalent,
  getLatestRun,
  isExhausted,
  isGroupDone,
  isOccupying,
  recordEnd,
  recordProgress,
  planStarts,
} from '@bergamotreach/scheduling';
import type {
  PlacedTask,
  Plan,
  PlanPolicy,
  Resources,
  Task,
  TaskGroup,
  WorkerView,
} from '@bergamotreach/scheduling';
import type { GeneratedJob } from './load.ts';

/** A time span in milliseconds. */
export interface Span {
  fromMs: number;
  durationMs: number;
}

/** The simulated workers, and the faults of workers and scheduler. */
export interface FleetSpec {
  racks: number;
  workersPerRack: number;
  capacity: Resources;
  /** Guaranteed accelerators by account. */
  guarantees: ReadonlyMap<string, number>;
  /** Periods without an owner, in which nothing is scheduled. */
  ownerGaps: readonly Span[];
  /** Workers, by index, on which tasks take `factor` times as long in a period. */
  slow: readonly (Span & { workers: readonly number[]; factor: number })[];
  /** Workers, by index, on which all runs fail in a period. */
  failing: readonly (Span & { workers: readonly number[] })[];
  /** Rack-bound gangs that span several racks take this many times as long. */
  spreadFactor: number;
  /** Speeds of the workers relative to the nominal one, assigned in turn; all nominal if absent. */
  speeds?: readonly number[];
  stopMs: number;
  reclaimMs: number;
  restoreMs: number;
}

/** Outcome of a simulated job. */
export interface JobOutcome {
  job: GeneratedJob;
  firstStartMs: number | undefined;
  endedMs: number | undefined;
  isCompleted: boolean;
  /** Running tasks of the job that were stopped for others. */
  stops: number;
  /** Lost work, in core-seconds. */
  lostWork: number;
}

const startDelayMs = 30;
const planDelayMs = 15;
const planIntervalMs = 200;
const failAfterMs = 300;
const reclaimMarginMs = 1000;
const msPerSecond = 1000;
/** The simulation continues this long after the last arrival. */
const tailMs = 45_000;

interface Run {
  placed: PlacedTask;
  run: number;
  startedMs: number;
  /** Run time if the run is not stopped. */
  neededMs: number;
  /** Checkpointed work at the start of the run, in milliseconds at full speed. */
  savedMs: number;
  /** Run time per unit of work; 1 at full speed. */
  slowdown: number;
}

interface Event {
  atMs: number;
  order: number;
  action: () => void;
}

/** Simulates scheduling of a load in virtual time, without a network. */
export function runSimulation(
  jobs: readonly GeneratedJob[],
  fleet: FleetSpec,
  policy: PlanPolicy = createPlanPolicy(),
): JobOutcome[] {
  const activeJobs = createActiveJobs();
  const workerHealth = createWorkerHealth();
  const urgentDemand = createUrgentDemands();
  const runTimes = createRunTimes();
  const workerSpeeds = createWorkerSpeeds();
  const outcomes = new Map<string, JobOutcome>();
  const runs = new Map<Task, Run>();
  const saved = new Map<Task, number>();
  const workers = createWorkers(fleet);
  const events: Event[] = [];
  const endMs = Math.max(0, ...jobs.map(({ arrivalMs }) => arrivalMs)) + tailMs;
  let nowMs = 0;
  let order = 0;
  let isPlanScheduled = false;

  function addEvent(atMs: number, action: () => void): void {
    const event = { atMs, order: (order += 1), action };
    let low = 0;
    let high = events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = events[middle];
      const isBefore = other !== undefined && other.atMs <= atMs;
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    events.splice(low, 0, event);
  }

  function isWithin({ fromMs, durationMs }: Span): boolean {
    return nowMs >= fromMs && nowMs < fromMs + durationMs;
  }

  function schedulePlan(): void {
    if (isPlanScheduled) return;
    isPlanScheduled = true;
    addEvent(nowMs + planDelayMs, () => {
      isPlanScheduled = false;
      runPlan();
    });
  }

  function buildViews(): WorkerView[] {
    const byWorker = activeJobs.groupByWorker();
    return workers.map(({ id, rack }) => {
      const placed = byWorker.get(id) ?? [];
      const free = { ...fleet.capacity };
      const releasing: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
      for (const { group, task } of placed) {
        addResources(free, group.spec.demand, -1);
        if (task.phase === TaskPhase.Stopping) addResources(releasing, group.spec.demand);
      }
      return {
        id,
        pool: 'p1',
        rack,
        labels: new Set([rack]),
        capacity: fleet.capacity,
        free,
        releasing,
        placed,
        maxStarts: workerHealth.countStarts(id, placed.length, nowMs),
        speedClass: policy.placesBySpeed ? workerSpeeds.getClass(id, nowMs) : 0,
        isSuspect: workerHealth.isSuspect(id, nowMs),
        urgentReserve: UrgentReserve.None,
        machine: '',
        hasOrphans: false,
      };
    });
  }

  function runPlan(): void {
    if (fleet.ownerGaps.some(isWithin)) return;
    activeJobs.openDue(nowMs);
    urgentDemand.record(activeJobs.sumUrgentDemand(nowMs), nowMs);
    if (policy.observesRuns) reportProgress();
    const result = planStarts({
      nowMs,
      workers: buildViews(),
      ready: activeJobs.listReady(nowMs),
      runTimes,
      getRanked: (group) => activeJobs.getRanked(group, nowMs),
      suspectsDown: new Map(),
      guaranteed: activeJobs.listGuaranteed(fleet.guarantees),
      preemptUrgentAfterMs: Math.max(0, fleet.reclaimMs - fleet.stopMs - reclaimMarginMs),
      urgentDemand: urgentDemand.getLevels(),
      policy,
    });
    for (const { group, task } of result.stops) {
      const outcome = outcomes.get(group.job.id);
      if (outcome !== undefined && task.phase === TaskPhase.Running) outcome.stops += 1;
      if (group.spec.isGang) stopGroup(group);
      else stopTask({ group, task });
    }
    for (const { group, placements } of result.starts) startGroup(group, placements);
  }

  function reportProgress(): void {
    for (const { placed, startedMs, neededMs } of runs.values()) {
      recordProgress(placed.task, Math.min(1, (nowMs - startedMs) / neededMs), nowMs);
    }
  }

  function startGroup(group: TaskGroup, placements: Plan['starts'][number]['placements']): void {
    const gangRun = getLatestRun(group) + 1;
    const racks = new Set(placements.map(({ workerId }) => getRack(workerId)));
    const isSpread = group.spec.isRackBound && group.spec.isGang && racks.size > 1;
    for (const { task, workerId } of placements) {
      task.run = group.spec.isGang ? gangRun : task.run + 1;
      task.workerId = workerId;
      task.phase = TaskPhase.Starting;
      const { run } = task;
      addEvent(nowMs + startDelayMs, () => {
        if (task.run === run && task.phase === TaskPhase.Starting) startRun(group, task, isSpread);
      });
    }
  }

  function getRack(workerId: string): string {
    return workers.find(({ id }) => id === workerId)?.rack ?? '';
  }

  function startRun(group: TaskGroup, task: Task, isSpread: boolean): void {
    const outcome = outcomes.get(group.job.id);
    if (outcome === undefined) return;
    outcome.firstStartMs ??= nowMs;
    task.phase = TaskPhase.Running;
    task.startedAtMs = nowMs;
    const index = workers.findIndex(({ id }) => id === task.workerId);
    const isFailing = fleet.failing.some((span) => isWithin(span) && span.workers.includes(index));
    const slowSpan = fleet.slow.find((span) => isWithin(span) && span.workers.includes(index));
    // A gang that spans racks is slowed down as a whole; a slow worker delays the end of its gang.
    const speed = fleet.speeds?.[index % fleet.speeds.length] ?? 1;
    const slowdown = ((isSpread ? fleet.spreadFactor : 1) * (slowSpan?.factor ?? 1)) / speed;
    const savedMs = saved.get(task) ?? 0;
    const restoreMs = savedMs > 0 ? fleet.restoreMs : 0;
    const trueMs = outcome.job.taskMs[task.index] ?? 0;
    const neededMs = (trueMs - savedMs) * slowdown + restoreMs;
    const { run } = task;
    const started: Run = {
      placed: { group, task },
      run,
      startedMs: nowMs,
      neededMs,
      savedMs,
      slowdown,
    };
    runs.set(task, started);
    const durationMs = isFailing ? Math.min(failAfterMs, neededMs) : neededMs;
    addEvent(nowMs + durationMs, () => {
      const isCurrent = task.run === run && isOccupying(task) && runs.get(task) === started;
      if (!isCurrent) return;
      if (isFailing) endRun(started, RunEnd.Failed);
      else if (group.spec.isGang && hasUnfinishedMember(group)) return;
      else endRun(started, RunEnd.Done);
    });
  }

  /** Whether a member needs more time; a gang ends with its slowest member. */
  function hasUnfinishedMember(group: TaskGroup): boolean {
    return group.tasks.some((task) => {
      const run = runs.get(task);
      return run === undefined || run.startedMs + run.neededMs > nowMs;
    });
  }

  function stopGroup(group: TaskGroup): void {
    for (const task of group.tasks) stopTask({ group, task });
  }

  function stopTask(placed: PlacedTask): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Running && task.phase !== TaskPhase.Starting) return;
    const { run } = task;
    task.phase = TaskPhase.Stopping;
    addEvent(nowMs + fleet.stopMs, () => {
      if (task.run !== run || task.phase !== TaskPhase.Stopping) return;
      const current = runs.get(task);
      if (current === undefined) {
        recordEnd(group, task, run, RunEnd.Stopped, '');
        schedulePlan();
      } else endRun(current, RunEnd.Stopped);
    });
  }

  function endRun(ended: Run, end: RunEnd): void {
    const { group, task } = ended.placed;
    const outcome = outcomes.get(group.job.id);
    if (outcome === undefined) return;
    runs.delete(task);
    const ranMs = nowMs - ended.startedMs;
    if (end === RunEnd.Done && ended.run === 1) {
      if (policy.observesRuns) runTimes.record(group.job, group.spec, ranMs, nowMs);
      workerSpeeds.record(group, task.workerId, ranMs);
    }
    const worker = { id: task.workerId };
    let checkpoint = '';
    if (end !== RunEnd.Done) {
      const workedMs =
        Math.max(0, ranMs - (ended.savedMs > 0 ? fleet.restoreMs : 0)) / ended.slowdown;
      const checkpointedMs = end === RunEnd.Stopped && group.spec.isCheckpointing ? workedMs : 0;
      saved.set(task, ended.savedMs + checkpointedMs);
      if (checkpointedMs + ended.savedMs > 0) checkpoint = `${ended.savedMs + checkpointedMs}`;
      const cores = getCoreEquivalent(group.spec.demand);
      outcome.lostWork += (cores * (ranMs - checkpointedMs * ended.slowdown)) / msPerSecond;
    }
    const effect = recordEnd(group, task, ended.run, end, checkpoint);
    if (isGroupDone(group)) workerSpeeds.learn(group, nowMs);
    if (end === RunEnd.Done) workerHealth.recordSuccess(worker.id);
    if (end === RunEnd.Failed) workerHealth.recordFailure(worker.id, group.key, nowMs);
    if (group.spec.isGang && end !== RunEnd.Done) stopGroup(group);
    const job = activeJobs.find(group.job.id);
    const isFinished = effect === EndEffect.Done && job !== undefined && activeJobs.isComplete(job);
    if (isFinished || isExhausted(group)) {
      outcome.endedMs = nowMs;
      outcome.isCompleted = isFinished;
      for (const other of group.tasks) runs.delete(other);
      activeJobs.remove(group.job.id);
    }
    schedulePlan();
  }

  for (const job of jobs) {
    const outcome: JobOutcome = {
      job,
      firstStartMs: undefined,
      endedMs: undefined,
      isCompleted: false,
      stops: 0,
      lostWork: 0,
    };
    outcomes.set(job.submission.id, outcome);
    addEvent(job.arrivalMs, () => {
      const row = { submission: job.submission, acceptedAtMs: nowMs };
      activeJobs.add(row, JobState.Queued);
      schedulePlan();
    });
  }
  for (let atMs = 0; atMs < endMs; atMs += planIntervalMs) addEvent(atMs, runPlan);
  for (let event = events.shift(); event !== undefined; event = events.shift()) {
    if (event.atMs > endMs) break;
    nowMs = event.atMs;
    event.action();
  }
  return [...outcomes.values()];
}

function createWorkers({ racks, workersPerRack }: FleetSpec): { id: string; rack: string }[] {
  return Array.from({ length: racks * workersPerRack }, (_, index) => ({
    id: `w${String(index).padStart(4, '0')}`,
    rack: `r${Math.floor(index / workersPerRack)}`,
  }));
}
