import { FaultCode, runContained, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault, Logger, Metrics } from '@bergamotreach/protocol';
import { getLeastResources } from '@bergamotreach/scheduling';
import type { Resources } from '@bergamotreach/scheduling';
import type { Result } from 'ts-results-es';
import type { TaskRunner, WorkerReport } from './taskrunner.ts';
import { createWorkerClock } from './workerclock.ts';
import type { WorkerClock } from './workerclock.ts';
import type { WorkerEntry } from './workerentry.ts';

/** What an owner knows about a worker. */
export enum LinkState {
  /** No answer yet; what runs there is unknown. */
  Connecting = 'connecting',
  Live = 'live',
  /** The last call got no answer; runs may continue until the lease expires. */
  Silent = 'silent',
  /** No run of this incarnation can be active any more. */
  Lapsed = 'lapsed',
}

/** Why no run of an incarnation of a worker can be active any more. */
export enum LapseCause {
  LeaseExpired = 'lease expired',
  Restarted = 'worker restarted',
  Left = 'worker left',
  OtherWorker = 'another worker answers',
}

/** Options of a link. Durations are in milliseconds. */
export interface WorkerLinkOptions {
  entry: WorkerEntry;
  runner: TaskRunner;
  /** Fencing token for this incarnation of the worker. */
  fencingToken: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Whether this process may send orders now. */
  isHolding: () => boolean;
  /**
   * Handles a report. Resolves with the number of the last ended run that is stored, which the
   * worker may then forget.
   */
  onReport: (report: WorkerReport) => Promise<number>;
  /** Called once no run of this incarnation can be active any more. */
  onLapse: (cause: LapseCause) => void;
  /** Called when another incarnation of the worker answers; `bornAtMs` is its start time. */
  onRestart: (bornAtMs: number) => void;
  /** Called when the worker has seen a newer owner. */
  onFenced: () => void;
}

/** An owner's connection to one incarnation of a worker. */
export interface WorkerLink {
  readonly id: string;
  /**
   * The latest entry. Its capacity is the lesser of the entry's and the latest report's, since either may
   * be the older one.
   */
  getEntry(): WorkerEntry;
  updateEntry(entry: WorkerEntry): void;
  /**
   * Monotonic time before which a draining worker does not leave; `undefined` if it does not drain or its
   * entry does not tell.
   */
  getLeavesAtMs(): number | undefined;
  /** Time between the first word that the worker drains and its departure, in milliseconds. */
  getNoticeMs(): number | undefined;
  getState(): LinkState;
  /** Whether the platform currently lists the worker. */
  isListed(): boolean;
  setListed(isListed: boolean): void;
  /** Time since the last answer of the worker, in milliseconds. */
  getSilenceMs(): number;
  /**
   * Monotonic time of the first call without an answer since the last one with an answer; `undefined`
   * while the worker answers.
   */
  getSilentSinceMs(): number | undefined;
  getClock(): WorkerClock;
  /** Fencing token for orders to this incarnation of the worker. */
  getFencingToken(): number;
  /** Marks this incarnation as unable to run anything any more. */
  markLapsed(cause: LapseCause): void;
  /**
   * Records that the worker removed its entry. This incarnation lapses once a call gets no answer as
   * well; an answer to a later call shows that the worker has not left.
   */
  markWithdrawn(): void;
  /** Makes the next call return at once instead of waiting for a run to end. */
  requestReport(): void;
  start(): void;
  /** Stops all calls; runs on the worker continue until the lease expires. */
  stop(): void;
}

// Long-poll timeout of a report: few calls while nothing happens, and the end of a run is reported
// at once, since the worker then answers early.
const reportWaitMs = 1000;
/** Time for the answer beyond the requested wait. */
const reportTimeoutMarginMs = 600;
const retryMs = 250;
const idleCheckMs = 50;
/** How long handling a report may wait for the store before the lease is renewed without it. */
const storeWaitMs = 1500;
/** A worker cannot restart within this time of an answer. */
const minRestartMs = 300;
/** Consecutive failed calls after which a worker gets no new tasks. */
const silentAfterFailures = 1;

/** Timeout of a report call that may wait for `waitMs`. */
export function getReportTimeoutMs(waitMs: number): number {
  return waitMs + reportTimeoutMarginMs;
}

/** Creates a link; `start` begins to call the worker. */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { runner, fencingToken, clock, logger, metrics, maxLeaseMs, isHolding } = options;
  let listedEntry = options.entry;
  let entry = options.entry;
  const { id, bornAtMs } = entry;
  const workerClock = createWorkerClock();
  const createdMs = clock.getNowMs();
  let state = LinkState.Connecting;
  let isListed = true;
  let isRunning = false;
  let failures = 0;
  /** Number of the last ended run that the owner has stored. */
  let storedSequence = 0;
  /** Highest acknowledgement that the worker has answered. */
  let confirmedSequence = 0;
  let answeredMs = clock.getNowMs();
  let silentSinceMs: number | undefined;
  let reportedCapacity: Resources | undefined;
  let isReportRequested = false;
  let isCalling = false;
  /** When the worker removed its entry; `undefined` while it is not known to have left. */
  let withdrawnAtMs: number | undefined;
  let leavesAtMs: number | undefined;
  let noticeMs: number | undefined;
  updateDeparture();

  /** Later entries repeat the notice with less time left. */
  function updateDeparture(): void {
    const { isDraining, drainRemainingMs } = listedEntry;
    if (!isDraining || !Number.isFinite(drainRemainingMs)) return;
    noticeMs ??= drainRemainingMs;
    leavesAtMs = Math.min(leavesAtMs ?? Infinity, clock.getNowMs() + drainRemainingMs);
  }

  function setState(next: LinkState, reason: string): void {
    if (state === next) return;
    logger.info('worker_state', {
      worker: id,
      life: bornAtMs,
      from: state,
      to: next,
      reason,
      silentMs: Math.round(clock.getNowMs() - answeredMs),
    });
    state = next;
    metrics.count('worker.states', 1, { state: next });
  }

  function markLapsed(cause: LapseCause): void {
    if (state === LinkState.Lapsed) return;
    setState(LinkState.Lapsed, cause);
    options.onLapse(cause);
  }

  /**
   * Whether the lease has expired. A worker that never answered holds at most what the previous
   * owner granted before this link was created.
   */
  function hasLeaseExpired(): boolean {
    const nowMs = clock.getNowMs();
    if (workerClock.estimate(nowMs) !== undefined) return workerClock.hasLeaseExpired(nowMs);
    const bound = createWorkerClock();
    bound.recordReading(0, createdMs);
    bound.recordLease(maxLeaseMs);
    return bound.hasLeaseExpired(nowMs);
  }

  function handleFailure(message: string): void {
    failures += 1;
    silentSinceMs ??= clock.getNowMs();
    metrics.count('worker.call_failures');
    if (failures >= silentAfterFailures && state === LinkState.Live)
      setState(LinkState.Silent, message);
    if (hasLeaseExpired()) markLapsed(LapseCause.LeaseExpired);
  }

  function updateCapacity(): void {
    const { capacity } = listedEntry;
    entry =
      reportedCapacity === undefined
        ? listedEntry
        : { ...listedEntry, capacity: getLeastResources(capacity, reportedCapacity) };
  }

  /** Records an answer; false if it comes from another incarnation of the worker. */
  function checkIncarnation(report: WorkerReport): boolean {
    if (report.bornAtMs !== undefined && report.bornAtMs !== bornAtMs) {
      markLapsed(LapseCause.Restarted);
      isRunning = false;
      options.onRestart(report.bornAtMs);
      return false;
    }
    failures = 0;
    answeredMs = clock.getNowMs();
    silentSinceMs = undefined;
    if (report.capacity !== undefined) {
      reportedCapacity = report.capacity;
      updateCapacity();
    }
    workerClock.recordReading(report.clockMs, answeredMs);
    return true;
  }

  async function handleReport(report: WorkerReport): Promise<void> {
    const isFirst = state !== LinkState.Live;
    setState(LinkState.Live, 'answered');
    if (isFirst) workerClock.recordLease(report.clockMs + maxLeaseMs);
    const stored = runContained(logger, `report of ${id}`, async () => {
      storedSequence = Math.max(storedSequence, await options.onReport(report));
    });
    const isStored = await Promise.race([stored, waitFor(clock, storeWaitMs).then(() => false)]);
    if (!isStored) logger.warn('ends_not_stored', { worker: id, ends: report.ends.length });
  }

  async function callOnce(): Promise<void> {
    const nowMs = clock.getNowMs();
    const estimate = workerClock.estimate(nowMs);
    // A call without an answer may have renewed the lease. A silent worker is therefore only
    // probed: if every call renewed the lease, it would never be certain to have expired.
    const canRenewLease = estimate !== undefined && failures === 0;
    // After a restart the acknowledgement would apply to ended runs of the next incarnation, whose
    // numbering starts over.
    const hasRecentAnswer = failures === 0 && nowMs - answeredMs <= minRestartMs;
    const isProbe = !hasRecentAnswer && storedSequence > confirmedSequence;
    const ackedSequence = hasRecentAnswer ? storedSequence : 0;
    const leaseUntilMs = canRenewLease ? Math.floor(estimate + maxLeaseMs) : undefined;
    const waitMs = canRenewLease && !isReportRequested && !isProbe ? reportWaitMs : 0;
    isReportRequested = false;
    if (leaseUntilMs !== undefined) workerClock.recordLease(leaseUntilMs);
    isCalling = true;
    const reply = await runner
      .report(entry, {
        fencingToken,
        ackedSequence,
        waitMs,
        ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }),
      })
      .finally(() => {
        isCalling = false;
      });
    if (!isRunning) return;
    checkWithdrawal(reply, nowMs);
    await handleReply(reply, ackedSequence, isProbe);
  }

  /** Decides whether a worker that has removed its entry has left, by its reply to a call. */
  function checkWithdrawal(reply: Result<WorkerReport, Fault>, calledAtMs: number): void {
    if (withdrawnAtMs === undefined) return;
    if (reply.isErr() && reply.error.code === FaultCode.WorkerUnavailable) {
      markLapsed(LapseCause.Left);
    } else if (calledAtMs >= withdrawnAtMs) {
      logger.info('unlisted_worker_answered', { worker: id, life: bornAtMs });
      withdrawnAtMs = undefined;
    }
  }

  async function handleReply(
    reply: Result<WorkerReport, Fault>,
    ackedSequence: number,
    isProbe: boolean,
  ): Promise<void> {
    if (reply.isOk()) {
      confirmedSequence = Math.max(confirmedSequence, ackedSequence);
      if (checkIncarnation(reply.value) && !isProbe) await handleReport(reply.value);
      return;
    }
    const fault = reply.error;
    if (fault.code === FaultCode.StaleEpoch) {
      logger.warn('worker_fenced', { worker: id, fence: fencingToken, reason: fault.message });
      options.onFenced();
    } else if (fault.code === FaultCode.NotFound) {
      markLapsed(LapseCause.OtherWorker);
      isRunning = false;
      return;
    }
    handleFailure(fault.message);
    await waitFor(clock, retryMs);
  }

  async function run(): Promise<void> {
    while (isRunning) {
      if (isHolding()) {
        const isCalled = await runContained(logger, `call to ${id}`, callOnce);
        if (!isCalled) await waitFor(clock, retryMs);
      } else {
        if (hasLeaseExpired()) markLapsed(LapseCause.LeaseExpired);
        await waitFor(clock, idleCheckMs);
      }
    }
  }

  return {
    id,
    getEntry: () => entry,
    updateEntry(next) {
      listedEntry = next;
      updateCapacity();
      updateDeparture();
    },
    getLeavesAtMs: () => leavesAtMs,
    getNoticeMs: () => noticeMs,
    getState: () => state,
    isListed: () => isListed,
    setListed(value) {
      isListed = value;
      if (value) withdrawnAtMs = undefined;
    },
    getSilenceMs: () => clock.getNowMs() - answeredMs,
    getSilentSinceMs: () => silentSinceMs,
    getClock: () => workerClock,
    getFencingToken: () => fencingToken,
    markLapsed,
    markWithdrawn() {
      withdrawnAtMs = clock.getNowMs();
      if (!isCalling && failures > 0) markLapsed(LapseCause.Left);
    },
    requestReport() {
      isReportRequested = true;
    },
    start() {
      isRunning = true;
      void run();
    },
    stop() {
      isRunning = false;
    },
  };
}
