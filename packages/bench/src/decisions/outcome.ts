import { getCoreEquivalent } from '@bergamotreach/scheduling';
import type { Outcome } from './world.ts';

/** What the callers of one queue got. */
export interface QueueSummary {
  queue: string;
  jobs: number;
  /** Part of the jobs that were done within their objective. */
  inTime: number;
  /** Part that was done later, within three objectives. */
  late: number;
  waitP50Ms: number;
  waitP95Ms: number;
  waitMostMs: number;
  stops: number;
}

/** What all callers of a load got. */
export interface Summary {
  queues: QueueSummary[];
  /** Mean over the queues of the part done in time, with a quarter for those that were late. */
  service: number;
  /** Part of the jobs of the worst-served account that were done in time. */
  worstAccount: number;
  /** Largest number of younger jobs of its queue and size, or larger, that began before a job did. */
  mostOvertaken: number;
  /** Lost work against all work. */
  lostShare: number;
}

const lateObjectives = 3;
const lateCredit = 0.25;
const msPerSecond = 1000;

function getObjectiveMs({ job }: Outcome): number {
  const { stretch, targetMs } = job.submission.rules;
  return stretch * Math.max(...job.taskMs) + targetMs;
}

function getTakenMs({ job, endedMs, isCompleted }: Outcome): number {
  return isCompleted && endedMs !== undefined ? endedMs - job.arrivesAtMs : Infinity;
}

/** Credit of a job: 1 in time, less when late, nothing otherwise. */
export function getCredit(outcome: Outcome): number {
  const takenMs = getTakenMs(outcome);
  const objectiveMs = getObjectiveMs(outcome);
  if (takenMs <= objectiveMs) return 1;
  return takenMs <= lateObjectives * objectiveMs ? lateCredit : 0;
}

function getWaitMs({ job, firstStartMs }: Outcome): number {
  return firstStartMs === undefined ? Infinity : firstStartMs - job.arrivesAtMs;
}

function getQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function getMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

function groupBy(
  outcomes: readonly Outcome[],
  getKey: (outcome: Outcome) => string,
): Map<string, Outcome[]> {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const key = getKey(outcome);
    groups.set(key, [...(groups.get(key) ?? []), outcome]);
  }
  return groups;
}

/** Accelerators that all tasks of a job take together. */
function getWidth({ job }: Outcome): number {
  const [step] = job.submission.steps;
  return (step?.taskCount ?? 0) * (step?.demand.accelerators ?? 0);
}

/** Younger jobs of the same queue and account, at least as wide, that began before a job did. */
export function countOvertakings(outcome: Outcome, all: readonly Outcome[]): number {
  const beganMs = outcome.firstStartMs ?? Infinity;
  return all.filter(
    (other) =>
      other.job.submission.queue === outcome.job.submission.queue &&
      other.job.submission.account === outcome.job.submission.account &&
      other.job.arrivesAtMs > outcome.job.arrivesAtMs &&
      getWidth(other) >= getWidth(outcome) &&
      (other.firstStartMs ?? Infinity) < beganMs,
  ).length;
}

function measureQueue(queue: string, outcomes: readonly Outcome[]): QueueSummary {
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

/** Sums up what the callers of a load got. */
export function measureOutcomes(outcomes: readonly Outcome[]): Summary {
  const queues = [...groupBy(outcomes, ({ job }) => job.submission.queue)]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([queue, own]) => measureQueue(queue, own));
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
