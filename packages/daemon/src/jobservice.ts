import type { GangJobRecord, GangJobRow, GangJobStore } from '@bergamotreach/execution';
import { isEnded } from '@bergamotreach/ownership';
import type { JobSpec } from '@bergamotreach/placement';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Caller } from './auth.ts';
import { jobIdSeparator } from './jobsubmission.ts';
import type { SubmittedJob } from './jobsubmission.ts';

/** Job record as callers see it. */
export interface JobView extends Omit<GangJobRecord, 'digest' | 'payload'> {
  region: string;
  /** Hidden from callers, like the payload, which may be large. */
  digest: undefined;
  payload: undefined;
}

/** Accepts, reads and cancels jobs in all regions. */
export interface JobService {
  /**
   * Accepts a job durably. Faults: `never_fits`, `quota_exceeded`, `queue_full`, `not_found` (region
   * or account), `draining`, `duplicate_id`, `store_unavailable` (not accepted), `unknown_outcome`.
   */
  submitJob(job: SubmittedJob): Promise<Result<JobView, Fault>>;
  /** Reads a job; those of other accounts are `not_found`. Faults: also `store_unavailable`. */
  getJob(caller: Caller, name: string): Promise<Result<JobView, Fault>>;
  /** Lists the caller's jobs; an operator sees all. Faults: `store_unavailable`. */
  listJobs(caller: Caller): Promise<Result<JobView[], Fault>>;
  /** Requests cancellation. Faults: those of `getJob`, `conflict`, `unknown_outcome`. */
  cancelJob(caller: Caller, name: string): Promise<Result<JobView, Fault>>;
}

/** Options of a job service. */
export interface JobServiceOptions {
  ownRegion: string;
  /** Lists the regions in the configuration. */
  listRegions: () => string[];
  openStore: (region: string) => GangJobStore;
  /** Checks that the region can ever run the job. Faults: `never_fits`, `quota_exceeded`. */
  checkJob: (region: string, spec: JobSpec) => Result<void, Fault>;
  /**
   * Checks the account's queue length against its limit, by the region owner's last report.
   * Fault: `queue_full`.
   */
  checkQueue: (region: string, account: string) => Result<void, Fault>;
  /** Called after job rows of a region were added or changed. */
  onJobChange: (region: string, jobIds: string[]) => void;
}

interface FoundJob {
  region: string;
  row: GangJobRow;
}

function createJobView(region: string, record: GangJobRecord): JobView {
  const hidden = { digest: undefined, payload: undefined };
  return { region, ...record, ...hidden };
}

function createNotFoundFault(name: string): Fault {
  return createFault(FaultCode.NotFound, `job "${name}" does not exist`, { path: ['jobId'] });
}

/** Resolves a job name to the id of its row; callers can omit their own account. */
export function resolveJobId(caller: Caller, name: string): string {
  if (name.includes(jobIdSeparator)) return name;
  return `${caller.account}${jobIdSeparator}${name}`;
}

function canSee(caller: Caller, jobId: string): boolean {
  return caller.isOperator || jobId.startsWith(`${caller.account}${jobIdSeparator}`);
}

/** Creates the job service of a daemon. */
export function createJobService(options: JobServiceOptions): JobService {
  const stores = new Map<string, GangJobStore>();

  function getStore(region: string): GangJobStore {
    const known = stores.get(region);
    if (known !== undefined) return known;
    const created = options.openStore(region);
    stores.set(region, created);
    return created;
  }

  /** Lists regions, own region first: most jobs of this daemon's callers are there. */
  function listRegions(): string[] {
    const others = options.listRegions().filter((region) => region !== options.ownRegion);
    return [options.ownRegion, ...others];
  }

  async function submitJob(job: SubmittedJob): Promise<Result<JobView, Fault>> {
    if (!listRegions().includes(job.region)) {
      const message = `region "${job.region}" does not exist`;
      return Err(createFault(FaultCode.NotFound, message, { path: ['region'] }));
    }
    const jobCheck = options.checkJob(job.region, job.spec);
    if (jobCheck.isErr()) return jobCheck;
    const queueCheck = options.checkQueue(job.region, job.spec.account);
    if (queueCheck.isErr()) return queueCheck;
    const { spec, payload, digest } = job;
    const submission = { jobId: spec.jobId, account: spec.account, spec, payload, digest };
    const inserted = await getStore(job.region).insertJob(submission);
    if (inserted.isErr()) return inserted;
    options.onJobChange(job.region, [spec.jobId]);
    return Ok(createJobView(job.region, inserted.value.row.record));
  }

  async function findJob(caller: Caller, name: string): Promise<Result<FoundJob, Fault>> {
    const jobId = resolveJobId(caller, name);
    if (!canSee(caller, jobId)) return Err(createNotFoundFault(name));
    for (const region of listRegions()) {
      const row = await getStore(region).getJob(jobId);
      if (row.isOk()) return Ok({ region, row: row.value });
      if (row.error.code !== FaultCode.NotFound) return row;
    }
    return Err(createNotFoundFault(name));
  }

  async function getJob(caller: Caller, name: string): Promise<Result<JobView, Fault>> {
    const found = await findJob(caller, name);
    return found.map(({ region, row }) => createJobView(region, row.record));
  }

  async function listJobs(caller: Caller): Promise<Result<JobView[], Fault>> {
    const jobs: JobView[] = [];
    for (const region of listRegions()) {
      const listed = await getStore(region).listAll((row) => {
        if (canSee(caller, row.record.jobId)) jobs.push(createJobView(region, row.record));
      });
      if (listed.isErr()) return listed;
    }
    return Ok(jobs);
  }

  async function cancelJob(caller: Caller, name: string): Promise<Result<JobView, Fault>> {
    const found = await findJob(caller, name);
    if (found.isErr()) return found;
    const { region, row } = found.value;
    if (isEnded(row.record.state)) return Ok(createJobView(region, row.record));
    const cancelled = await getStore(region).cancelJob(row.record.jobId);
    if (cancelled.isErr()) return cancelled;
    options.onJobChange(region, [row.record.jobId]);
    return Ok(createJobView(region, cancelled.value.record));
  }

  return { submitJob, getJob, listJobs, cancelJob };
}
