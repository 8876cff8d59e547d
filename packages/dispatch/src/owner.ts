import type { Feed, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import type { GroupCommitter } from '@bergamotreach/ownership';
import { runEvery, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import {
  EndEffect,
  JobState,
  Reservation,
  RunEnd,
  TaskPhase,
  addResources,
  createUrgentDemand,
  createWorkerTrust,
  encodeGroup,
  formatTaskName,
  getLatestRun,
  isFinal,
  isOccupying,
  planStarts,
  noteEnd,
  keepCheckpoint,
} from '@bergamotreach/scheduling';
import type {
  GroupRecord,
  PlacedTask,
  PlannedStart,
  Resources,
  Task,
  TaskGroup,
  WorkerView,
} from '@bergamotreach/scheduling';
import type { ServiceConfig } from './configuration.ts';
import { createFleet } from './fleet.ts';
import { createJobBook, hasOccupying } from './jobbook.ts';
import type { LiveJob } from './jobbook.ts';
import { encodeRow, getProgressKey, getStateKey, progressTable, stateTable } from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import { createJournal } from './journal.ts';
import { createMirror } from './mirror.ts';
import type { Mirror } from './mirror.ts';
import { StartFate, createOrderSender } from './orders.ts';
import type { StartResult } from './orders.ts';
import { OrderStatus, RefusalReason } from './taskrunner.ts';
import type { EndedRun, RunStatus, TaskRunner, WorkerReport } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';
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
  heartbeatMs: number;
}

/** Schedules all jobs while this process holds the lease. */
export interface Owner {
  start(): Promise<void>;
  stop(): void;
  /** Tells that the state of a job was changed in the store. */
  handleState(jobId: string, row: StateRow | undefined, version: number): void;
  getDump(): OwnerDump;
}

/** State of an owner for the dump. */
export interface OwnerDump {
  epoch: number;
  jobs: number;
  waitingTasks: number;
  runningTasks: number;
  workers: { id: string; state: LinkState; silentMs: number }[];
  pendingWrites: number;
}

// Events that come close together are planned for at once.
const planDelayMs = 15;
/** Timed jobs, waiting times and pauses of workers need plans without an event. */
const planEveryMs = 200;
/** A run that is missing from this many reports after its start is gone. */
const maxMissedReports = 2;
/** How long a worker that refused a start for want of room gets no further one. */
const refusalPauseMs = 400;
const unhealthyPauseMs = 2000;
/** A draining worker's saving tasks are stopped this long before it may leave. */
const drainStopMs = 1500;
/** Extra wait for the lease of a worker that is no longer listed, beyond the longest lease. */
const unlistedMarginMs = 500;
const slowestClockRate = 0.98;
/** From the platform's pages: an order without an answer is carried out up to 12 s later. */
const lateOrderMs = 13_000;
const progressPageRows = 500;
const loadRetryMs = 20;

interface Watch {
  run: number;
  missedReports: number;
  /** The worker's clock when it confirmed the start. */
  confirmedClockMs: number;
  /** End of the window of a start whose fate is not known; 0 when it is. */
  windowUntilMs: number;
  /** Steady time until which a lost copy of the start may still be carried out; 0 without one. */
  lateUntilMs: number;
}

/** Creates an owner for one epoch. */
export function createOwner(options: OwnerOptions): Owner {
  const { epoch, table, clock, logger, metrics, states, getWallMs } = options;
  const book = createJobBook();
  const trust = createWorkerTrust();
  const urgentDemand = createUrgentDemand();
  const watches = new Map<Task, Watch>();
  const records = new Map<string, GroupRecord>();
  const paused = new Map<string, number>();
  /** Tasks whose last run may still begin on the next life of its worker. */
  const held = new Map<Task, PlacedTask>();
  /** Room of runs that are not wanted and have not ended yet, by worker. */
  const strayRoom = new Map<string, Resources>();
  let cancelPlan: CancelTimer | undefined;
  let cancelTick: CancelTimer | undefined;
  let isLoaded = false;
  let isStopped = false;
  let startedMs = 0;

  const journal = createJournal({
    table,
    committer: options.committer,
    clock,
    logger,
    metrics,
    getEpochCondition: options.getEpochCondition,
    onFenced: options.onFenced,
    isOverruled: (key, value) => key.startsWith(`${stateTable}/`) && isCancelledRow(value),
  });
  const orders = createOrderSender({
    runner: options.runner,
    epoch,
    clock,
    logger,
    metrics,
    isHolding: options.isHolding,
    onFenced: options.onFenced,
  });
  const fleet = createFleet({
    feed: options.workerFeed,
    runner: options.runner,
    epoch,
    clock,
    logger,
    metrics,
    maxLeaseMs: options.maxLeaseMs,
    heartbeatMs: options.heartbeatMs,
    isHolding: options.isHolding,
    onReport: handleReport,
    onLapse: handleLapse,
    onFenced: options.onFenced,
    onChange: planSoon,
  });
  const jobs = createMirror<JobRow>({
    feed: options.jobFeed,
    name: 'jobs',
    clock,
    logger,
    metrics,
    onChange(jobId) {
      if (isLoaded) addJob(jobId);
    },
  });

  function isCancelledRow(value: RowValue): boolean {
    return (value as unknown as StateRow).state === JobState.Cancelled;
  }

  /** Reads the stored progress of all groups; false when the owner was stopped meanwhile. */
  async function loadProgress(): Promise<boolean> {
    let after: string | undefined;
    while (!isStopped) {
      const page = await table.listRows(`${progressTable}/`, after, progressPageRows);
      if (page.isErr()) {
        logger.warn('progress_not_read', { reason: page.error.message });
        await waitFor(clock, loadRetryMs);
        continue;
      }
      for (const row of page.value.rows) {
        journal.noteVersion(row.key, row.version);
        records.set(row.key.slice(progressTable.length + 1), row.value as unknown as GroupRecord);
      }
      after = page.value.next;
      if (after === undefined) return true;
    }
    return false;
  }

  /** The copies must hold what an earlier owner wrote, so they are read after the takeover. */
  async function loadJobs(): Promise<boolean> {
    while (!isStopped) {
      if (jobs.isLoaded() && (await states.refresh())) return true;
      await waitFor(clock, loadRetryMs);
    }
    return false;
  }

  /** Takes on a job once both of its rows are known. */
  function addJob(jobId: string): void {
    const row = jobs.find(jobId);
    const state = states.find(jobId);
    if (row === undefined || state === undefined || book.find(jobId) !== undefined) return;
    if (isFinal(state.state)) return;
    journal.noteVersion(getStateKey(jobId), states.findVersion(jobId) ?? 0);
    book.add(row, state, (groupKey) => records.get(groupKey));
    const job = book.find(jobId);
    logger.info('job_adopted', {
      job: jobId,
      queue: state.queue,
      account: state.account,
      state: state.state,
      priority: row.submission.rules.priority,
      steps: row.submission.steps.length,
      ageMs: Math.round(getWallMs() - row.acceptedAtMs),
    });
    if (job !== undefined) settleRestored(job);
    planSoon();
  }

  /** A previous owner may have stored the last end of a job, or its last failure, and not its state. */
  function settleRestored(job: LiveJob): void {
    if (book.isComplete(job)) finishJob(job, JobState.Completed, 'all tasks done');
  }

  function findJob(group: TaskGroup): LiveJob | undefined {
    return book.find(group.job.id);
  }

  function writeGroup(group: TaskGroup): void {
    journal.write(getProgressKey(group.key), encodeRow(encodeGroup(group)));
  }

  function writeState(job: LiveJob): void {
    const { queue, account, id, recurrence } = job.submission;
    const row: StateRow = {
      state: job.state,
      queue,
      account,
      isTimed: recurrence !== undefined,
      changedAtMs: Math.round(getWallMs()),
    };
    journal.write(getStateKey(id), encodeRow(row));
  }

  function finishJob(job: LiveJob, state: JobState, reason: string): void {
    job.state = state;
    writeState(job);
    logger.info('job_ended', {
      job: job.submission.id,
      state,
      reason,
      ageMs: Math.round(getWallMs() - job.acceptedAtMs),
    });
    metrics.count('jobs.ended', 1, { state });
    metrics.reportTiming('jobs.duration', getWallMs() - job.acceptedAtMs);
    stopJob(job, reason);
    void journal.flush().then(() => {
      releaseJob(job);
    });
  }

  function releaseJob(job: LiveJob): void {
    if (isFinal(job.state) && !hasOccupying(job)) book.remove(job.submission.id);
  }

  function stopJob(job: LiveJob, reason: string): void {
    for (const group of job.groups.values()) {
      for (const task of group.tasks) stopTask({ group, task }, reason);
    }
  }

  function stopTask(placed: PlacedTask, reason: string): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Running && task.phase !== TaskPhase.Starting) return;
    task.phase = TaskPhase.Stopping;
    const { run } = task;
    logger.info('task_stopped', {
      task: getName(group, task),
      run,
      worker: task.workerId,
      reason,
    });
    metrics.count('tasks.stopped');
    const link = fleet.find(task.workerId);
    if (link !== undefined) sendStop(link, placed, run);
  }

  function sendStop(link: WorkerLink, { group, task }: PlacedTask, run: number): void {
    const isWanted = (): boolean =>
      !isStopped && task.run === run && task.phase === TaskPhase.Stopping;
    const name = { task: getName(group, task), run };
    void orders.stop(link, name, isWanted);
  }

  function getName(group: TaskGroup, task: Task): string {
    return formatTaskName(
      { jobId: group.job.id, occurrence: group.occurrence, step: group.step },
      task.index,
    );
  }

  // --- Reports of workers ---

  async function handleReport(link: WorkerLink, report: WorkerReport): Promise<number> {
    // Ends that come before the jobs are loaded stay with the worker and are listed again.
    if (!isLoaded) return 0;
    let lastSequence = 0;
    let hasEnds = false;
    for (const ended of [...report.ends].sort((a, b) => a.sequence - b.sequence)) {
      lastSequence = Math.max(lastSequence, ended.sequence);
      hasEnds = true;
      handleEnd(link, ended);
    }
    checkRuns(link, report);
    if (!hasEnds) return 0;
    planSoon();
    const isStored = await journal.flush();
    return isStored ? lastSequence : 0;
  }

  function handleEnd(link: WorkerLink, ended: EndedRun): void {
    const placed = book.findTask(ended.task);
    if (placed === undefined) return;
    const { group, task } = placed;
    const ranMs =
      task.startedAtMs > 0 ? Math.round(clock.getNowMs() - task.startedAtMs) : undefined;
    const effect = noteEnd(group, task, ended.run, ended.end, ended.checkpoint);
    logger.info('run_ended', {
      task: ended.task,
      run: ended.run,
      worker: link.id,
      end: ended.end,
      effect,
      sequence: ended.sequence,
      failures: task.failures,
      ranMs,
      estimatedMs: group.spec.estimatedMs,
    });
    metrics.count('runs.ended', 1, { end: ended.end });
    if (effect === EndEffect.Stale) return;
    watches.delete(task);
    if (ended.end === RunEnd.Done) trust.noteDone(link.id);
    if (ended.end === RunEnd.Failed) trust.noteFailure(link.id, group.key, clock.getNowMs());
    settleEnd(placed, effect);
  }

  function settleEnd({ group, task }: PlacedTask, effect: EndEffect): void {
    const job = findJob(group);
    writeGroup(group);
    if (job === undefined) return;
    if (isFinal(job.state)) {
      releaseJob(job);
      return;
    }
    if (effect === EndEffect.Exhausted) {
      finishJob(job, JobState.Failed, 'attempts used up');
      return;
    }
    if (effect === EndEffect.Done && book.isComplete(job)) {
      finishJob(job, JobState.Completed, 'all tasks done');
    }
    if (group.spec.isGang && task.phase === TaskPhase.Waiting) stopGang(group, 'gang broken');
  }

  function stopGang(group: TaskGroup, reason: string): void {
    for (const task of group.tasks) stopTask({ group, task }, reason);
  }

  function checkRuns(link: WorkerLink, report: WorkerReport): void {
    const running = new Map(report.runs.map((run) => [`${run.task}/${run.run}`, run]));
    const stray: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { group, task } of book.groupByWorker().get(link.id) ?? []) {
      const key = `${getName(group, task)}/${task.run}`;
      const status = running.get(key);
      running.delete(key);
      if (status === undefined) handleAbsent(link, { group, task }, report.clockMs);
      else handlePresent(link, { group, task }, status, report.clockMs);
    }
    for (const run of running.values()) stopStray(link, run, stray);
    strayRoom.set(link.id, stray);
  }

  function handlePresent(
    link: WorkerLink,
    { group, task }: PlacedTask,
    status: RunStatus,
    clockMs: number,
  ): void {
    const watch = watches.get(task);
    if (watch !== undefined) watch.missedReports = 0;
    if (task.phase === TaskPhase.Starting) {
      task.phase = TaskPhase.Running;
      task.startedAtMs = clock.getNowMs();
      noteRunning(task, clockMs);
      logger.info('run_found', { task: status.task, run: status.run, worker: link.id });
    }
    if (status.checkpoint !== '' && status.checkpoint !== task.checkpoint) {
      keepCheckpoint(group, task, status.checkpoint);
      task.savedAtMs = clock.getNowMs();
    }
  }

  function noteRunning(task: Task, confirmedClockMs: number): void {
    const lateUntilMs = watches.get(task)?.lateUntilMs ?? 0;
    const { run } = task;
    watches.set(task, { run, missedReports: 0, confirmedClockMs, windowUntilMs: 0, lateUntilMs });
  }

  /** A run that its worker does not list has not begun, or is gone. */
  function handleAbsent(link: WorkerLink, placed: PlacedTask, clockMs: number): void {
    const { group, task } = placed;
    const watch = watches.get(task);
    const isRestored = watch === undefined;
    if (watch?.run === task.run) {
      // Orders under way decide their own fate, and answers may overtake each other.
      if (watch.windowUntilMs === 0 && watch.confirmedClockMs >= clockMs) return;
      if (watch.windowUntilMs > 0 && watch.windowUntilMs >= clockMs) return;
      watch.missedReports += 1;
      if (watch.windowUntilMs === 0 && watch.missedReports < maxMissedReports) return;
    }
    logger.info('run_absent', {
      task: getName(group, task),
      run: task.run,
      worker: link.id,
      phase: task.phase,
      clockMs,
      isRestored,
    });
    dropRun(placed);
  }

  function dropRun(placed: PlacedTask): void {
    const { group, task } = placed;
    watches.delete(task);
    const effect = noteEnd(group, task, task.run, RunEnd.Lapsed, '');
    if (effect !== EndEffect.Stale) settleEnd(placed, effect);
    planSoon();
  }

  /** A run that no job wants: of a job that ended, or older than the current run. */
  function stopStray(link: WorkerLink, run: RunStatus, room: Resources): void {
    const placed = book.findTask(run.task);
    if (placed !== undefined) addResources(room, placed.group.spec.demand);
    logger.info('stray_stopped', { task: run.task, run: run.run, worker: link.id });
    let isFirst = true;
    const isWanted = (): boolean => {
      const isWantedNow = isFirst && !isStopped;
      isFirst = false;
      return isWantedNow;
    };
    void orders.stop(link, { task: run.task, run: run.run }, isWanted);
  }

  function handleLapse(link: WorkerLink, reason: string): void {
    const lost = book.groupByWorker().get(link.id) ?? [];
    logger.info('worker_lapsed', { worker: link.id, reason, runs: lost.length });
    strayRoom.delete(link.id);
    for (const placed of lost) {
      if (canStartLate(placed.task)) holdRun(placed);
      else dropRun(placed);
    }
    planSoon();
  }

  /** Whether a copy of the start may still be carried out by the next life of its worker. */
  function canStartLate(task: Task): boolean {
    const watch = watches.get(task);
    const isOnItsWay = task.phase === TaskPhase.Starting && watch?.confirmedClockMs === Infinity;
    return isOnItsWay || (watch?.lateUntilMs ?? 0) > clock.getNowMs();
  }

  /** Keeps a task from its next run until its last one can no longer begin. */
  function holdRun({ group, task }: PlacedTask): void {
    task.phase = TaskPhase.Stopping;
    const lateUntilMs = clock.getNowMs() + lateOrderMs;
    const { run } = task;
    held.set(task, { group, task });
    watches.set(task, {
      run,
      missedReports: 0,
      confirmedClockMs: Infinity,
      windowUntilMs: 0,
      lateUntilMs,
    });
    logger.info('run_held', { task: getName(group, task), run, worker: task.workerId });
  }

  /** A worker refuses a run that it was told to stop, so the next life is told to. */
  function checkHeld(): void {
    for (const [task, placed] of held) {
      const watch = watches.get(task);
      const isOver = task.phase !== TaskPhase.Stopping || watch === undefined;
      if (isOver) held.delete(task);
      else if (clock.getNowMs() > watch.lateUntilMs) {
        held.delete(task);
        dropRun(placed);
      } else void stopHeld(placed, watch);
    }
  }

  async function stopHeld(placed: PlacedTask, watch: Watch): Promise<void> {
    const { group, task } = placed;
    const link = fleet.find(task.workerId);
    if (link?.getState() !== LinkState.Live || !options.isHolding()) return;
    const order = { task: getName(group, task), run: watch.run, epoch };
    const reply = await options.runner.stop(link.getEntry(), order);
    const isCurrent = held.has(task) && watches.get(task) === watch;
    if (!isCurrent || reply.status !== OrderStatus.Accepted) return;
    held.delete(task);
    // From here on the reports of this life decide: the run ends as stopped, or it is absent.
    noteRunning(task, reply.clockMs ?? 0);
    link.hurry();
  }

  /** Runs on workers that are not listed lapse once no lease can be left. */
  function checkUnlisted(): void {
    const boundMs = options.maxLeaseMs / slowestClockRate + unlistedMarginMs;
    if (!fleet.isLoaded() || clock.getNowMs() - startedMs < boundMs) return;
    for (const [workerId, placed] of book.groupByWorker()) {
      if (fleet.find(workerId) !== undefined) continue;
      logger.info('worker_lapsed', { worker: workerId, reason: 'unlisted', runs: placed.length });
      for (const one of placed) dropRun(one);
    }
  }

  /** Lets tasks that save their progress move away before a draining worker leaves. */
  function checkDraining(): void {
    const byWorker = book.groupByWorker();
    for (const link of fleet.list()) {
      const entry = link.getEntry();
      if (!entry.isDraining || entry.drainRemainingMs > drainStopMs) continue;
      for (const placed of byWorker.get(link.id) ?? []) {
        if (placed.group.spec.isCheckpointing) stopTask(placed, 'worker draining');
      }
    }
  }

  // --- Planning ---

  function planSoon(): void {
    if (cancelPlan !== undefined || isStopped) return;
    cancelPlan = clock.setTimer(planDelayMs, () => {
      cancelPlan = undefined;
      plan();
    });
  }

  function buildViews(): WorkerView[] {
    const byWorker = book.groupByWorker();
    const nowMs = clock.getNowMs();
    return fleet
      .list()
      .filter((link) => isUsable(link))
      .map((link) => buildView(link, byWorker.get(link.id) ?? [], nowMs));
  }

  function isUsable(link: WorkerLink): boolean {
    const entry = link.getEntry();
    return link.getState() === LinkState.Live && link.isListed() && !entry.isDraining;
  }

  function buildView(link: WorkerLink, placed: PlacedTask[], nowMs: number): WorkerView {
    const { id, pool, rack, labels, capacity } = link.getEntry();
    const free = { ...capacity };
    const releasing: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    for (const { group, task } of placed) {
      addResources(free, group.spec.demand, -1);
      if (task.phase === TaskPhase.Stopping) addResources(releasing, group.spec.demand);
    }
    const stray = strayRoom.get(id);
    if (stray !== undefined) addResources(free, stray, -1);
    const isPaused = (paused.get(id) ?? 0) > nowMs;
    const maxStarts = isPaused ? 0 : trust.countStarts(id, placed.length, nowMs);
    return {
      id,
      pool,
      rack,
      labels: new Set(labels),
      capacity,
      free,
      releasing,
      placed,
      maxStarts,
      isSuspect: trust.isSuspect(id, nowMs),
      reservation: Reservation.None,
      speed: 1,
    };
  }

  function plan(): void {
    if (!isLoaded || isStopped || !options.isHolding()) return;
    const config = options.getConfig();
    const startedAtMs = clock.getNowMs();
    const wallMs = getWallMs();
    const guarantees = new Map(
      config?.accounts.map((account) => [account.name, account.guaranteedAccelerators]),
    );
    urgentDemand.note(book.sumUrgentDemand(wallMs), startedAtMs);
    const result = planStarts({
      nowMs: startedAtMs,
      urgentReserve: urgentDemand.getLevel(),
      workers: buildViews(),
      ready: book.listReady(wallMs),
      guaranteed: book.listGuaranteed(guarantees),
    });
    metrics.reportTiming('plan.duration', clock.getNowMs() - startedAtMs);
    for (const { group, task, reason, beneficiary } of result.stops) {
      const stopReason = `${reason} by ${beneficiary}`;
      if (group.spec.isGang) stopGang(group, stopReason);
      else stopTask({ group, task }, stopReason);
    }
    if (result.starts.length > 0) void startAll(result.starts);
  }

  /** Stores the runs before they are started, so that any later owner knows where to look. */
  async function startAll(starts: readonly PlannedStart[]): Promise<void> {
    for (const start of starts) markStart(start);
    const isStored = await journal.flush();
    if (!isStored) return;
    for (const { group, placements } of starts) {
      for (const { task } of placements) void startTask(group, task);
    }
  }

  function markStart({ group, placements }: PlannedStart): void {
    const gangRun = getLatestRun(group) + 1;
    for (const { task, workerId } of placements) {
      task.run = group.spec.isGang ? gangRun : task.run + 1;
      task.workerId = workerId;
      task.phase = TaskPhase.Starting;
      task.startedAtMs = 0;
      // Until the order is sent no report can tell anything about the run.
      watches.set(task, {
        run: task.run,
        missedReports: 0,
        confirmedClockMs: Infinity,
        windowUntilMs: 0,
        lateUntilMs: 0,
      });
    }
    writeGroup(group);
    const job = findJob(group);
    if (job?.state === JobState.Queued) {
      job.state = JobState.Running;
      writeState(job);
    }
  }

  async function startTask(group: TaskGroup, task: Task): Promise<void> {
    const { run, workerId } = task;
    const link = fleet.find(workerId);
    const isWanted = (): boolean =>
      !isStopped && task.run === run && task.phase === TaskPhase.Starting;
    const isCancelled = isFinal(findJob(group)?.state ?? JobState.Cancelled);
    if (link === undefined || isCancelled || !isWanted()) {
      if (task.run === run && isOccupying(task)) dropRun({ group, task });
      return;
    }
    const name = { task: getName(group, task), run };
    const sentMs = clock.getNowMs();
    const { payload } = group.job;
    const { checkpoint } = task;
    const result = await orders.start(link, name, { payload, checkpoint, isWanted });
    metrics.reportTiming('orders.start', clock.getNowMs() - sentMs);
    logger.info('start_sent', {
      task: name.task,
      run,
      worker: workerId,
      fate: result.fate,
      reason: result.reason,
      isResumed: checkpoint !== '',
      tookMs: Math.round(clock.getNowMs() - sentMs),
    });
    if (task.run === run) applyStart({ group, task }, link, result);
  }

  function applyStart(placed: PlacedTask, link: WorkerLink, result: StartResult): void {
    const { group, task } = placed;
    if (task.phase !== TaskPhase.Starting && task.phase !== TaskPhase.Stopping) return;
    const lateUntilMs = result.hasLostCopy ? clock.getNowMs() + lateOrderMs : 0;
    if (result.fate === StartFate.Undecided) {
      const { windowUntilMs } = result;
      const { run } = task;
      watches.set(task, { run, missedReports: 0, confirmedClockMs: 0, windowUntilMs, lateUntilMs });
      link.hurry();
      return;
    }
    if (result.fate === StartFate.NotStarted) {
      noteRefusal(link, result.reason);
      dropRun(placed);
      return;
    }
    noteRunning(task, result.clockMs);
    const watch = watches.get(task);
    if (watch !== undefined) watch.lateUntilMs = lateUntilMs;
    if (task.phase === TaskPhase.Starting) {
      task.phase = TaskPhase.Running;
      task.startedAtMs = clock.getNowMs();
    }
    // A member of the gang was refused or ended while this one was being started.
    if (group.spec.isGang && group.tasks.some(({ phase }) => phase === TaskPhase.Waiting)) {
      stopGang(group, 'gang incomplete');
    }
  }

  function noteRefusal(link: WorkerLink, reason: RefusalReason): void {
    metrics.count('orders.refused', 1, { reason });
    const nowMs = clock.getNowMs();
    if (reason === RefusalReason.Unhealthy) paused.set(link.id, nowMs + unhealthyPauseMs);
    else if (reason === RefusalReason.NoRoom) paused.set(link.id, nowMs + refusalPauseMs);
    link.hurry();
  }

  function tick(): void {
    checkHeld();
    checkUnlisted();
    checkDraining();
    plan();
  }

  return {
    async start() {
      startedMs = clock.getNowMs();
      jobs.start();
      fleet.start();
      const isRead = (await loadProgress()) && (await loadJobs());
      if (!isRead) return;
      isLoaded = true;
      for (const [jobId] of jobs.list()) addJob(jobId);
      logger.info('owner_started', {
        epoch,
        jobs: book.list().length,
        tookMs: Math.round(clock.getNowMs() - startedMs),
      });
      cancelTick = runEvery(clock, planEveryMs, tick);
      planSoon();
    },
    stop() {
      if (isStopped) return;
      isStopped = true;
      cancelPlan?.();
      cancelTick?.();
      jobs.stop();
      fleet.stop();
      journal.close();
      logger.info('owner_stopped', { epoch });
    },
    handleState(jobId, row) {
      if (!isLoaded) return;
      const job = book.find(jobId);
      if (job === undefined) {
        addJob(jobId);
        return;
      }
      if (row?.state !== JobState.Cancelled || isFinal(job.state)) return;
      job.state = JobState.Cancelled;
      journal.discard(getStateKey(jobId));
      logger.info('job_cancelled', { job: jobId });
      stopJob(job, 'job cancelled');
      releaseJob(job);
      planSoon();
    },
    getDump: () => ({
      epoch,
      jobs: book.list().length,
      waitingTasks: countTasks(TaskPhase.Waiting),
      runningTasks: countTasks(TaskPhase.Running),
      workers: fleet.list().map((link) => ({
        id: link.id,
        state: link.getState(),
        silentMs: Math.round(link.getSilenceMs()),
      })),
      pendingWrites: journal.countPending(),
    }),
  };

  function countTasks(phase: TaskPhase): number {
    let count = 0;
    for (const job of book.list()) {
      for (const group of job.groups.values()) {
        count += group.tasks.filter((task) => task.phase === phase).length;
      }
    }
    return count;
  }
}
