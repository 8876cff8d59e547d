import type { JobSubmission, Resources, StepSpec } from '@bergamotreach/scheduling';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';

/** A distribution with a mean, a relative spread (log-normal) and an upper bound. */
export interface Distribution {
  mean: number;
  spread: number;
  max: number;
}

/** Jobs of one queue. */
export interface QueueShape {
  queue: string;
  priority: number;
  jobsPerSecond: number;
  tasks: Distribution;
  taskMs: Distribution;
  /** Resources of a task besides its accelerators. */
  cpuMillis: number;
  memoryMb: number;
  /** Accelerators of a task; one is drawn for each job. */
  accelerators: readonly number[];
  isGang: boolean;
  /** Part of the jobs that must stay in one rack to run at full speed. */
  rackBoundShare: number;
  /** Part of the jobs that save their progress. */
  checkpointShare: number;
  stretch: number;
  targetMs: number;
}

/** More jobs of one queue for a while. */
export interface Burst {
  queue: string;
  fromMs: number;
  forMs: number;
  factor: number;
}

/** Everything that a load is drawn from. */
export interface LoadShape {
  queues: readonly QueueShape[];
  /** Accounts with their weight in the load. */
  accounts: readonly (readonly [name: string, weight: number])[];
  /** New jobs come for this long. */
  lengthMs: number;
  bursts: readonly Burst[];
  /** Declared run times are off by up to this factor, either way. */
  estimateFactor: number;
}

/** A job of a drawn load. */
export interface DrawnJob {
  submission: JobSubmission;
  arrivesAtMs: number;
  /** True run time of each task on a sound worker at full speed, in milliseconds. */
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

function createStep(random: Random, shape: QueueShape, estimatedMs: number): StepSpec {
  const demand: Resources = {
    cpuMillis: shape.cpuMillis,
    memoryMb: shape.memoryMb,
    accelerators: shape.accelerators[random.getIndex(shape.accelerators.length)] ?? 1,
  };
  return {
    taskCount: Math.max(1, Math.round(getSample(random, shape.tasks))),
    demand,
    estimatedMs,
    dependsOn: [],
    isGang: shape.isGang,
    isRackBound: random.getUniform() < shape.rackBoundShare,
    requiredLabel: '',
    preferredRack: '',
    maxPerWorker: 0,
    isCheckpointing: random.getUniform() < shape.checkpointShare,
    isLongRunning: false,
    image: shape.queue,
  };
}

/** Draws the jobs of one load; the same seed gives the same jobs. */
export function createLoad(shape: LoadShape, seed: number): DrawnJob[] {
  const random = createRandom(seed);
  const jobs: DrawnJob[] = [];

  function createJob(queue: QueueShape, arrivesAtMs: number): DrawnJob {
    const meanMs = getSample(random, queue.taskMs);
    const off = random.getLogUniform(1 / shape.estimateFactor, shape.estimateFactor);
    const step = createStep(random, queue, Math.round(meanMs * off));
    const { priority, stretch, targetMs } = queue;
    const submission: JobSubmission = {
      id: '',
      account: random.choose(shape.accounts),
      queue: queue.queue,
      pool,
      rules: { priority, maxAttempts, stretch, targetMs },
      payload: '',
      steps: [step],
    };
    // The members of a gang end together.
    const taskMs = Array.from({ length: step.taskCount }, () =>
      queue.isGang ? meanMs : meanMs * random.getLogUniform(0.85, 1.15),
    );
    return { submission, arrivesAtMs, taskMs };
  }

  for (const queue of shape.queues) {
    const ownBursts = shape.bursts.filter((burst) => burst.queue === queue.queue);
    const peak = Math.max(1, ...ownBursts.map(({ factor }) => factor));
    const meanGapMs = 1000 / (queue.jobsPerSecond * peak);
    let atMs = random.getExponential(meanGapMs);
    while (atMs < shape.lengthMs) {
      const active = ownBursts.find(({ fromMs, forMs }) => atMs >= fromMs && atMs < fromMs + forMs);
      const isKept = random.getUniform() < (active?.factor ?? 1) / peak;
      if (isKept) jobs.push(createJob(queue, atMs));
      atMs += random.getExponential(meanGapMs);
    }
  }
  jobs.sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
  for (const [index, { submission }] of jobs.entries()) submission.id = `j${index}`;
  return jobs;
}
