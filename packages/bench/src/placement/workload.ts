import type { JobSpec } from '@bergamotreach/placement';
import type { JobKind, RegionSetup } from './deployment.ts';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';

/** A job with its actual run time and checkpoint time, which policies cannot see. */
export interface BenchJob {
  spec: JobSpec;
  arrivalMs: number;
  /** Run time without interruption. */
  workMs: number;
  /**
   * Time to write a checkpoint; if the grace period is shorter, work since the last one is lost.
   */
  checkpointMs: number;
}

// Declared run times are wrong by up to this factor in either direction.
const maxDeclaredFactor = 10;

function createBenchJob(
  setup: RegionSetup,
  random: Random,
  kind: JobKind,
  index: number,
  arrivalMs: number,
): BenchJob {
  const seconds = random.getPareto(...kind.runtime);
  const spec: JobSpec = {
    jobId: `j${index}`,
    account: random.choose(setup.accountShares),
    members: kind.members,
    accelerators: kind.accelerators,
    cores: kind.accelerators,
    memoryMb: 1000 * kind.accelerators,
    within: kind.within,
    urgent: random.getUniform() < 0.05,
    declaredSeconds: seconds * random.getLogUniform(1 / maxDeclaredFactor, maxDeclaredFactor),
    dataCentre: '',
  };
  const checkpointMs = random.getLogUniform(1000, 60_000);
  return { spec, arrivalMs, workMs: seconds * 1000, checkpointMs };
}

function getWidth({ spec }: BenchJob): number {
  return spec.members * spec.accelerators;
}

/** Generates jobs and arrival times for the offered load; bursts start at random times. */
export function createWorkload(setup: RegionSetup, seed: number): BenchJob[] {
  const random = createRandom(seed);
  const kinds = setup.jobKinds.map((kind) => [kind, kind.weight] as const);
  const bursts = setup.bursts.flatMap((burst) => Array.from({ length: burst.count }, () => burst));
  const jobs: BenchJob[] = [];
  for (let index = 0; index < setup.jobs; index += 1) {
    jobs.push(createBenchJob(setup, random, random.choose(kinds), jobs.length, 0));
  }
  const burstJobs = bursts.map((burst) =>
    Array.from({ length: burst.jobs }, (_, index) =>
      createBenchJob(setup, random, burst.kind, setup.jobs + index, 0),
    ),
  );
  const all = [...jobs, ...burstJobs.flat()];
  const work = all.reduce((sum, job) => sum + job.workMs * getWidth(job), 0);
  const capacity = setup.workers.reduce((sum, worker) => sum + worker.accelerators, 0);
  const spanMs = work / capacity / setup.load;
  for (const job of jobs) job.arrivalMs = Math.floor(random.getUniform() * spanMs);
  for (const group of burstJobs) {
    const startMs = Math.floor(random.getUniform() * spanMs);
    for (const job of group) job.arrivalMs = startMs + Math.floor(random.getUniform() * 60_000);
  }
  all.sort((a, b) => a.arrivalMs - b.arrivalMs);
  return all.map((job, index) => ({ ...job, spec: { ...job.spec, jobId: `j${index}` } }));
}
