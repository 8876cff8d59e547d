import type { Task } from './group.ts';

/** Progress of a run as its worker reports it. */
export interface RunProgress {
  /** Number of the run that the progress belongs to. */
  run: number;
  /** Share of the task's work that is done, 0 to 1. */
  share: number;
  /** Monotonic time of the latest report, in milliseconds. */
  atMs: number;
  /** Beginning of the period over which the rate is measured. */
  fromShare: number;
  fromMs: number;
}

/** Shortest period over which a rate is measured. */
const minPeriodMs = 900;
/** Usual length of that period, so that a run that slows down is noticed within seconds. */
const usualPeriodMs = 2500;
/** Least share by which a rate is measured, since workers report whole percents. */
const minShare = 0.02;
/** A run that has done less than that share for this long stands still, or takes many minutes. */
const standstillMs = 10_000;

/** Records that the current run of a task has done `share` of the task's work. */
export function recordProgress(task: Task, share: number, nowMs: number): void {
  const known = task.progress;
  if (known?.run !== task.run || share < known.share) {
    task.progress = {
      run: task.run,
      share,
      atMs: nowMs,
      fromShare: share,
      fromMs: nowMs,
    };
    return;
  }
  const isMeasured = known.share - known.fromShare >= minShare;
  if (isMeasured && nowMs - known.fromMs >= usualPeriodMs) {
    known.fromShare = known.share;
    known.fromMs = known.atMs;
  }
  known.share = share;
  known.atMs = nowMs;
}

/** Latest rate of the current run, as a share per millisecond; `undefined` before it can be measured. */
export function findRate(task: Task): number | undefined {
  const { progress, run, startedAtMs, checkpoint } = task;
  if (progress?.run !== run) return undefined;
  const periodMs = progress.atMs - progress.fromMs;
  const share = progress.share - progress.fromShare;
  const isMeasured = share >= minShare ? periodMs >= minPeriodMs : periodMs >= standstillMs;
  if (isMeasured) return share / periodMs;
  // Without a checkpoint the run began at nothing, so its first report tells its rate.
  const ranMs = progress.atMs - startedAtMs;
  const isFromStart = checkpoint === '' && startedAtMs > 0 && ranMs >= minPeriodMs / 2;
  return isFromStart && progress.share >= minShare ? progress.share / ranMs : undefined;
}

/**
 * Time until the current run ends at its latest rate, in milliseconds; infinite if it stands still,
 * `undefined` while the rate is unknown.
 */
export function findRemainingMs(task: Task, nowMs: number): number | undefined {
  const rate = findRate(task);
  const { progress } = task;
  if (rate === undefined || progress === undefined) return undefined;
  if (progress.share >= 1) return 0;
  if (rate <= 0) return Infinity;
  return Math.max(0, (1 - progress.share) / rate - (nowMs - progress.atMs));
}
