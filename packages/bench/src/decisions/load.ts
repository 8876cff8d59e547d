import type { JobSubmission, Resources, StepSpec } from '@bergamotreach/scheduling';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';

/**
 * A log-normal distribution; `spread` is the standard deviation relative to the mean, `max` a cap.
 */
export interface Distribution {
  mean: number;
  spread: number;
  max: number;
}

/** Arrivals and properties of the jobs of one queue. */
export interface QueueProfile {
  queue: string;
  priority: number;
  jobsPerSecond: number;
  tasks: Distribution;
  taskMs: Distribution;
  /** Resources of a task besides its accelerators. */
  cpuMillis: number;
  memoryMb: number;
  /** Possible numbers of accelerators per task; one is chosen at random for each job. */
  accelerators: readonly number[];
  isGang: boolean;
  /** Share of the jobs that run at full speed only within one rack. */
  rackBoundShare: number;
  /** Share of the jobs that write checkpoints. */
  checkpointShare: number;
  stretch: number;
  targetMs: number;
}

/** A period in which the jobs of one queue arrive `factor` times as often. */
export interface Burst {
  queue: string;
  fromMs: number;
  durationMs: number;
  factor: number;
}

/** Parameters from which a random load is generated. */
export interface LoadProfile {
  queues: readonly QueueProfile[];
  /** Accounts with their relative share of the jobs. */
  accounts: readonly (readonly [name: string, weight: number])[];
  /** Time during which jobs arrive. */
  durationMs: number;
  bursts: readonly Burst[];
  /** Declared run times are wrong by up to this factor in either direction. */
  estimateFactor: number;
  /** Share of the jobs that take `factor` times as long as the others of their queue. */
  tail?: { share: number; factor: number };
}

/** A job of a random load. */
export interface GeneratedJob {
  submission: JobSubmission;
  arrivalMs: number;
  /** Actual run time of each task on a healthy worker at full speed, in milliseconds. */
  taskMs: readonly number[];
}

const pool = 'p1';
const maxAttempts = 4;

function getNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.getUniform()));
  return radius * Math.cos(2 * Math.PI * random.getUniform());
}

function getSample(random: Random, { mean, spread, max }: Distribution): number {
  const variance = Math.log(1 + spread * spread);
  const value = mean * Math.exp(getNormal(random) * Math.sqrt(variance) - variance / 2);
  return Math.min(max, value);
}

function createStep(random: Random, profile: QueueProfile, estimatedMs: number): StepSpec {
  const demand: Resources = {
    cpuMillis: profile.cpuMillis,
    memoryMb: profile.memoryMb,
    accelerators: profile.accelerators[random.getIndex(profile.accelerators.length)] ?? 1,
  };
  return {
    taskCount: Math.max(1, Math.round(getSample(random, profile.tasks))),
    demand,
    estimatedMs,
    dependsOn: [],
    isGang: profile.isGang,
    isRackBound: random.getUniform() < profile.rackBoundShare,
    requiredLabel: '',
    preferredRack: '',
    maxPerWorker: 0,
    isCheckpointing: random.getUniform() < profile.checkpointShare,
    isLongRunning: false,
    image: profile.queue,
  };
}

/** Generates the jobs of one load, by arrival time; the same seed gives the same jobs. */
export function createLoad(profile: LoadProfile, seed: number): GeneratedJob[] {
  const random = createRandom(seed);
  const jobs: GeneratedJob[] = [];

  function createJob(queue: QueueProfile, arrivalMs: number): GeneratedJob {
    const { tail } = profile;
    const isTail = tail !== undefined && random.getUniform() < tail.share;
    const meanMs = getSample(random, queue.taskMs) * (isTail ? tail.factor : 1);
    const estimateError = random.getLogUniform(1 / profile.estimateFactor, profile.estimateFactor);
    const step = createStep(random, queue, Math.round(meanMs * estimateError));
    const { priority, stretch, targetMs } = queue;
    const submission: JobSubmission = {
      id: '',
      account: random.choose(profile.accounts),
      queue: queue.queue,
      pool,
      rules: { priority, maxAttempts, stretch, targetMs },
      payload: '',
      steps: [step],
    };
    // The members of a gang finish together.
    const taskMs = Array.from({ length: step.taskCount }, () =>
      queue.isGang ? meanMs : meanMs * random.getLogUniform(0.85, 1.15),
    );
    return { submission, arrivalMs, taskMs };
  }

  for (const queue of profile.queues) {
    const queueBursts = profile.bursts.filter((burst) => burst.queue === queue.queue);
    const peak = Math.max(1, ...queueBursts.map(({ factor }) => factor));
    const meanIntervalMs = 1000 / (queue.jobsPerSecond * peak);
    let atMs = random.getExponential(meanIntervalMs);
    while (atMs < profile.durationMs) {
      const activeBurst = queueBursts.find(
        ({ fromMs, durationMs }) => atMs >= fromMs && atMs < fromMs + durationMs,
      );
      // Arrivals are generated at the peak rate and thinned to the current one.
      const isAccepted = random.getUniform() < (activeBurst?.factor ?? 1) / peak;
      if (isAccepted) jobs.push(createJob(queue, atMs));
      atMs += random.getExponential(meanIntervalMs);
    }
  }
  jobs.sort((a, b) => a.arrivalMs - b.arrivalMs);
  for (const [index, { submission }] of jobs.entries()) submission.id = `j${index}`;
  return jobs;
}
