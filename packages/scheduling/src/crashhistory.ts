/** A worker that was lost, with what ran there. Times are monotonic, in milliseconds. */
export interface LostWorker {
  id: string;
  /** Machine of the worker; the next worker there has the same. */
  address: string;
  /** When the worker fell silent. */
  atMs: number;
  /** Jobs and queues with runs on the worker. */
  jobs: ReadonlySet<string>;
  queues: ReadonlySet<string>;
  /** A worker had been lost before under one of the runs, which has not outlived that. */
  hasUncleared: boolean;
  /** The worker itself ended, rather than its lease, and was not lost together with others. */
  isCrash: boolean;
  /** When the latest of the runs began; `-Infinity` if nothing ran there. */
  latestStartMs: number;
}

/** A job with runs on a lost worker. */
export interface LostJob {
  jobId: string;
  queue: string;
}

/** Recent losses of workers, from which the chance of one more is estimated. */
export interface CrashHistory {
  /** Records a worker that was lost. */
  record(lost: LostWorker): void;
  /** Drops the crashes under a job that has been found to cause them. */
  removeJob(jobId: string): void;
  /**
   * Probability that a worker crashes within `ranMs` for a reason other than `jobId`, from the recent
   * crashes in the fleet and of the same machine.
   */
  getChance(lost: LostWorker, jobId: string, ranMs: number, fleetSize: number): number;
  /** Workers lost within the last minute. */
  list(): readonly LostWorker[];
}

const windowMs = 60_000;
/** The rate is computed over at least this time, so that two crashes in a row do not count as a storm. */
const minObservedMs = 10_000;
const maxRecords = 512;
/** Rate assumed without any observation: one crash of a worker in 1,000 s. */
const baseRatePerMs = 1e-6;
/** Uncertainty of the time between a start and a crash. */
const clockSlackMs = 50;

/** Creates an empty history; it observes the fleet from `createdMs` on. */
export function createCrashHistory(createdMs: number): CrashHistory {
  let records: LostWorker[] = [];

  return {
    record(lost) {
      records = [...records, lost]
        .filter(({ atMs }) => lost.atMs - atMs <= windowMs)
        .slice(-maxRecords);
    },
    removeJob(jobId) {
      records = records.filter(({ jobs }) => !jobs.has(jobId));
    },
    getChance({ address, atMs }, jobId, ranMs, fleetSize) {
      const others = records.filter(
        (one) => one.isCrash && !one.jobs.has(jobId) && Math.abs(atMs - one.atMs) <= windowMs,
      );
      const observedMs = Math.min(windowMs, Math.max(minObservedMs, atMs - createdMs));
      const onMachine = others.filter((one) => one.address === address).length;
      const ratePerMs = Math.max(
        baseRatePerMs,
        others.length / (Math.max(1, fleetSize) * observedMs),
        onMachine / observedMs,
      );
      return Math.min(1, ratePerMs * (Math.max(0, ranMs) + clockSlackMs));
    },
    list: () => records,
  };
}

/** Workers count as lost together if they fell silent within this time of each other. */
const togetherMs = 1000;
/** Workers of one place may be seen to fall silent this much apart, by the calls in flight to them. */
const placeTogetherMs = 2000;
/** A start may have caused a loss within this time. */
const freshStartMs = 1000;
const minUnrelated = 2;
const minOthers = 3;

/**
 * Whether a start at `startedAtMs` may have caused a loss at `atMs`. The answer to a start may arrive
 * after the loss was seen.
 */
export function isFreshStart(startedAtMs: number, atMs: number): boolean {
  return atMs - startedAtMs <= freshStartMs;
}

/** Workers that fell silent together with a lost one and had no run of the job. */
export function listCompanions(
  lost: LostWorker,
  jobId: string,
  silent: readonly LostWorker[],
): LostWorker[] {
  return silent.filter(
    (one) =>
      one.id !== lost.id && Math.abs(one.atMs - lost.atMs) <= togetherMs && !one.jobs.has(jobId),
  );
}

/**
 * Whether a worker was lost together with others for a reason that its runs cannot be, such as a rack
 * without power or a cut link. Workers lost at the same time count if nothing on them can be the reason:
 * no recent start, and no task under which a worker was lost before. More of them are needed if they had
 * runs of the same queue, since several tasks of one queue may crash their workers at the same time.
 */
export function isSharedLoss(
  lost: LostWorker,
  { jobId, queue }: LostJob,
  silent: readonly LostWorker[],
): boolean {
  const unexplained = listCompanions(lost, jobId, silent).filter(
    ({ atMs, latestStartMs, hasUncleared }) => !hasUncleared && !isFreshStart(latestStartMs, atMs),
  );
  const unrelated = unexplained.filter(({ queues }) => !queues.has(queue)).length;
  return unrelated >= minUnrelated || unexplained.length >= minOthers;
}

/** Where a worker of the fleet is. */
export interface WorkerPlace {
  address: string;
  rack: string;
  dataCentre: string;
}

/** Whether a loss took all workers of one rack or one data centre, two at least, and no other worker. */
export function isPlaceLost(
  lost: LostWorker,
  silent: readonly LostWorker[],
  fleet: readonly WorkerPlace[],
): boolean {
  const together = silent.filter(({ atMs }) => Math.abs(atMs - lost.atMs) <= placeTogetherMs);
  const gone = new Set([lost, ...together].map(({ address }) => address));
  if (gone.size < 2) return false;
  const isWhole = (getName: (place: WorkerPlace) => string): boolean => {
    const names = new Set(fleet.filter(({ address }) => gone.has(address)).map(getName));
    const [name = ''] = names;
    if (names.size !== 1 || name === '') return false;
    return fleet.every((place) => getName(place) !== name || gone.has(place.address));
  };
  return isWhole(({ rack }) => rack) || isWhole(({ dataCentre }) => dataCentre);
}

/**
 * Probability that a common cause that takes `lost` of `total` workers at random hits only workers with a
 * task that may crash them, of which there are `marked`. It is 0 for losses of too few workers to have a
 * common cause.
 */
export function getCoincidence(lost: number, marked: number, total: number): number {
  if (lost <= minUnrelated) return 0;
  let chance = 1;
  for (let index = 0; index < lost && index < total; index += 1) {
    chance *= Math.max(0, marked - index) / (total - index);
  }
  return chance;
}
