import type { Row, RowCondition, RowValue, Table } from '@bergamotreach/hosting';
import { FaultCode, createFault, runContained } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Fault, Logger, Metrics } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { GroupCommitter } from './committer.ts';
import { createLeasePace } from './leaseterms.ts';
import { TransactionStatus, WritePriority } from './transaction.ts';
import type { TransactionReply } from './transaction.ts';

/** What a daemon knows of its part in a region's lease. */
export enum LeaseState {
  /** Another daemon holds the lease, or nobody does. */
  Waiting = 'waiting',
  /** This daemon holds the lease and may cause effects. */
  Holding = 'holding',
  /** The deadline passed without a renewal, but no takeover was seen; no effect is allowed. */
  Suspended = 'suspended',
}

/** Options of a region lease. Durations are in milliseconds. */
export interface RegionLeaseOptions {
  table: Table;
  committer: GroupCommitter;
  clock: Clock;
  /**
   * Clock of the holder's own deadline. It must count the time for which the process was
   * suspended; `clock` when absent.
   */
  deadlineClock?: Clock;
  logger: Logger;
  metrics: Metrics;
  region: string;
  /** Id of this process, never used by another one before. */
  holder: string;
  /** Address at which other daemons reach this one. */
  address: string;
  leaseMs?: number;
  marginMs?: number;
  renewMs?: number;
  /**
   * Shortest lease that the holder takes while its renewals are quick; `leaseMs` when absent. The row
   * tells the others how long the lease is.
   */
  shortestLeaseMs?: number;
  /**
   * Tells whether a holder is an earlier process of this instance, which has certainly ended: its
   * lease is then taken over at once. None is when absent.
   */
  isFormerSelf?: (holder: string) => boolean;
  /**
   * How long this process leaves a lease that is free to others that are better placed to hold it;
   * not at all when absent.
   */
  getReluctanceMs?: () => number;
  /**
   * Interval at which a process that does not hold the lease looks at it while the holder renews;
   * `renewMs` when absent. Once a look shows no renewal, the next ones follow every `renewMs`.
   */
  getWatchMs?: () => number;
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
  /** Duration of the lease in milliseconds; the longest one when absent. */
  leaseMs?: number;
}

/** State of a lease for the dump. */
export interface LeaseDump {
  region: string;
  state: LeaseState;
  epoch: number;
  deadlineMs: number;
  owner: LeaseRecord | undefined;
  /** Time since the lease row was read or written last. */
  storeSeenAgoMs: number;
}

/** Lease on the placement of a region. */
export interface RegionLease {
  /** Begins to contend for the lease. */
  start(): void;
  /** Stops contending; releases the lease when held, so that another daemon takes over at once. */
  stop(): Promise<void>;
  /** Gives the lease up when held and goes on contending, so that the next epoch is a new one. */
  resign(): Promise<void>;
  /** Whether an effect of `epoch` is allowed now. To be asked right before each effect. */
  isHolding(epoch: number): boolean;
  getState(): LeaseState;
  /** Epoch of this daemon's last takeover; 0 before the first. */
  getEpoch(): number;
  /** Condition for each owner write; undefined when this daemon does not own the region. */
  getEpochCondition(): RowCondition | undefined;
  /** The lease row as last seen. */
  getOwner(): LeaseRecord | undefined;
  /** Time since the store last answered about the lease row. */
  getStoreSeenAgoMs(): number;
  getDump(): LeaseDump;
}

const defaults = { leaseMs: 3000, marginMs: 500, renewMs: 1000 };

interface Hold {
  epoch: number;
  epochVersion: number;
  rowVersion: number;
  renewal: number;
  deadlineMs: number;
}

interface Sighting {
  version: number;
  record: LeaseRecord | undefined;
  sinceMs: number;
}

function isLeaseRecord(value: unknown): value is LeaseRecord {
  const record = value as Partial<Record<keyof LeaseRecord, unknown>> | null;
  const leaseMs = record?.leaseMs;
  const hasDuration = typeof leaseMs === 'number' && Number.isFinite(leaseMs) && leaseMs > 0;
  return (
    typeof record === 'object' &&
    typeof record?.holder === 'string' &&
    typeof record.address === 'string' &&
    typeof record.epoch === 'number' &&
    typeof record.renewal === 'number' &&
    (leaseMs === undefined || hasDuration)
  );
}

function isEpochValue(value: unknown): value is { epoch: number } {
  const record = value as { epoch?: unknown } | null;
  return typeof record === 'object' && typeof record?.epoch === 'number';
}

/** Creates the lease of a region; `start` begins to contend for it. */
export function createRegionLease(options: RegionLeaseOptions): RegionLease {
  const { table, committer, clock, logger, metrics, region, holder, address } = options;
  const { leaseMs, marginMs, renewMs } = { ...defaults, ...options };
  const deadlineClock = options.deadlineClock ?? clock;
  const pace = createLeasePace({
    longest: { leaseMs, renewMs },
    shortestMs: options.shortestLeaseMs ?? leaseMs,
    marginMs,
  });
  const ownerKey = `owner/${region}`;
  const epochKey = `epoch/${region}`;
  let hold: Hold | undefined;
  let sighting: Sighting | undefined;
  let lastEpoch = 0;
  let reported = LeaseState.Waiting;
  let storeSeenMs = clock.getNowMs();
  let cancelTick: CancelTimer | undefined;
  /** Time at which the next step is due. */
  let dueMs = clock.getNowMs();
  let cancelDeadline: CancelTimer | undefined;
  let step: Promise<void> | undefined;
  /** A step was due while the one before it was under way. */
  let isOverdue = false;
  let isStopped = true;
  /** The latest look showed no renewal since the one before. */
  let isUnchanged = false;
  /** Version of the row that was refused last, so that each is logged once. */
  let refusedVersion: number | undefined;

  function getState(): LeaseState {
    if (hold === undefined) return LeaseState.Waiting;
    return deadlineClock.getNowMs() < hold.deadlineMs ? LeaseState.Holding : LeaseState.Suspended;
  }

  function reportState(): void {
    const state = getState();
    if (state === reported) return;
    reported = state;
    metrics.count('lease.changes', 1, { state });
    logger.info('lease_state', { region, state, epoch: lastEpoch });
    options.onChange?.(state, lastEpoch);
  }

  function planDeadline(): void {
    cancelDeadline?.();
    if (hold === undefined) return;
    cancelDeadline = clock.setTimer(hold.deadlineMs - deadlineClock.getNowMs(), reportState);
  }

  function encodeRecord(epoch: number, renewal: number, durationMs: number): RowValue {
    return { holder, address, epoch, renewal, leaseMs: durationMs };
  }

  function submitLease(
    conditions: RowCondition[],
    writes: { key: string; value: RowValue }[],
  ): Promise<TransactionReply> {
    return committer.submit({ conditions, writes, priority: WritePriority.Lease });
  }

  function dropHold(why: string): void {
    logger.warn('lease_lost', { region, epoch: lastEpoch, why });
    hold = undefined;
    sighting = undefined;
    reportState();
  }

  async function renewHold(current: Hold, wasDueMs: number): Promise<void> {
    const sentMs = deadlineClock.getNowMs();
    const renewal = current.renewal + 1;
    const terms = pace.getTerms();
    const deadlineMs = sentMs + terms.leaseMs - marginMs;
    // A renewal of unknown fate may have shortened the lease that the others see.
    current.deadlineMs = Math.min(current.deadlineMs, deadlineMs);
    planDeadline();
    const reply = await submitLease(
      [
        { key: ownerKey, version: current.rowVersion },
        { key: epochKey, version: current.epochVersion },
      ],
      [{ key: ownerKey, value: encodeRecord(current.epoch, renewal, terms.leaseMs) }],
    );
    if (reply.status === TransactionStatus.Committed) {
      storeSeenMs = clock.getNowMs();
      current.renewal = renewal;
      current.rowVersion = reply.versions[ownerKey] ?? 0;
      current.deadlineMs = deadlineMs;
      planDeadline();
    } else if (reply.status !== TransactionStatus.Unavailable) {
      await checkHold(current);
    }
    pace.note(clock.getNowMs() - wasDueMs);
    reportState();
  }

  /**
   * After a conflict or a renewal of unknown fate the row tells whether the lease was taken over,
   * or whether a renewal of this daemon took effect late; then the next one can succeed.
   */
  async function checkHold(current: Hold): Promise<void> {
    const result = await table.getRow(ownerKey);
    if (result.isErr()) return;
    const row = readRecord(result.value);
    if (row.isErr()) return;
    const record = row.value;
    if (record?.holder !== holder || record.epoch !== current.epoch) dropHold('taken over');
    else {
      current.rowVersion = result.value?.version ?? 0;
      current.renewal = record.renewal;
    }
  }

  async function watchRow(): Promise<void> {
    const result = await table.getRow(ownerKey);
    if (result.isErr()) return;
    storeSeenMs = clock.getNowMs();
    const row = result.value;
    const version = row?.version ?? 0;
    const record = readRecord(row);
    if (record.isErr()) return;
    isUnchanged = sighting?.version === version;
    // The row is unchanged since the first read that showed this version returned.
    if (sighting?.version !== version) {
      sighting = { version, record: record.value, sinceMs: storeSeenMs };
    }
    await tryTakeOver(sighting);
  }

  async function tryTakeOver(seen: Sighting): Promise<void> {
    const reluctanceMs = options.getReluctanceMs?.() ?? 0;
    const owner = seen.record?.holder ?? '';
    const isOwn = owner !== '' && options.isFormerSelf?.(owner) === true;
    const isFree = owner === '' || isOwn;
    const freeSinceMs = isFree ? seen.sinceMs : getExpiryMs(seen);
    if (isStopped) return;
    if (storeSeenMs - freeSinceMs >= reluctanceMs) await takeOver(seen);
    // The others would wait for the lease of a process that has ended.
    else if (isOwn && seen.record !== undefined) await releaseRow(seen.version, seen.record);
  }

  /** Time at which a lease that is not renewed any more may be taken over. */
  function getExpiryMs({ sinceMs, record }: Sighting): number {
    return sinceMs + (record?.leaseMs ?? leaseMs) + marginMs;
  }

  async function releaseRow(version: number, record: LeaseRecord): Promise<void> {
    await submitLease(
      [{ key: ownerKey, version }],
      [{ key: ownerKey, value: { ...record, holder: '', address, renewal: record.renewal + 1 } }],
    );
  }

  async function takeOver(seen: Sighting): Promise<void> {
    const epochRow = await table.getRow(epochKey);
    if (epochRow.isErr()) return;
    const lastValue = readEpoch(epochRow.value);
    if (lastValue.isErr()) return;
    const epoch = Math.max(seen.record?.epoch ?? 0, lastValue.value) + 1;
    const sentMs = deadlineClock.getNowMs();
    const reply = await submitLease(
      [
        { key: ownerKey, version: seen.version },
        { key: epochKey, version: epochRow.value?.version ?? 0 },
      ],
      [
        { key: ownerKey, value: encodeRecord(epoch, 0, leaseMs) },
        { key: epochKey, value: { epoch, holder } },
      ],
    );
    // After an unknown fate the row is watched like anybody else's: it may be this daemon's own.
    if (reply.status !== TransactionStatus.Committed) return;
    const epochVersion = reply.versions[epochKey];
    const rowVersion = reply.versions[ownerKey];
    // A takeover read back after the row was taken from this daemon again is void.
    if (epochVersion === undefined || rowVersion === undefined) return;
    const deadlineMs = sentMs + leaseMs - marginMs;
    hold = { epoch, epochVersion, rowVersion, renewal: 0, deadlineMs };
    pace.reset();
    lastEpoch = epoch;
    planDeadline();
    reportState();
  }

  function readEpoch(row: Row | undefined): Result<number, Fault> {
    if (row === undefined) return Ok(0);
    return isEpochValue(row.value) ? Ok(row.value.epoch) : refuseRow(row);
  }

  function readRecord(row: Row | undefined): Result<LeaseRecord | undefined, Fault> {
    if (row === undefined) return Ok(undefined);
    return isLeaseRecord(row.value) ? Ok(row.value) : refuseRow(row);
  }

  /** Nobody takes a lease over whose holder or epoch is not known: an epoch must never go back. */
  function refuseRow({ key, version }: Row): Result<never, Fault> {
    if (refusedVersion !== version) logger.error('lease_row_refused', { region, key, version });
    refusedVersion = version;
    return Err(createFault(FaultCode.StoreUnavailable, `row ${key} cannot be read`));
  }

  async function runStep(wasDueMs: number): Promise<void> {
    if (hold !== undefined) await renewHold(hold, wasDueMs);
    else await watchRow();
  }

  function tick(): void {
    reportState();
    if (step === undefined) startStep(dueMs);
    else isOverdue = true;
  }

  function startStep(wasDueMs: number): void {
    isOverdue = false;
    step = runContained(logger, 'lease', () => runStep(wasDueMs)).then(() => {
      step = undefined;
      // A renewal that took longer than the interval is followed by the next one at once.
      if (isOverdue && hold !== undefined && !isStopped) startStep(clock.getNowMs());
    });
  }

  function getTickDelayMs(): number {
    if (hold !== undefined) return pace.getTerms().renewMs;
    if (sighting === undefined) return renewMs;
    if (!isUnchanged) return options.getWatchMs?.() ?? renewMs;
    const leftMs = getExpiryMs(sighting) - clock.getNowMs();
    return leftMs > 0 ? Math.min(renewMs, Math.ceil(leftMs)) : renewMs;
  }

  function planTick(): void {
    const delayMs = getTickDelayMs();
    dueMs = clock.getNowMs() + delayMs;
    cancelTick = clock.setTimer(delayMs, () => {
      tick();
      planTick();
    });
  }

  async function releaseHold(current: Hold): Promise<void> {
    hold = undefined;
    reportState();
    const { epoch, renewal } = current;
    await releaseRow(current.rowVersion, { holder, address, epoch, renewal });
  }

  return {
    start() {
      isStopped = false;
      tick();
      planTick();
    },
    async stop() {
      isStopped = true;
      cancelTick?.();
      await step;
      cancelDeadline?.();
      if (hold !== undefined) await releaseHold(hold);
    },
    async resign() {
      await step;
      if (hold !== undefined) await releaseHold(hold);
    },
    isHolding: (epoch) => hold?.epoch === epoch && getState() === LeaseState.Holding,
    getState,
    getEpoch: () => lastEpoch,
    getEpochCondition: () =>
      hold === undefined ? undefined : { key: epochKey, version: hold.epochVersion },
    getOwner: () =>
      hold === undefined
        ? sighting?.record
        : { holder, address, epoch: hold.epoch, renewal: hold.renewal },
    getStoreSeenAgoMs: () => clock.getNowMs() - storeSeenMs,
    getDump: () => ({
      region,
      state: getState(),
      epoch: lastEpoch,
      deadlineMs: hold?.deadlineMs ?? 0,
      owner: hold === undefined ? sighting?.record : { ...encodeOwner(hold) },
      storeSeenAgoMs: clock.getNowMs() - storeSeenMs,
    }),
  };

  function encodeOwner(current: Hold): LeaseRecord {
    return { holder, address, epoch: current.epoch, renewal: current.renewal };
  }
}
