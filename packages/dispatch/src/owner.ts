import type { Row } from '@bergamotreach/hosting';
import { callContained, runContained, runEvery, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer } from '@bergamotreach/protocol';
import {
  JobState,
  TaskPhase,
  createUrgentDemand,
  createWorkerTrust,
  isExhausted,
  isFinal,
  parseTaskName,
  planStarts,
} from '@bergamotreach/scheduling';
import type { GroupRecord } from '@bergamotreach/scheduling';
import { CancelSource, createJobCancels, isCancel } from './cancels.ts';
import { createFleet } from './fleet.ts';
import { buildViews } from './fleetview.ts';
import { createHeldRuns } from './heldruns.ts';
import { createJobBook } from './jobbook.ts';
import type { LiveJob } from './jobbook.ts';
import { createJobLife } from './joblife.ts';
import { checkGroupRecord, getStateKey, progressTable } from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import { createJournal } from './journal.ts';
import { createMirror } from './mirror.ts';
import { createOrderSender } from './orders.ts';
import type { OwnerContext, OwnerOptions } from './ownercontext.ts';
import { createRunReports } from './runreports.ts';
import { createRunStops } from './runstops.ts';
import { createStarter } from './starter.ts';
import { createTicketDesk } from './tickets.ts';
import { createWaitLog } from './waitlog.ts';
import { LinkState } from './workerlink.ts';
import type { LapseCause, WorkerLink } from './workerlink.ts';

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

/** A connection that went silent hides new jobs for this long and the time that an answer may take. */
const jobWaitMs = 300;
// Events that come close together are planned for at once.
const planDelayMs = 15;
/** Timed jobs, waiting times and pauses of workers need plans without an event. */
const planEveryMs = 200;
/** A draining worker's saving tasks are stopped this long before it may leave. */
const drainStopMs = 1500;
/** Extra wait for the lease of a worker that is no longer listed, beyond the longest lease. */
const unlistedMarginMs = 500;
/** Orders, a round of planning and the start of a gang on the room that was cleared. */
const reclaimMarginMs = 1000;
const slowestClockRate = 0.98;
const progressPageRows = 500;
const loadRetryMs = 20;

/** Creates an owner for one epoch. */
export function createOwner(options: OwnerOptions): Owner {
  const { epoch, table, clock, logger, metrics, states, getWallMs } = options;
  const stopUrgentAfterMs = Math.max(0, options.reclaimMs - options.stopMs - reclaimMarginMs);
  const book = createJobBook();
  const trust = createWorkerTrust();
  const urgentDemand = createUrgentDemand();
  const records = new Map<string, GroupRecord>();
  /** Jobs whose stored progress cannot be read. */
  const unreadableJobs = new Set<string>();
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
    isOverruled: isCancel,
    onOverruled: (key, value) => {
      cancels.noteRow(key, value);
    },
  });
  const orders = createOrderSender({
    runner: options.runner,
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
    onReport: (link, report) => reports.handleReport(link, report),
    onLapse: handleLapse,
    onFenced: options.onFenced,
    onChange: planSoon,
  });
  const jobs = createMirror<JobRow>({
    feed: options.jobFeed,
    name: 'jobs',
    waitMs: jobWaitMs,
    clock,
    logger,
    metrics,
    onChange(jobId) {
      if (isLoaded) addJob(jobId);
    },
  });

  const tickets = createTicketDesk({
    advisor: options.advisor,
    fleet,
    clock,
    logger,
    metrics,
    findRules: (queue) => options.getConfig()?.queues.find(({ name }) => name === queue)?.advice,
    onTickets: planSoon,
  });

  const context: OwnerContext = {
    options,
    book,
    trust,
    watches: new Map(),
    lateCopies: new WeakMap(),
    journal,
    orders,
    stops: createRunStops({ book, orders, logger, isStopped: () => isStopped }),
    tickets,
    fleet,
    strayRoom: new Map(),
    findDemand(taskName) {
      const name = parseTaskName(taskName);
      const row = name === undefined ? undefined : jobs.find(name.jobId);
      return row?.submission.steps[name?.step ?? 0]?.demand;
    },
    paused: new Map(),
    isLoaded: () => isLoaded,
    isStopped: () => isStopped,
    planSoon,
  };
  const waitLog = createWaitLog(clock, logger);
  const life = createJobLife(context);
  const cancels = createJobCancels(context, life);
  const heldRuns = createHeldRuns(context, life);
  const reports = createRunReports(context, life, heldRuns);
  const starter = createStarter(context, life);

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
      for (const row of page.value.rows) noteProgress(row);
      for (const key of page.value.unreadableKeys ?? []) refuseProgress(key, 'not a stored value');
      after = page.value.next;
      if (after === undefined) return true;
    }
    return false;
  }

  function noteProgress({ key, version, value }: Row): void {
    const record = checkGroupRecord(value);
    if (record.isErr()) {
      refuseProgress(key, record.error);
      return;
    }
    journal.noteVersion(key, version);
    records.set(key.slice(progressTable.length + 1), record.value);
  }

  /** Without its progress a job might run twice, so it is left as it is. */
  function refuseProgress(key: string, reason: string): void {
    const name = parseTaskName(`${key.slice(progressTable.length + 1)}.0`);
    logger.error('job_row_refused', { job: name?.jobId, row: key, reason });
    if (name !== undefined) unreadableJobs.add(name.jobId);
  }

  /** The copies must hold what an earlier owner wrote, so they are read after the takeover. */
  async function loadJobs(): Promise<boolean> {
    while (!isStopped) {
      if (jobs.isLoaded() && (await states.refresh())) return true;
      await waitFor(clock, loadRetryMs);
    }
    return false;
  }

  /**
   * Takes on a job. The copy of the states is at least as new as the takeover, so that a job without a
   * state has had no owner yet; a cancel that the copy lacks stands against the state written here.
   */
  function addJob(jobId: string): void {
    const row = jobs.find(jobId);
    if (row === undefined || book.find(jobId) !== undefined || unreadableJobs.has(jobId)) return;
    const state = states.find(jobId)?.state ?? JobState.Queued;
    if (isFinal(state)) return;
    const version = states.findVersion(jobId) ?? 0;
    journal.noteVersion(getStateKey(jobId), version);
    const job = book.add(row, state, (groupKey) => records.get(groupKey));
    const { submission } = row;
    logger.info('job_adopted', {
      job: jobId,
      queue: submission.queue,
      account: submission.account,
      state,
      priority: submission.rules.priority,
      steps: submission.steps.length,
      ageMs: Math.round(getWallMs() - row.acceptedAtMs),
    });
    if (version === 0) life.writeState(job);
    settleRestored(job);
    planSoon();
  }

  /** A previous owner may have stored the last end of a job, or its last failure, and not its state. */
  function settleRestored(job: LiveJob): void {
    if (book.isComplete(job)) life.finishJob(job, JobState.Completed, 'all tasks done');
    else if ([...job.groups.values()].some(isExhausted)) {
      life.finishJob(job, JobState.Failed, 'attempts used up');
    }
  }

  function handleLapse(link: WorkerLink, cause: LapseCause): void {
    const lost = book.listOnWorker(link.id);
    logger.info('worker_lapsed', { worker: link.id, reason: cause, runs: lost.length });
    context.strayRoom.delete(link.id);
    for (const placed of lost) {
      if (heldRuns.canBeOnNextLife(placed.task, cause)) heldRuns.holdRun(placed);
      else life.dropRun(placed);
    }
    planSoon();
  }

  /** Runs on workers that are not listed lapse once no lease can be left. */
  function checkUnlisted(): void {
    const boundMs = options.maxLeaseMs / slowestClockRate + unlistedMarginMs;
    if (!fleet.isLoaded() || clock.getNowMs() - startedMs < boundMs) return;
    for (const [workerId, placed] of book.groupByWorker()) {
      if (fleet.find(workerId) !== undefined) continue;
      const lost = placed.filter(({ task }) => !heldRuns.isHeld(task));
      if (lost.length === 0) continue;
      logger.info('worker_lapsed', { worker: workerId, reason: 'unlisted', runs: lost.length });
      for (const one of lost) life.dropRun(one);
    }
  }

  /** Lets tasks that save their progress move away before a draining worker leaves. */
  function checkDraining(): void {
    const byWorker = book.groupByWorker();
    for (const link of fleet.list()) {
      const entry = link.getEntry();
      if (!entry.isDraining || entry.drainRemainingMs > drainStopMs) continue;
      for (const placed of byWorker.get(link.id) ?? []) {
        if (placed.group.spec.isCheckpointing) life.stopTask(placed, 'worker draining');
      }
    }
  }

  function planSoon(): void {
    if (cancelPlan !== undefined || isStopped) return;
    cancelPlan = clock.setTimer(planDelayMs, () => {
      cancelPlan = undefined;
      planContained();
    });
  }

  /** An error that one job causes must not end the process: each later owner would meet it too. */
  function planContained(): void {
    callContained(logger, 'plan', plan);
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
    const workers = buildViews(context, startedAtMs);
    const ready = book.listReady(wallMs);
    tickets.prepare(ready, workers);
    const result = planStarts({
      nowMs: startedAtMs,
      urgentDemand: urgentDemand.getLevel(),
      stopUrgentAfterMs,
      policy: options.policy,
      workers,
      ready,
      guaranteed: book.listGuaranteed(guarantees),
    });
    metrics.reportTiming('plan.duration', clock.getNowMs() - startedAtMs);
    metrics.reportTiming('reports.age', getOldestReportMs());
    waitLog.note(result.waits, workers);
    for (const { group, task, reason, beneficiary } of result.stops) {
      const stopReason = `${reason} by ${beneficiary}`;
      if (group.spec.isGang) life.stopGang(group, stopReason);
      else life.stopTask({ group, task }, stopReason);
    }
    if (result.starts.length > 0) {
      void runContained(logger, 'starts', () => starter.startAll(result.starts));
    }
    // Jobs that found no room yet are shown as queued.
    else if (journal.countPending() > 0) void journal.flush();
  }

  /** Silence of the worker that has been silent longest and may still come back. */
  function getOldestReportMs(): number {
    const links = fleet.list().filter((link) => link.getState() !== LinkState.Lapsed);
    return Math.max(0, ...links.map((link) => link.getSilenceMs()));
  }

  function tick(): void {
    callContained(logger, 'checks of runs', () => {
      heldRuns.checkHeld();
      checkUnlisted();
      checkDraining();
    });
    planContained();
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
      reports.handleEarly();
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
      // A job is taken on when its own row comes, never for a state: an older state that comes late
      // would bring a job back that has ended.
      if (row !== undefined) cancels.noteState(jobId, row, CancelSource.Feed);
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
