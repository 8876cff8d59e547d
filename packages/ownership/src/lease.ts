import type { Row, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import { FaultCode, createFault, runContained } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Fault, Logger, Metrics } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { GroupCommitter } from './committer.ts';
import { createLeaseTuner } from './leaseterms.ts';
import { TransactionStatus, WritePriority } from './transaction.ts';
import type { TransactionReply } from './transaction.ts';

/** State of a region's lease as one daemon sees it. */
export enum LeaseState {
  /** Another daemon holds the lease, or none does. */
  Waiting = 'waiting',
  /** This daemon holds the lease and may act: send commands and write as owner. */
  Holding = 'holding',
  /** The deadline passed without a renewal and no takeover was seen; the daemon must not act. */
  Suspended = 'suspended',
}

/** Options of a region lease. Durations are in milliseconds. */
export interface RegionLeaseOptions {
  table: Table;
  committer: GroupCommitter;
  clock: Clock;
  /**
   * Clock of the holder's own deadline. It must include the time for which the process was
   * suspended. Default: `clock`.
   */
  deadlineClock?: Clock;
  logger: Logger;
  metrics: Metrics;
  region: string;
  /** Id of this process; never reused by another process. */
  holder: string;
  /** Address at which other daemons reach this one. */
  address: string;
  leaseMs?: number;
  marginMs?: number;
  renewMs?: number;
  /**
   * Shortest lease that the holder writes while its renewals are fast. The lease row carries the
   * duration, so that contenders know it. Default: `leaseMs`.
   */
  shortestLeaseMs?: number;
  /** Longest lease that the holder writes while its renewals are slow. Default: `leaseMs`. */
  longestLeaseMs?: number;
  /**
   * Tells whether a holder is an earlier process of this instance, which is known to have ended:
   * its lease is then taken over at once. Default: no holder is.
   */
  isPreviousProcess?: (holder: string) => boolean;
  /** Version of the rows that this process keeps while it holds the lease; 1 if absent. */
  rowVersion?: number;
  /**
   * How long a free lease must have been free before this process takes it over, so that processes
   * better suited to hold it can do so first. Default: 0.
   */
  getTakeoverDelayMs?: () => number;
  /**
   * Interval at which a process that does not hold the lease polls it while the holder renews.
   * After a poll that shows no renewal, the next ones follow every `renewMs`. Default: `renewMs`.
   */
  getPollMs?: () => number;
  /** Called after each change of the state or the epoch. */
  onChange?: (state: LeaseState, epoch: number) => void;
}

/** The lease row as last read. */
export interface LeaseRecord {
  /** Empty when the last holder released the lease. */
  holder: string;
  address: string;
  epoch: number;
  renewal: number;
  /** Duration of the lease in milliseconds. When absent, readers assume their own longest lease. */
  leaseMs?: number;
}

/** State of a lease for the dump. */
export interface LeaseDump {
  region: string;
  state: LeaseState;
  epoch: number;
  deadlineMs: number;
  owner: LeaseRecord | undefined;
  /** Milliseconds since the lease row was last read or written. */
  storeSeenAgoMs: number;
}

/** Lease that makes one daemon the owner of a region's placement. */
export interface RegionLease {
  /** Starts contending for the lease. */
  start(): void;
  /** Stops contending; releases a held lease, so that others can take over at their next poll. */
  stop(): Promise<void>;
  /** Releases a held lease and keeps contending, so that the next takeover uses a new epoch. */
  resign(): Promise<void>;
  /** Whether this daemon may act under `epoch` now. Check it right before each action. */
  isHolding(epoch: number): boolean;
  getState(): LeaseState;
  /** Epoch (fencing token) of this daemon's last takeover; 0 before the first. */
  getEpoch(): number;
  /** Fencing condition of each owner write; undefined when this daemon does not hold the lease. */
  getEpochCondition(): RowCondition | undefined;
  /**
   * Version of the rows that the holder before this one kept; 1 if it did not tell, `rowVersion` if there
   * was none.
   */
  getPreviousRowVersion(): number;
  /** The lease row as last read or written; undefined before the first read or without a row. */
  getOwner(): LeaseRecord | undefined;
  /** Milliseconds since the store last confirmed a read or write of the lease row. */
  getStoreSilenceMs(): number;
  getDump(): LeaseDump;
}

const defaults = { leaseMs: 3000, marginMs: 500, renewMs: 1000 };

/** The lease while this daemon holds it, possibly suspended. */
interface HeldLease {
  epoch: number;
  epochVersion: number;
  rowVersion: number;
  renewal: number;
  deadlineMs: number;
}

/** A version of the lease row, with the time at which the first read that showed it returned. */
interface ObservedLease {
  version: number;
  record: LeaseRecord | undefined;
  firstReadMs: number;
}

/** A row with a longer lease is not one of this program's. */
const maxLeaseMs = 600_000;

function isLeaseRecord(value: unknown): value is LeaseRecord {
  const record = value as Partial<Record<keyof LeaseRecord, unknown>> | null;
  const leaseMs = record?.leaseMs;
  const hasDuration = typeof leaseMs === 'number' && leaseMs > 0 && leaseMs <= maxLeaseMs;
  return (
    typeof record === 'object' &&
    typeof record?.holder === 'string' &&
    typeof record.address === 'string' &&
    Number.isSafeInteger(record.epoch) &&
    Number.isSafeInteger(record.renewal) &&
    (leaseMs === undefined || hasDuration)
  );
}

/** Version of the rows of holders that do not tell it. */
const firstRowVersion = 1;

function isEpochValue(value: unknown): value is { epoch: number } {
  const record = value as { epoch?: unknown } | null;
  return typeof record === 'object' && Number.isSafeInteger(record?.epoch);
}

/** Creates the lease of a region; call `start` to contend for it. */
export function createRegionLease(options: RegionLeaseOptions): RegionLease {
  const { table, committer, clock, logger, metrics, region, holder, address } = options;
  const { leaseMs, marginMs, renewMs } = { ...defaults, ...options };
  const deadlineClock = options.deadlineClock ?? clock;
  const tuner = createLeaseTuner({
    initial: { leaseMs, renewMs },
    longestMs: options.longestLeaseMs ?? leaseMs,
    shortestMs: options.shortestLeaseMs ?? leaseMs,
    marginMs,
  });
  const ownerKey = `owner/${region}`;
  const epochKey = `epoch/${region}`;
  let held: HeldLease | undefined;
  let observed: ObservedLease | undefined;
  let lastEpoch = 0;
  const ownRowVersion = options.rowVersion ?? firstRowVersion;
  let previousRowVersion = ownRowVersion;
  let reportedState = LeaseState.Waiting;
  let lastReplyMs = clock.getNowMs();
  let cancelStepTimer: CancelTimer | undefined;
  /** Time at which the next renewal or poll is due. */
  let stepDueMs = clock.getNowMs();
  let cancelDeadline: CancelTimer | undefined;
  let runningStep: Promise<void> | undefined;
  /** A step became due while the one before it was still running. */
  let isNextStepDue = false;
  let isStopped = true;
  /** The latest poll showed no renewal since the poll before. */
  let isUnchanged = false;
  /** Version of the malformed row that was logged last, so that each is logged once. */
  let refusedVersion: number | undefined;

  function getState(): LeaseState {
    if (held === undefined) return LeaseState.Waiting;
    return deadlineClock.getNowMs() < held.deadlineMs ? LeaseState.Holding : LeaseState.Suspended;
  }

  function reportState(): void {
    const state = getState();
    if (state === reportedState) return;
    reportedState = state;
    metrics.count('lease.changes', 1, { state });
    logger.info('lease_state', { region, state, epoch: lastEpoch });
    options.onChange?.(state, lastEpoch);
  }

  function scheduleDeadline(): void {
    cancelDeadline?.();
    if (held === undefined) return;
    cancelDeadline = clock.setTimer(held.deadlineMs - deadlineClock.getNowMs(), reportState);
  }

  function encodeRecord(epoch: number, renewal: number, durationMs: number): RowValue {
    return { holder, address, epoch, renewal, leaseMs: durationMs };
  }

  function submitLeaseWrite(
    conditions: RowCondition[],
    writes: { key: string; value: RowValue }[],
  ): Promise<TransactionReply> {
    return committer.submit({ conditions, writes, priority: WritePriority.Lease });
  }

  function handleLeaseLoss(reason: string): void {
    logger.warn('lease_lost', { region, epoch: lastEpoch, why: reason });
    held = undefined;
    observed = undefined;
    reportState();
  }

  async function renewLease(current: HeldLease, dueMs: number): Promise<void> {
    const sentMs = deadlineClock.getNowMs();
    const renewal = current.renewal + 1;
    const terms = tuner.getTerms();
    const deadlineMs = sentMs + terms.leaseMs - marginMs;
    // An ambiguous renewal may have shortened the lease that contenders see, so the deadline only
    // moves forward once the commit is confirmed.
    current.deadlineMs = Math.min(current.deadlineMs, deadlineMs);
    scheduleDeadline();
    const reply = await submitLeaseWrite(
      [
        { key: ownerKey, version: current.rowVersion },
        { key: epochKey, version: current.epochVersion },
      ],
      [{ key: ownerKey, value: encodeRecord(current.epoch, renewal, terms.leaseMs) }],
    );
    if (reply.status === TransactionStatus.Committed) {
      lastReplyMs = clock.getNowMs();
      current.renewal = renewal;
      current.rowVersion = reply.versions[ownerKey] ?? 0;
      current.deadlineMs = deadlineMs;
      scheduleDeadline();
    } else if (reply.status !== TransactionStatus.Unavailable) {
      await readBackRenewal(current);
    }
    tuner.recordRenewal(clock.getNowMs() - dueMs);
    reportState();
  }

  /**
   * Reads the row back after a conflicting or ambiguous renewal. Either the lease was taken over or
   * a renewal of this daemon was applied late; then its version lets the next renewal succeed.
   */
  async function readBackRenewal(current: HeldLease): Promise<void> {
    const result = await table.getRow(ownerKey);
    if (result.isErr()) return;
    const row = readRecord(result.value);
    if (row.isErr()) return;
    const record = row.value;
    if (record?.holder !== holder || record.epoch !== current.epoch) handleLeaseLoss('taken over');
    else {
      current.rowVersion = result.value?.version ?? 0;
      current.renewal = record.renewal;
    }
  }

  async function pollLeaseRow(): Promise<void> {
    const result = await table.getRow(ownerKey);
    if (result.isErr()) return;
    lastReplyMs = clock.getNowMs();
    const row = result.value;
    const version = row?.version ?? 0;
    const record = readRecord(row);
    if (record.isErr()) return;
    isUnchanged = observed?.version === version;
    // The lease runs from the return of the first read that showed this version; the row has not
    // changed since then.
    if (observed?.version !== version) {
      observed = { version, record: record.value, firstReadMs: lastReplyMs };
    }
    await tryTakeOver(observed);
  }

  async function tryTakeOver(seen: ObservedLease): Promise<void> {
    const takeoverDelayMs = options.getTakeoverDelayMs?.() ?? 0;
    const owner = seen.record?.holder ?? '';
    const isPreviousProcess = owner !== '' && options.isPreviousProcess?.(owner) === true;
    const isFree = owner === '' || isPreviousProcess;
    const freeSinceMs = isFree ? seen.firstReadMs : getExpiryMs(seen);
    if (isStopped) return;
    if (lastReplyMs - freeSinceMs >= takeoverDelayMs) await commitTakeover(seen);
    // Without this release, the other contenders would wait until the ended process's lease expires.
    else if (isPreviousProcess && seen.record !== undefined)
      await releaseLeaseRow(seen.version, seen.record);
  }

  /** Time at which a lease may be taken over unless it is renewed. */
  function getExpiryMs({ firstReadMs, record }: ObservedLease): number {
    return firstReadMs + (record?.leaseMs ?? leaseMs) + marginMs;
  }

  async function releaseLeaseRow(version: number, record: LeaseRecord): Promise<void> {
    await submitLeaseWrite(
      [{ key: ownerKey, version }],
      [{ key: ownerKey, value: { ...record, holder: '', address, renewal: record.renewal + 1 } }],
    );
  }

  async function commitTakeover(seen: ObservedLease): Promise<void> {
    const epochRow = await table.getRow(epochKey);
    if (epochRow.isErr()) return;
    const lastValue = readEpoch(epochRow.value);
    if (lastValue.isErr()) return;
    const epoch = Math.max(seen.record?.epoch ?? 0, lastValue.value) + 1;
    const sentMs = deadlineClock.getNowMs();
    const reply = await submitLeaseWrite(
      [
        { key: ownerKey, version: seen.version },
        { key: epochKey, version: epochRow.value?.version ?? 0 },
      ],
      [
        { key: ownerKey, value: encodeRecord(epoch, 0, leaseMs) },
        { key: epochKey, value: encodeEpoch(epoch) },
      ],
    );
    // After an ambiguous commit the row may name this daemon; it is polled like any other's.
    if (reply.status !== TransactionStatus.Committed) return;
    const epochVersion = reply.versions[epochKey];
    const rowVersion = reply.versions[ownerKey];
    // Read back as committed, but another takeover has overwritten the rows since.
    if (epochVersion === undefined || rowVersion === undefined) return;
    const deadlineMs = sentMs + leaseMs - marginMs;
    held = { epoch, epochVersion, rowVersion, renewal: 0, deadlineMs };
    tuner.reset();
    lastEpoch = epoch;
    previousRowVersion = readRowVersion(epochRow.value);
    scheduleDeadline();
    reportState();
  }

  function encodeEpoch(epoch: number): RowValue {
    return ownRowVersion === firstRowVersion
      ? { epoch, holder }
      : { epoch, holder, rowVersion: ownRowVersion };
  }

  function readRowVersion(row: Row | undefined): number {
    if (row === undefined) return ownRowVersion;
    const { rowVersion: version } = row.value as { rowVersion?: unknown };
    return typeof version === 'number' ? version : firstRowVersion;
  }

  function readEpoch(row: Row | undefined): Result<number, Fault> {
    if (row === undefined) return Ok(0);
    return isEpochValue(row.value) ? Ok(row.value.epoch) : refuseRow(row);
  }

  function readRecord(row: Row | undefined): Result<LeaseRecord | undefined, Fault> {
    if (row === undefined) return Ok(undefined);
    return isLeaseRecord(row.value) ? Ok(row.value) : refuseRow(row);
  }

  /** Prevents a takeover while the holder or epoch is unreadable: epochs must never decrease. */
  function refuseRow({ key, version }: Row): Result<never, Fault> {
    if (refusedVersion !== version) logger.error('lease_row_refused', { region, key, version });
    refusedVersion = version;
    return Err(createFault(FaultCode.StoreUnavailable, `row ${key} cannot be read`));
  }

  async function runStep(dueMs: number): Promise<void> {
    if (held !== undefined) await renewLease(held, dueMs);
    else await pollLeaseRow();
  }

  function runDueStep(): void {
    reportState();
    if (runningStep === undefined) startStep(stepDueMs);
    else isNextStepDue = true;
  }

  function startStep(dueMs: number): void {
    isNextStepDue = false;
    runningStep = runContained(logger, 'lease', () => runStep(dueMs)).then(() => {
      runningStep = undefined;
      // After a renewal that took longer than the interval, the next one starts at once.
      if (isNextStepDue && held !== undefined && !isStopped) startStep(clock.getNowMs());
    });
  }

  function getStepDelayMs(): number {
    if (held !== undefined) return tuner.getTerms().renewMs;
    if (observed === undefined) return renewMs;
    if (!isUnchanged) return options.getPollMs?.() ?? renewMs;
    const leftMs = getExpiryMs(observed) - clock.getNowMs();
    return leftMs > 0 ? Math.min(renewMs, Math.ceil(leftMs)) : renewMs;
  }

  function scheduleStep(): void {
    const delayMs = getStepDelayMs();
    stepDueMs = clock.getNowMs() + delayMs;
    cancelStepTimer = clock.setTimer(delayMs, () => {
      runDueStep();
      scheduleStep();
    });
  }

  async function releaseLease(current: HeldLease): Promise<void> {
    held = undefined;
    reportState();
    const { epoch, renewal } = current;
    await releaseLeaseRow(current.rowVersion, { holder, address, epoch, renewal });
  }

  return {
    start() {
      isStopped = false;
      runDueStep();
      scheduleStep();
    },
    async stop() {
      isStopped = true;
      cancelStepTimer?.();
      await runningStep;
      cancelDeadline?.();
      if (held !== undefined) await releaseLease(held);
    },
    async resign() {
      await runningStep;
      if (held !== undefined) await releaseLease(held);
    },
    isHolding: (epoch) => held?.epoch === epoch && getState() === LeaseState.Holding,
    getState,
    getEpoch: () => lastEpoch,
    getPreviousRowVersion: () => previousRowVersion,
    getEpochCondition: () =>
      held === undefined ? undefined : { key: epochKey, version: held.epochVersion },
    getOwner: () =>
      held === undefined
        ? observed?.record
        : { holder, address, epoch: held.epoch, renewal: held.renewal },
    getStoreSilenceMs: () => clock.getNowMs() - lastReplyMs,
    getDump: () => ({
      region,
      state: getState(),
      epoch: lastEpoch,
      deadlineMs: held?.deadlineMs ?? 0,
      owner: held === undefined ? observed?.record : { ...encodeOwner(held) },
      storeSeenAgoMs: clock.getNowMs() - lastReplyMs,
    }),
  };

  function encodeOwner(current: HeldLease): LeaseRecord {
    return { holder, address, epoch: current.epoch, renewal: current.renewal };
  }
}
