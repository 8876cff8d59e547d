import { isEnded } from '@bergamotreach/ownership';
import { FaultCode } from '@bergamotreach/protocol';
import type { CancelTimer } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import type { JobBook } from './jobs.ts';
import { createLimiter } from './limiter.ts';
import type { GangJobRow } from './options.ts';

/** More woken jobs than this are read by one scan instead of one by one. */
const maxSingleReads = 100;
const maxReadsAtOnce = 8;
/** Rows of ended jobs deleted per scan. */
const maxRemovals = 200;

/** Reads job rows: those named by wakes, and all of them from time to time. */
export interface Scanner {
  start(): void;
  stop(): void;
  addWakes(jobIds: readonly string[]): void;
  /** Reads all rows as soon as possible. */
  scanSoon(): void;
}

/** Creates the scanner of one ownership period. */
export function createScanner(context: OwnerContext, jobs: JobBook): Scanner {
  const { clock, settings, jobStore } = context;
  const woken = new Set<string>();
  const reads = createLimiter(maxReadsAtOnce);
  let isStarted = false;
  let isScanning = false;
  let cancelTimer: CancelTimer | undefined;

  async function readWoken(): Promise<void> {
    const jobIds = [...woken];
    woken.clear();
    if (jobIds.length > maxSingleReads) {
      await scan();
      return;
    }
    await Promise.all(jobIds.map((jobId) => reads.run(() => readJob(jobId))));
  }

  async function readJob(jobId: string): Promise<void> {
    const result = await jobStore.getJob(jobId);
    if (!context.isOpen()) return;
    if (result.isOk()) jobs.addRow(result.value);
    else if (result.error.code !== FaultCode.NotFound) planScan(settings.retryMs);
  }

  async function scan(): Promise<void> {
    if (isScanning || !context.canAct()) return;
    isScanning = true;
    jobs.startScan();
    const expired: GangJobRow[] = [];
    await jobStore.listAll((row) => {
      if (!context.isOpen()) return;
      jobs.addRow(row);
      if (isExpired(row) && expired.length < maxRemovals) expired.push(row);
    });
    await Promise.all(expired.map(removeRow));
    isScanning = false;
  }

  function isExpired({ record }: GangJobRow): boolean {
    return isEnded(record.state) && jobs.getWallAgeMs(record.endedAtMs) > settings.retainMs;
  }

  async function removeRow(row: GangJobRow): Promise<void> {
    const condition = context.getEpochCondition();
    if (condition !== undefined) await jobStore.removeJob(row, condition);
  }

  function planScan(delayMs: number): void {
    cancelTimer?.();
    cancelTimer = clock.setTimer(delayMs, () => {
      void scan();
      planScan(settings.rescanMs);
    });
  }

  return {
    start() {
      isStarted = true;
      planScan(settings.rescanMs);
      if (woken.size > 0) void readWoken();
    },
    stop() {
      isStarted = false;
      cancelTimer?.();
    },
    addWakes(jobIds) {
      const wasEmpty = woken.size === 0;
      for (const jobId of jobIds) woken.add(jobId);
      // Wakes of the same moment are read together.
      if (isStarted && wasEmpty) clock.setTimer(0, () => void readWoken());
    },
    scanSoon() {
      if (isStarted) planScan(0);
    },
  };
}
