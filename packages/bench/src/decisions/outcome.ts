import { getCoreEquivalent } from '@bergamotreach/scheduling';
import type { JobOutcome } from './simulation.ts';

/** Service that the jobs of one queue received. */
export interface QueueSummary {
  queue: string;
  jobs: number;
  /** Share of the jobs that completed within their objective. */
  inTime: number;
  /** Share that completed later, but within three times their objective. */
  late: number;
  waitP50Ms: number;
  waitP95Ms: number;
  waitMostMs: number;
  stops: number;
}

/** Service that all jobs of a load received. */
export interface Summary {
  queues: QueueSummary[];
  /** Mean credit of the queues: 1 for a job in time, a quarter for a late one. */
  service: number;
  /** Mean credit of the jobs of the account with the lowest mean. */
  worstAccount: number;
  /**
   * Largest number of younger jobs, as counted by `countOvertakings`, that started before one job.
   */
  mostOvertaken: number;
  /** Lost work as a share of all work. */
  lostShare: number;
}

const lateFactor = 3;
const lateCredit = 0.25;
const msPerSecond = 1000;

function getObjectiveMs({ job }: JobOutcome): number {
  const { stretch, targetMs } = job.submission.rules;
  return stretch * Math.max(...job.taskMs) + targetMs;
}

function getTurnaroundMs({ job, endedMs, isCompleted }: JobOutcome): number {
  return isCompleted && endedMs !== undefined ? endedMs - job.arrivalMs : Infinity;
}

/** Credit of a job: 1 in time, a quarter when late, 0 otherwise. */
export function getCredit(outcome: JobOutcome): number {
  const turnaroundMs = getTurnaroundMs(outcome);
  const objectiveMs = getObjectiveMs(outcome);
  if (turnaroundMs <= objectiveMs) return 1;
  return turnaroundMs <= lateFactor * objectiveMs ? lateCredit : 0;
}

function getWaitMs({ job, firstStartMs }: JobOutcome): number {
  return firstStartMs === undefined ? Infinity : firstStartMs - job.arrivalMs;
}

function getQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function getMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function groupBy(
  outcomes: readonly JobOutcome[],
  getKey: (outcome: JobOutcome) => string,
): Map<string, JobOutcome[]> {
  const groups = new Map<string, JobOutcome[]>();
  for (const outcome of outcomes) {
    const key = getKey(outcome);
    groups.set(key, [...(groups.get(key) ?? []), outcome]);
  }
  return groups;
}

/** Total accelerators of a job. */
function getWidth({ job }: JobOutcome): number {
  const [step] = job.submission.steps;
  return (step?.taskCount ?? 0) * (step?.demand.accelerators ?? 0);
}

/** Counts younger jobs of the same queue and account, at least as wide, that started earlier. */
export function countOvertakings(outcome: JobOutcome, all: readonly JobOutcome[]): number {
  const beganMs = outcome.firstStartMs ?? Infinity;
  return all.filter(
    (other) =>
      other.job.submission.queue === outcome.job.submission.queue &&
      other.job.submission.account === outcome.job.submission.account &&
      other.job.arrivalMs > outcome.job.arrivalMs &&
      getWidth(other) >= getWidth(outcome) &&
      (other.firstStartMs ?? Infinity) < beganMs,
  ).length;
}

function computeQueueSummary(queue: string, outcomes: readonly JobOutcome[]): QueueSummary {
  const waits = outcomes.map(getWaitMs).sort((a, b) => a - b);
  const credits = outcomes.map(getCredit);
  return {
    queue,
    jobs: outcomes.length,
    inTime: credits.filter((credit) => credit === 1).length / outcomes.length,
    late: credits.filter((credit) => credit === lateCredit).length / outcomes.length,
    waitP50Ms: getQuantile(waits, 0.5),
    waitP95Ms: getQuantile(waits, 0.95),
    waitMostMs: waits.at(-1) ?? 0,
    stops: outcomes.reduce((sum, { stops }) => sum + stops, 0),
  };
}

/** Summarises the outcomes of a load. */
export function computeSummary(outcomes: readonly JobOutcome[]): Summary {
  const queues = [...groupBy(outcomes, ({ job }) => job.submission.queue)]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([queue, group]) => computeQueueSummary(queue, group));
  const accounts = [...groupBy(outcomes, ({ job }) => job.submission.account).values()];
  const work = outcomes.reduce((sum, { job }) => {
    const cores = getCoreEquivalent(job.submission.steps[0]?.demand ?? noDemand);
    return sum + (cores * job.taskMs.reduce((total, ms) => total + ms, 0)) / msPerSecond;
  }, 0);
  return {
    queues,
    service: getMean(queues.map(({ inTime, late }) => inTime + late * lateCredit)),
    worstAccount: Math.min(1, ...accounts.map((own) => getMean(own.map(getCredit)))),
    mostOvertaken: Math.max(0, ...outcomes.map((one) => countOvertakings(one, outcomes))),
    lostShare: outcomes.reduce((sum, { lostWork }) => sum + lostWork, 0) / Math.max(1, work),
  };
}

const noDemand = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
