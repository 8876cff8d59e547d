import type { JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/**
 * Number of accelerators that one member occupies on a worker. Each accelerator comes with an equal
 * share of the cores and memory kept for tasks with accelerators, so a member that needs more of these
 * occupies further accelerators. Otherwise it could use up the cores of accelerators that are
 * guaranteed to another account. `undefined` if the member does not fit on such a worker.
 */
export function computeFootprint(
  job: JobSpec,
  worker: WorkerSpec,
  acceleratorShare: number,
): number | undefined {
  if (worker.accelerators < job.accelerators) return undefined;
  if (job.cores === 0 && job.memoryMb === 0) return job.accelerators;
  const cores = worker.cores * acceleratorShare;
  const memoryMb = worker.memoryMb * acceleratorShare;
  if (job.cores > cores || job.memoryMb > memoryMb) return undefined;
  const byCores = job.cores === 0 ? 0 : roundUp((job.cores * worker.accelerators) / cores);
  const byMemory =
    job.memoryMb === 0 ? 0 : roundUp((job.memoryMb * worker.accelerators) / memoryMb);
  return Math.max(job.accelerators, byCores, byMemory);
}

// Shares such as 0.9 are not exact in binary; without the margin a member could need one accelerator more.
function roundUp(value: number): number {
  return Math.ceil(value - 1e-9);
}

/** Cores and memory of a worker that tasks without accelerators may use in total. */
export function computeCpuOnlyCapacity(
  worker: WorkerSpec,
  config: PlacementConfig,
): { cores: number; memoryMb: number } {
  const share = worker.accelerators > 0 ? 1 - config.acceleratorShare : 1;
  return { cores: worker.cores * share, memoryMb: worker.memoryMb * share };
}

/** Key of the resource shape of a job; jobs with the same key fit in the same places. */
export function getShapeKey(job: JobSpec): string {
  return [job.members, job.accelerators, job.cores, job.memoryMb, job.within, job.dataCentre].join(
    '/',
  );
}
