import type { Row } from '@bergamotreach/hosting';
import { runContainedSync, runContained, runEvery, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer } from '@bergamotreach/protocol';
import {
  JobState,
  TaskPhase,
  createRunTimes,
  createUrgentDemands,
  createWorkerHealth,
  createWorkerSpeeds,
  getCoreEquivalent,
  hasCulprit,
  markUncounted,
  isExhausted,
  isFinal,
  noResources,
  parseTaskName,
  planStarts,
  speedClasses,
} from '@bergamotreach/scheduling';
import type { CrashRow, WorkerView } from '@bergamotreach/scheduling';
import { CancelSource, createJobCancels, isCancel } from './cancels.ts';
import { createDepartures } from './departures.ts';
import { findAdviceRules } from './configuration.ts';
import { createFleet } from './fleet.ts';
import { buildWorkerViews, countSuspectsDown } from './fleetview.ts';
import { createHeldRuns } from './heldruns.ts';
import { createActiveJobs } from './activejobs.ts';
import type { ActiveJob } from './activejobs.ts';
import { crashReason, createJobLifecycle } from './joblifecycle.ts';
import {
  checkCrashRow,
  checkGroupRecord,
  checkJobHead,
  crashTable,
  getCrashKey,
  getProgressKey,
  getStateKey,
  isHeadName,
  parseJobId,
  progressTable,
  rowVersion,
} from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import { createJournal } from './journal.ts';
import { createTableReplica } from './tablereplica.ts';
import { createOrderSender } from './orders.ts';
import type { OwnerContext, OwnerOptions } from './ownercontext.ts';
import { createProgressRows, formatGroupRow, listGroupRows } from './progressrows.ts';
import type { StoredProgress } from './progressrows.ts';
import { createRunLosses, applyCrashRows } from './runlosses.ts';
import { createRunReports } from './runreports.ts';
import { createRunStops } from './runstops.ts';
import { createStarter } from './starter.ts';
import { createTicketCache } from './tickets.ts';
import { createWaitLog } from './waitlog.ts';
import { LinkState } from './workerlink.ts';
import type { LapseCause, WorkerLink } from './workerlink.ts';

/** Schedules all jobs while this process holds the lease. */
export interface Owner {
  start(): Promise<void>;
  stop(): void;
  /** Handles a change of a job's state in the store. */
  handleState(jobId: string, row: StateRow | undefined, version: number): void;
  /** Handles that operators evacuated a data centre or took it back. */
  handleEvacuations(): void;
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
  /** Steps for which tickets or decisions of a policy are kept. */
  advisedSteps: number;
  /** Ids of jobs of which the store refuses a row. */
  heldJobs: string[];
  evacuated: EvacuatedDataCentre[];
}

/** What is left in a data centre that operators have evacuated. */
export interface EvacuatedDataCentre {
  dataCentre: string;
  workers: number;
  /** Tasks that run there; they are left to end. */
  runningTasks: number;
}

/**
 * Long-poll timeout of the job feed. A connection that has silently died hides new jobs for this
 * time plus the answer timeout.
 */
const jobFeedWaitMs = 300;
// Events that occur close together are handled by one plan.
const planDelayMs = 15;
/**
 * Plans also run at this interval: timed jobs, waiting times and worker backoffs cause no event.
 */
const planIntervalMs = 200;
/** Wait beyond the longest lease before the runs of an unlisted worker are given up. */
const unlistedMarginMs = 500;
/** Time for orders, one round of planning and the start of a gang on the reclaimed accelerators. */
const reclaimMarginMs = 1000;
const slowestClockRate = 0.98;
const progressPageRows = 500;
const loadRetryMs = 20;

/** Creates an owner for one epoch; `start` loads the jobs and begins to schedule. */
export function createOwner(options: OwnerOptions): Owner {
  const { epoch, table, clock, logger, metrics, states, getWallMs } = options;
  const preemptUrgentAfterMs = Math.max(0, options.reclaimMs - options.stopMs - reclaimMarginMs);
  const activeJobs = createActiveJobs();
  const workerHealth = createWorkerHealth();
  const urgentDemand = createUrgentDemands();
  const runTimes = createRunTimes();
  const progressRows = createProgressRows();
  /** Jobs with stored progress that cannot be read. */
  const unreadableJobs = new Set<string>();
  /** Stored crash records by group key. */
  const crashRows = new Map<string, CrashRow>();
  let cancelPlan: CancelTimer | undefined;
  let cancelChecks: CancelTimer | undefined;
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
    hasPrecedence: isCancel,
    onOverruled: (key, value) => {
      cancels.handleRow(key, value);
    },
    onRejected: (key, reason) => {
      lifecycle.holdJob(parseJobId(key), key, reason);
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
    getWallMs,
    logger,
    metrics,
    maxLeaseMs: options.maxLeaseMs,
    heartbeatMs: options.heartbeatMs,
    isHolding: options.isHolding,
    onReport: (link, report) => reports.handleReport(link, report),
    onLapse: handleLapse,
    onFenced: options.onFenced,
    onChange(link) {
      runContainedSync(logger, 'departure', () => {
        departures.check(link);
      });
      requestPlan();
    },
  });
  const jobRows = createTableReplica<JobRow>({
    feed: options.jobFeed,
    name: 'jobs',
    waitMs: jobFeedWaitMs,
    clock,
    logger,
    metrics,
    onChange(jobId) {
      if (isLoaded) addJob(jobId);
    },
  });

  const tickets = createTicketCache({
    advisor: options.advisor,
    fleet,
    clock,
    logger,
    metrics,
    findAdviceRules: (job) => findAdviceRules(options.getConfig(), job),
    onTickets: requestPlan,
  });

  const context: OwnerContext = {
    options,
    activeJobs,
    workerHealth,
    runTimes,
    workerSpeeds: createWorkerSpeeds(),
    observedRuns: new Map(),
    unansweredStarts: new WeakMap(),
    journal,
    orders,
    stops: createRunStops({ activeJobs, orders, logger, isStopped: () => isStopped }),
    tickets,
    fleet,
    get losses() {
      return losses;
    },
    orphanUsage: new Map(),
    hasOrphans: (workerId) =>
      getCoreEquivalent(context.orphanUsage.get(workerId) ?? noResources) > 0,
    findDemand(taskName) {
      const name = parseTaskName(taskName);
      const row = name === undefined ? undefined : jobRows.find(name.jobId);
      return row?.submission.steps[name?.step ?? 0]?.demand;
    },
    startBackoffs: new Map(),
    isLoaded: () => isLoaded,
    isStopped: () => isStopped,
    requestPlan,
  };
  const waitLog = createWaitLog(clock, logger);
  const lifecycle = createJobLifecycle(context);
  const cancels = createJobCancels(context, lifecycle);
  const heldRuns = createHeldRuns(context, lifecycle);
  const reports = createRunReports(context, lifecycle, heldRuns);
  const losses = createRunLosses(context);
  const starter = createStarter(context, lifecycle);
  const departures = createDepartures(context, lifecycle, runTimes);

  /** Reads all rows of a table of group records; false if the owner was stopped meanwhile. */
  async function loadRows(
    name: string,
    addRow: (row: Row) => void,
    refuseRow: (key: string, reason: string) => void,
  ): Promise<boolean> {
    let after: string | undefined;
    while (!isStopped) {
      const page = await table.listRows(`${name}/`, after, progressPageRows);
      if (page.isErr()) {
        logger.warn('progress_not_read', { table: name, reason: page.error.message });
        await waitFor(clock, loadRetryMs);
        continue;
      }
      for (const row of page.value.rows) addRow(row);
      for (const key of page.value.unreadableKeys ?? []) refuseRow(key, 'value cannot be decoded');
      after = page.value.next;
      if (after === undefined) return true;
    }
    return false;
  }

  function addProgress({ key, version, value }: Row): void {
    const name = key.slice(progressTable.length + 1);
    if (isHeadName(name)) {
      const head = checkJobHead(value);
      if (head.isOk()) progressRows.addHead(parseJobId(key), head.value);
      else markUnreadable(key, head.error);
    } else {
      const record = checkGroupRecord(value);
      if (record.isOk()) progressRows.addGroup(name, record.value);
      else markUnreadable(key, record.error);
    }
    journal.setVersion(key, version);
  }

  function addCrashes({ key, version, value }: Row): void {
    journal.setVersion(key, version);
    const row = checkCrashRow(value);
    if (row.isErr()) refuseCrashes(key, row.error);
    else crashRows.set(key.slice(crashTable.length + 1), row.value);
  }

  /** The job is scheduled as if no worker had crashed under it. */
  function refuseCrashes(key: string, reason: string): void {
    logger.warn('crash_row_refused', { row: key, reason });
  }

  /** Excludes a job from scheduling: without its progress it might run twice. */
  function markUnreadable(key: string, reason: string): void {
    const jobId = parseJobId(key);
    logger.error('job_row_refused', { job: jobId, row: key, reason });
    unreadableJobs.add(jobId);
  }

  /**
   * Waits for replicas that were read after the takeover, so that they hold all writes of the
   * previous owner and what operators stated until then.
   */
  async function loadJobs(): Promise<boolean> {
    while (!isStopped) {
      // An evacuation from before the takeover must be known before the first start.
      const refreshes = [states.refresh(), options.operatorRows.refreshEvacuations()];
      if (jobRows.isLoaded() && (await Promise.all(refreshes)).every(Boolean)) return true;
      await waitFor(clock, loadRetryMs);
    }
    return false;
  }

  /**
   * Adopts a job. The replica of the states was read after the takeover, so a job without a state
   * has had no owner yet. A cancellation that the replica does not show yet takes precedence over
   * the state written here.
   */
  function addJob(jobId: string): void {
    const row = jobRows.find(jobId);
    if (row === undefined || activeJobs.find(jobId) !== undefined || unreadableJobs.has(jobId))
      return;
    const state = states.find(jobId)?.state ?? JobState.Queued;
    if (isFinal(state)) return;
    const version = states.findVersion(jobId) ?? 0;
    journal.setVersion(getStateKey(jobId), version);
    const stored = progressRows.take(jobId);
    const job = activeJobs.add(row, state, stored);
    for (const group of job.groups.values()) {
      const names = group.isChunked
        ? [formatGroupRow(group.key), ...listGroupRows(group, group.tasks)]
        : [group.key];
      applyCrashRows(
        group,
        names.flatMap((name) => crashRows.get(name) ?? []),
      );
      // That owner started tasks again after crashes without a record of them.
      if (options.previousRowVersion < rowVersion) markUncounted(group);
    }
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
    if (version === 0) lifecycle.writeState(job);
    if (job.hasHead && stored.head === undefined) lifecycle.writeHead(job);
    if (stored.head !== undefined) removeDoneRows(job, stored);
    finishRestored(job);
    requestPlan();
  }

  /** Removes the rows of occurrences that the stored head calls done. */
  function removeDoneRows(job: ActiveJob, stored: StoredProgress): void {
    const next = stored.head?.next ?? 0;
    for (const occurrence of stored.listOccurrences()) {
      if (occurrence >= next || job.open.has(occurrence)) continue;
      for (const name of stored.listRows(occurrence)) {
        journal.remove(getProgressKey(name));
        journal.remove(getCrashKey(name));
      }
    }
  }

  /** Ends a job whose last result a previous owner stored without the new job state. */
  function finishRestored(job: ActiveJob): void {
    if (activeJobs.isComplete(job)) lifecycle.finishJob(job, JobState.Completed, 'all tasks done');
    else if ([...job.groups.values()].some(isExhausted)) {
      lifecycle.finishJob(job, JobState.Failed, 'no attempts left');
    } else if ([...job.groups.values()].some(hasCulprit)) {
      lifecycle.finishJob(job, JobState.Failed, crashReason);
    }
  }

  function handleLapse(link: WorkerLink, cause: LapseCause): void {
    const lost = activeJobs.listOnWorker(link.id);
    losses.recordLapse(link, cause, lost);
    context.orphanUsage.delete(link.id);
    for (const placed of lost) {
      if (heldRuns.canRunInNextIncarnation(placed.task, cause)) heldRuns.holdRun(placed);
      else lifecycle.dropRun(placed);
    }
    requestPlan();
  }

  /** Gives up the runs of unlisted workers once their leases have certainly expired. */
  function dropUnlistedRuns(): void {
    const boundMs = options.maxLeaseMs / slowestClockRate + unlistedMarginMs;
    if (!fleet.isLoaded() || clock.getNowMs() - startedMs < boundMs) return;
    for (const [workerId, placed] of activeJobs.groupByWorker()) {
      if (fleet.find(workerId) !== undefined) continue;
      const lost = placed.filter(({ task }) => !heldRuns.isHeld(task));
      if (lost.length === 0) continue;
      losses.recordUnlisted(workerId, lost);
      for (const placedTask of lost) lifecycle.dropRun(placedTask);
    }
  }

  function requestPlan(): void {
    if (cancelPlan !== undefined || isStopped) return;
    cancelPlan = clock.setTimer(planDelayMs, () => {
      cancelPlan = undefined;
      tryPlan();
    });
  }

  /** Contains errors: one caused by a single job would end the process of every later owner too. */
  function tryPlan(): void {
    runContainedSync(logger, 'plan', plan);
  }

  function plan(): void {
    if (!isLoaded || isStopped || !options.isHolding()) return;
    const config = options.getConfig();
    const startedAtMs = clock.getNowMs();
    const wallMs = getWallMs();
    const guarantees = new Map(
      config?.accounts.map((account) => [account.name, account.guaranteedAccelerators]),
    );
    activeJobs.openDue(wallMs);
    urgentDemand.record(activeJobs.sumUrgentDemand(wallMs), startedAtMs);
    const workers = buildWorkerViews(context, startedAtMs);
    const ready = activeJobs.listReady(wallMs);
    tickets.updateAllowedWorkers(ready);
    const canRequest = tickets.canRequest();
    const result = planStarts({
      nowMs: startedAtMs,
      urgentDemand: urgentDemand.getLevels(),
      preemptUrgentAfterMs,
      policy: options.policy,
      runTimes,
      getRanked: (group) => activeJobs.getRanked(group, wallMs),
      workers,
      ready,
      suspectsDown: countSuspectsDown(context, startedAtMs),
      guaranteed: activeJobs.listGuaranteed(guarantees),
      listsAdviceRequests: canRequest,
    });
    if (canRequest) tickets.requestTickets(result.adviceRequests, workers);
    metrics.reportTiming('plan.duration', clock.getNowMs() - startedAtMs);
    metrics.reportTiming('reports.age', getOldestReportMs());
    if (options.policy.placesBySpeed) reportSpeeds(workers);
    waitLog.reportWaits(result.waits, workers);
    for (const { group, task, reason, beneficiary } of result.stops) {
      const stopReason = `${reason} by ${beneficiary}`;
      if (group.spec.isGang) lifecycle.stopGang(group, stopReason);
      else lifecycle.stopTask({ group, task }, stopReason);
    }
    const starts = starter.limitStarts(result.starts);
    if (starts.length > 0) {
      void runContained(logger, 'starts', () => starter.startAll(starts));
    }
    // Stores the queued state of jobs that could not start yet.
    else if (journal.countPending() > 0) void journal.flush();
  }

  function reportSpeeds(workers: readonly WorkerView[]): void {
    for (const one of speedClasses) {
      const count = workers.filter(({ speedClass }) => speedClass === one).length;
      metrics.setGauge('workers.speed', count, { speedClass: String(one) });
    }
  }

  /** Longest time since the last report of a worker that has not lapsed. */
  function getOldestReportMs(): number {
    const links = fleet.list().filter((link) => link.getState() !== LinkState.Lapsed);
    return Math.max(0, ...links.map((link) => link.getSilenceMs()));
  }

  function runChecks(): void {
    runContainedSync(logger, 'checks of runs', () => {
      heldRuns.releaseExpired();
      dropUnlistedRuns();
      departures.checkAll();
      losses.dropExonerated();
    });
    tryPlan();
  }

  return {
    async start() {
      startedMs = clock.getNowMs();
      jobRows.start();
      fleet.start();
      const areRowsRead = await Promise.all([
        loadRows(progressTable, addProgress, markUnreadable),
        loadRows(crashTable, addCrashes, refuseCrashes),
      ]);
      const isRead = areRowsRead.every(Boolean) && (await loadJobs());
      if (!isRead) return;
      isLoaded = true;
      for (const [jobId] of jobRows.list()) addJob(jobId);
      progressRows.dropJobs((jobId) => isFinal(states.find(jobId)?.state ?? JobState.Queued));
      reports.handleDeferred();
      logger.info('owner_started', {
        epoch,
        jobs: activeJobs.list().length,
        tookMs: Math.round(clock.getNowMs() - startedMs),
      });
      reportEvacuated();
      cancelChecks = runEvery(clock, planIntervalMs, runChecks);
      requestPlan();
    },
    stop() {
      if (isStopped) return;
      isStopped = true;
      cancelPlan?.();
      cancelChecks?.();
      jobRows.stop();
      fleet.stop();
      journal.close();
      logger.info('owner_stopped', { epoch });
    },
    handleState(jobId, row) {
      if (!isLoaded) return;
      // A job is adopted when its own row arrives, never on a state change: a state that arrives
      // late would bring back a job that has ended.
      if (row !== undefined) cancels.handleState(jobId, row, CancelSource.Feed);
    },
    handleEvacuations() {
      reportEvacuated();
      requestPlan();
    },
    getDump: () => ({
      epoch,
      jobs: activeJobs.list().length,
      waitingTasks: countTasks(TaskPhase.Waiting),
      runningTasks: countTasks(TaskPhase.Running),
      workers: fleet.list().map((link) => ({
        id: link.id,
        state: link.getState(),
        silentMs: Math.round(link.getSilenceMs()),
      })),
      pendingWrites: journal.countPending(),
      advisedSteps: tickets.countSteps(),
      heldJobs: activeJobs.list().flatMap((job) => (job.isHeld ? [job.submission.id] : [])),
      evacuated: listEvacuated(),
    }),
  };

  function listEvacuated(): EvacuatedDataCentre[] {
    const byWorker = activeJobs.groupByWorker();
    const { dataCentres } = options.operatorRows.getEvacuations();
    return [...dataCentres].map((dataCentre) => {
      const links = fleet.list().filter((link) => link.getEntry().dataCentre === dataCentre);
      const runningTasks = links.reduce((sum, { id }) => sum + (byWorker.get(id)?.length ?? 0), 0);
      return { dataCentre, workers: links.length, runningTasks };
    });
  }

  function reportEvacuated(): void {
    for (const { dataCentre, workers, runningTasks } of listEvacuated()) {
      logger.info('data_centre_evacuated', { dataCentre, workers, runningTasks });
    }
  }

  function countTasks(phase: TaskPhase): number {
    let count = 0;
    for (const job of activeJobs.list()) {
      for (const group of job.groups.values()) {
        count += group.tasks.filter((task) => task.phase === phase).length;
      }
    }
    return count;
  }
}
