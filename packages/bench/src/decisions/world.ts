import { createJobBook } from '@bergamotreach/dispatch';
import {
  EndEffect,
  JobState,
  Reservation,
  RunEnd,
  TaskPhase,
  addResources,
  createPlanPolicy,
  createUrgentDemand,
  createWorkerTrust,
  getCoreEquivalent,
  getLatestRun,
  isExhausted,
  isOccupying,
  noteEnd,
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
import type { DrawnJob } from './load.ts';

/** A time span in milliseconds. */
export interface Span {
  fromMs: number;
  forMs: number;
}

/** Workers and what befalls them and the scheduler. */
export interface FleetShape {
  racks: number;
  workersPerRack: number;
  capacity: Resources;
  /** Accelerators that each account is guaranteed. */
  guarantees: ReadonlyMap<string, number>;
  /** Spans in which nobody schedules. */
  gaps: readonly Span[];
  /** Workers, by index, that run this many times slower in a span. */
  slow: readonly (Span & { workers: readonly number[]; factor: number })[];
  /** Workers, by index, on which all runs fail in a span. */
  failing: readonly (Span & { workers: readonly number[] })[];
  /** Tasks off their rack take this many times as long. */
  spreadFactor: number;
  stopMs: number;
  reclaimMs: number;
  restoreMs: number;
}

/** What became of a job. */
export interface Outcome {
  job: DrawnJob;
  firstStartMs: number | undefined;
  endedMs: number | undefined;
  isCompleted: boolean;
  /** Tasks of it that were stopped for others. */
  stops: number;
  /** Work of it that was lost, in core-seconds. */
  lostWork: number;
}

const orderMs = 30;
const planDelayMs = 15;
const planEveryMs = 200;
const failAfterMs = 300;
const reclaimMarginMs = 1000;
const msPerSecond = 1000;
/** Jobs are played this long beyond the last arrival. */
const tailMs = 45_000;

interface Run {
  placed: PlacedTask;
  run: number;
  startedMs: number;
  /** Run time that the run needs if nothing stops it. */
  neededMs: number;
  /** Work at its start that had been saved, in milliseconds at full speed. */
  savedMs: number;
  /** Time that a millisecond of work takes. */
  pace: number;
}

interface Event {
  atMs: number;
  order: number;
  act: () => void;
}

/** Plays a load through the decisions on a clock of its own, without a network. */
export function runLoad(
  jobs: readonly DrawnJob[],
  fleet: FleetShape,
  policy: PlanPolicy = createPlanPolicy(),
): Outcome[] {
  const book = createJobBook();
  const trust = createWorkerTrust();
  const demand = createUrgentDemand();
  const outcomes = new Map<string, Outcome>();
  const runs = new Map<Task, Run>();
  const saved = new Map<Task, number>();
  const workers = createWorkers(fleet);
  const events: Event[] = [];
  const endMs = Math.max(0, ...jobs.map(({ arrivesAtMs }) => arrivesAtMs)) + tailMs;
  let nowMs = 0;
  let order = 0;
  let isPlanned = false;

  function addEvent(atMs: number, act: () => void): void {
    const event = { atMs, order: (order += 1), act };
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

  function isIn({ fromMs, forMs }: Span): boolean {
    return nowMs >= fromMs && nowMs < fromMs + forMs;
  }

  function planSoon(): void {
    if (isPlanned) return;
    isPlanned = true;
    addEvent(nowMs + planDelayMs, () => {
      isPlanned = false;
      runPlan();
    });
  }

  function buildViews(): WorkerView[] {
    const byWorker = book.groupByWorker();
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
        maxStarts: trust.countStarts(id, placed.length, nowMs),
        isSuspect: trust.isSuspect(id, nowMs),
        reservation: Reservation.None,
      };
    });
  }

  function runPlan(): void {
    if (fleet.gaps.some(isIn)) return;
    demand.note(book.sumUrgentDemand(nowMs), nowMs);
    const result = planStarts({
      nowMs,
      workers: buildViews(),
      ready: book.listReady(nowMs),
      guaranteed: book.listGuaranteed(fleet.guarantees),
      stopUrgentAfterMs: Math.max(0, fleet.reclaimMs - fleet.stopMs - reclaimMarginMs),
      urgentDemand: demand.getLevel(),
      policy,
    });
    for (const { group, task } of result.stops) {
      const outcome = outcomes.get(group.job.id);
      if (outcome !== undefined && task.phase === TaskPhase.Running) outcome.stops += 1;
      if (group.spec.isGang) stopAll(group);
      else stopOne({ group, task });
    }
    for (const { group, placements } of result.starts) startGroup(group, placements);
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
      addEvent(nowMs + orderMs, () => {
        if (task.run === run && task.phase === TaskPhase.Starting) enterRun(group, task, isSpread);
      });
    }
  }

  function getRack(workerId: string): string {
    return workers.find(({ id }) => id === workerId)?.rack ?? '';
  }

  function enterRun(group: TaskGroup, task: Task, isSpread: boolean): void {
    const outcome = outcomes.get(group.job.id);
    if (outcome === undefined) return;
    outcome.firstStartMs ??= nowMs;
    task.phase = TaskPhase.Running;
    task.startedAtMs = nowMs;
    const index = workers.findIndex(({ id }) => id === task.workerId);
    const isFailing = fleet.failing.some((span) => isIn(span) && span.workers.includes(index));
    const slow = fleet.slow.find((span) => isIn(span) && span.workers.includes(index));
    // A gang runs at the pace of its slowest member.
    const pace = (isSpread ? fleet.spreadFactor : 1) * (slow?.factor ?? 1);
    const savedMs = saved.get(task) ?? 0;
    const restoreMs = savedMs > 0 ? fleet.restoreMs : 0;
    const trueMs = outcome.job.taskMs[task.index] ?? 0;
    const neededMs = (trueMs - savedMs) * pace + restoreMs;
    const { run } = task;
    const started: Run = {
      placed: { group, task },
      run,
      startedMs: nowMs,
      neededMs,
      savedMs,
      pace,
    };
    runs.set(task, started);
    const lastsMs = isFailing ? Math.min(failAfterMs, neededMs) : neededMs;
    addEvent(nowMs + lastsMs, () => {
      const isCurrent = task.run === run && isOccupying(task) && runs.get(task) === started;
      if (!isCurrent) return;
      if (isFailing) endRun(started, RunEnd.Failed);
      else if (group.spec.isGang && isGangBehind(group)) return;
      else endRun(started, RunEnd.Done);
    });
  }

  /** A gang ends with its slowest member. */
  function isGangBehind(group: TaskGroup): boolean {
    return group.tasks.some((task) => {
      const run = runs.get(task);
      return run === undefined || run.startedMs + run.neededMs > nowMs;
    });
  }

  function stopAll(group: TaskGroup): void {
    for (const task of group.tasks) stopOne({ group, task });
  }

  function stopOne(placed: PlacedTask): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Running && task.phase !== TaskPhase.Starting) return;
    const { run } = task;
    task.phase = TaskPhase.Stopping;
    addEvent(nowMs + fleet.stopMs, () => {
      if (task.run !== run || task.phase !== TaskPhase.Stopping) return;
      const current = runs.get(task);
      if (current === undefined) {
        noteEnd(group, task, run, RunEnd.Stopped, '');
        planSoon();
      } else endRun(current, RunEnd.Stopped);
    });
  }

  function endRun(ended: Run, how: RunEnd): void {
    const { group, task } = ended.placed;
    const outcome = outcomes.get(group.job.id);
    if (outcome === undefined) return;
    runs.delete(task);
    const ranMs = nowMs - ended.startedMs;
    const worker = { id: task.workerId };
    let checkpoint = '';
    if (how !== RunEnd.Done) {
      const workedMs = Math.max(0, ranMs - (ended.savedMs > 0 ? fleet.restoreMs : 0)) / ended.pace;
      const keepsMs = how === RunEnd.Stopped && group.spec.isCheckpointing ? workedMs : 0;
      saved.set(task, ended.savedMs + keepsMs);
      if (keepsMs + ended.savedMs > 0) checkpoint = `${ended.savedMs + keepsMs}`;
      const cores = getCoreEquivalent(group.spec.demand);
      outcome.lostWork += (cores * (ranMs - keepsMs * ended.pace)) / msPerSecond;
    }
    const effect = noteEnd(group, task, ended.run, how, checkpoint);
    if (how === RunEnd.Done) trust.noteDone(worker.id);
    if (how === RunEnd.Failed) trust.noteFailure(worker.id, group.key, nowMs);
    if (group.spec.isGang && how !== RunEnd.Done) stopAll(group);
    const job = book.find(group.job.id);
    const isFinished = effect === EndEffect.Done && job !== undefined && book.isComplete(job);
    if (isFinished || isExhausted(group)) {
      outcome.endedMs = nowMs;
      outcome.isCompleted = isFinished;
      for (const other of group.tasks) runs.delete(other);
      book.remove(group.job.id);
    }
    planSoon();
  }

  for (const job of jobs) {
    const outcome: Outcome = {
      job,
      firstStartMs: undefined,
      endedMs: undefined,
      isCompleted: false,
      stops: 0,
      lostWork: 0,
    };
    outcomes.set(job.submission.id, outcome);
    addEvent(job.arrivesAtMs, () => {
      const row = { submission: job.submission, acceptedAtMs: nowMs };
      book.add(row, JobState.Queued, () => undefined);
      planSoon();
    });
  }
  for (let atMs = 0; atMs < endMs; atMs += planEveryMs) addEvent(atMs, runPlan);
  for (let event = events.shift(); event !== undefined; event = events.shift()) {
    if (event.atMs > endMs) break;
    nowMs = event.atMs;
    event.act();
  }
  return [...outcomes.values()];
}

function createWorkers({ racks, workersPerRack }: FleetShape): { id: string; rack: string }[] {
  return Array.from({ length: racks * workersPerRack }, (_, index) => ({
    id: `w${String(index).padStart(4, '0')}`,
    rack: `r${Math.floor(index / workersPerRack)}`,
  }));
}
