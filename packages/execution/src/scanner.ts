import { isEnded } from '@bergamotreach/ownership';
import { FaultCode } from '@bergamotreach/protocol';
import type { CancelTimer } from '@bergamotreach/protocol';
import type { OwnerContext } from './context.ts';
import type { JobRegistry } from './jobs.ts';
import { createLimiter } from './limiter.ts';
import type { GangJobRow } from './options.ts';

/** If more jobs changed than this, one scan reads all rows instead of each job's row. */
const maxSingleReads = 100;
const maxConcurrentReads = 8;
/** Rows of ended jobs deleted per scan. */
const maxRemovals = 200;

/** Reads job rows: those reported as changed, and all of them at intervals. */
export interface Scanner {
  start(): void;
  stop(): void;
  /** Schedules reading the rows of these jobs. */
  addChangedJobs(jobIds: readonly string[]): void;
  /** Reads all rows as soon as possible. */
  scanSoon(): void;
}

/** Creates the scanner of one owner session. */
export function createScanner(context: OwnerContext, jobs: JobRegistry): Scanner {
  const { clock, settings, jobStore } = context;
  const changedJobs = new Set<string>();
  const readCalls = createLimiter(maxConcurrentReads);
  let isStarted = false;
  let isScanning = false;
  let cancelTimer: CancelTimer | undefined;

  async function readChangedJobs(): Promise<void> {
    const jobIds = [...changedJobs];
    changedJobs.clear();
    if (jobIds.length > maxSingleReads) {
      await scan();
      return;
    }
    await Promise.all(jobIds.map((jobId) => readCalls.run(() => readJob(jobId))));
  }

  async function readJob(jobId: string): Promise<void> {
    const result = await jobStore.getJob(jobId);
    if (!context.isOpen()) return;
    if (result.isOk()) jobs.applyRow(result.value);
    else if (result.error.code !== FaultCode.NotFound) scheduleScan(settings.retryMs);
  }

  async function scan(): Promise<void> {
    if (isScanning || !context.hasLease()) return;
    isScanning = true;
    jobs.startScan();
    const expired: GangJobRow[] = [];
    await jobStore.listAll((row) => {
      if (!context.isOpen()) return;
      jobs.applyRow(row);
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

  function scheduleScan(delayMs: number): void {
    cancelTimer?.();
    cancelTimer = clock.setTimer(delayMs, () => {
      void scan();
      scheduleScan(settings.rescanMs);
    });
  }

  return {
    start() {
      isStarted = true;
      scheduleScan(settings.rescanMs);
      if (changedJobs.size > 0) void readChangedJobs();
    },
    stop() {
      isStarted = false;
      cancelTimer?.();
    },
    addChangedJobs(jobIds) {
      const wasEmpty = changedJobs.size === 0;
      for (const jobId of jobIds) changedJobs.add(jobId);
      // Delayed by a timer, so that jobs reported at the same moment are read together.
      if (isStarted && wasEmpty) clock.setTimer(0, () => void readChangedJobs());
    },
    scanSoon() {
      if (isStarted) scheduleScan(0);
    },
  };
}
