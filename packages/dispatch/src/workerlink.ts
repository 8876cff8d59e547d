import { FaultCode, runContained, waitFor } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import type { TaskRunner, WorkerReport } from './taskrunner.ts';
import { createWorkerClock } from './workerclock.ts';
import type { WorkerClock } from './workerclock.ts';
import type { WorkerEntry } from './workerentry.ts';

/** What an owner knows of a worker. */
export enum LinkState {
  /** No answer yet; what runs there is not known. */
  Connecting = 'connecting',
  Live = 'live',
  /** The last call got no answer; what runs there may go on until its lease expires. */
  Silent = 'silent',
  /** Nothing that ran there can be running any more. */
  Lapsed = 'lapsed',
}

/** Why nothing that was started in a life of a worker can run any more. */
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
  /** Fencing token for this life of the worker. */
  fence: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Whether this process may give orders now. */
  isHolding: () => boolean;
  /**
   * Takes in a report. Resolves with the number of the last end that is stored, so that the worker
   * may forget it.
   */
  onReport: (report: WorkerReport) => Promise<number>;
  /** Called once nothing that was started there can run any more. */
  onLapse: (cause: LapseCause) => void;
  /** Called when another life of the worker answers; `bornAtMs` is its start. */
  onRestart: (bornAtMs: number) => void;
  /** Called when a worker answers that obeys a newer owner. */
  onFenced: () => void;
}

/** An owner's connection to one life of a worker. */
export interface WorkerLink {
  readonly id: string;
  getEntry(): WorkerEntry;
  updateEntry(entry: WorkerEntry): void;
  getState(): LinkState;
  /** Whether the worker's entry is in the platform's list now. */
  isListed(): boolean;
  setListed(isListed: boolean): void;
  /** Time since the worker answered last, in milliseconds. */
  getSilenceMs(): number;
  getClock(): WorkerClock;
  /** Fencing token of the orders to this life of the worker. */
  getFence(): number;
  /** Declares that nothing started in this life of the worker can run any more. */
  endLife(cause: LapseCause): void;
  /** Asks for a report without waiting for an end. */
  hurry(): void;
  start(): void;
  /** Stops all calls; the worker keeps what runs there until the lease expires. */
  stop(): void;
}

// Few calls while nothing happens; an end is told at once because the worker answers then.
const reportWaitMs = 1000;
/** Extra time for an answer beyond the wait that was asked for. */
const reportSlackMs = 600;
const retryMs = 250;
const idleCheckMs = 50;
/** How long a report may wait for the store before the lease is extended without it. */
const storeWaitMs = 1500;
/** A worker does not start again within this time of an answer. */
const freshMs = 300;
/** Failed calls in a row after which a worker gets no new work. */
const silentAfter = 1;

/** Timeout of a report call. */
export function getReportTimeoutMs(waitMs: number): number {
  return waitMs + reportSlackMs;
}

/** Creates a link; `start` begins to call the worker. */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { runner, fence, clock, logger, metrics, maxLeaseMs, isHolding } = options;
  let entry = options.entry;
  const { id, bornAtMs } = entry;
  const workerClock = createWorkerClock();
  const createdMs = clock.getNowMs();
  let state = LinkState.Connecting;
  let isInList = true;
  let isRunning = false;
  let failures = 0;
  let ackedEnd = 0;
  /** Highest end whose acknowledgement was answered. */
  let sentEnd = 0;
  let answeredMs = clock.getNowMs();
  let isUrgent = false;

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

  function endLife(cause: LapseCause): void {
    if (state === LinkState.Lapsed) return;
    setState(LinkState.Lapsed, cause);
    options.onLapse(cause);
  }

  /** A worker that never answered holds at most what an earlier owner granted before this one. */
  function hasLapsed(): boolean {
    const nowMs = clock.getNowMs();
    if (workerClock.estimate(nowMs) !== undefined) return workerClock.hasLapsed(nowMs);
    const bound = createWorkerClock();
    bound.note(0, createdMs);
    bound.noteLease(maxLeaseMs);
    return bound.hasLapsed(nowMs);
  }

  function handleFailure(message: string): void {
    failures += 1;
    metrics.count('worker.call_failures');
    if (failures >= silentAfter && state === LinkState.Live) setState(LinkState.Silent, message);
    if (hasLapsed()) endLife(LapseCause.LeaseExpired);
  }

  /** Takes note of an answer; false when it comes from another life of the worker. */
  function checkLife(report: WorkerReport): boolean {
    if (report.bornAtMs !== undefined && report.bornAtMs !== bornAtMs) {
      endLife(LapseCause.Restarted);
      isRunning = false;
      options.onRestart(report.bornAtMs);
      return false;
    }
    failures = 0;
    answeredMs = clock.getNowMs();
    workerClock.note(report.clockMs, answeredMs);
    return true;
  }

  async function handleReport(report: WorkerReport): Promise<void> {
    const isFirst = state !== LinkState.Live;
    setState(LinkState.Live, 'answered');
    if (isFirst) workerClock.noteLease(report.clockMs + maxLeaseMs);
    const stored = runContained(logger, `report of ${id}`, async () => {
      ackedEnd = Math.max(ackedEnd, await options.onReport(report));
    });
    const isStored = await Promise.race([stored, waitFor(clock, storeWaitMs).then(() => false)]);
    if (!isStored) logger.warn('ends_not_stored', { worker: id, ends: report.ends.length });
  }

  async function callOnce(): Promise<void> {
    const nowMs = clock.getNowMs();
    const estimate = workerClock.estimate(nowMs);
    // A call without an answer may have extended the lease. So a silent worker is only looked at:
    // with an extension in each call its lease would never lapse for certain.
    const canExtend = estimate !== undefined && failures === 0;
    // The worker may have started again meanwhile, and the cursor would acknowledge ends of its next
    // life, whose numbers begin anew.
    const isFresh = failures === 0 && nowMs - answeredMs <= freshMs;
    const isLook = !isFresh && ackedEnd > sentEnd;
    const cursor = isFresh ? ackedEnd : 0;
    const leaseUntilMs = canExtend ? Math.floor(estimate + maxLeaseMs) : undefined;
    const waitMs = canExtend && !isUrgent && !isLook ? reportWaitMs : 0;
    isUrgent = false;
    if (leaseUntilMs !== undefined) workerClock.noteLease(leaseUntilMs);
    const reply = await runner.report(entry, {
      fence,
      ackedEnd: cursor,
      waitMs,
      ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }),
    });
    if (!isRunning) return;
    if (reply.isOk()) {
      sentEnd = Math.max(sentEnd, cursor);
      if (checkLife(reply.value) && !isLook) await handleReport(reply.value);
      return;
    }
    const fault = reply.error;
    if (fault.code === FaultCode.StaleEpoch) {
      logger.warn('worker_fenced', { worker: id, fence, reason: fault.message });
      options.onFenced();
    } else if (fault.code === FaultCode.NotFound) {
      endLife(LapseCause.OtherWorker);
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
        if (hasLapsed()) endLife(LapseCause.LeaseExpired);
        await waitFor(clock, idleCheckMs);
      }
    }
  }

  return {
    id,
    getEntry: () => entry,
    updateEntry(next) {
      entry = next;
    },
    getState: () => state,
    isListed: () => isInList,
    setListed(value) {
      isInList = value;
    },
    getSilenceMs: () => clock.getNowMs() - answeredMs,
    getClock: () => workerClock,
    getFence: () => fence,
    endLife,
    hurry() {
      isUrgent = true;
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
