import type { LogEvent } from './logevents.ts';

/** History of a job, reconstructed from logs. Times are Unix milliseconds. */
export interface JobHistory {
  id: string;
  queue: string;
  account: string;
  priority: number;
  acceptedAtMs: number;
  startedAtMs: number | undefined;
  endedAtMs: number | undefined;
  state: string;
  starts: number;
  /** Number of stops by cause, such as `preempted`. */
  stops: ReadonlyMap<string, number>;
  /** Work lost when runs ended early, in core-seconds. */
  lostCoreSeconds: number;
  /** Last logged reason for waiting; empty when none was logged. */
  waitReason: string;
}

/** Waiting times of the jobs of one queue and account, in milliseconds. */
export interface WaitSummary {
  queue: string;
  account: string;
  jobs: number;
  neverStarted: number;
  p50Ms: number;
  p95Ms: number;
  mostMs: number;
  /** Maximum, over these jobs, of the number of later jobs that started first. */
  mostOvertaken: number;
}

/** Summary of the logs. */
export interface LogReport {
  waits: WaitSummary[];
  lost: { cause: string; stops: number; coreSeconds: number }[];
  /** Total time between owners, in milliseconds. */
  ownerlessMs: number;
  /** Number of owner starts after the first. */
  takeovers: number;
}

interface MutableJobHistory extends JobHistory {
  stops: Map<string, number>;
}

const startedFate = 'started';
const notStoppedCause = 'not stopped';

function getJobId(taskName: string | undefined): string {
  return (taskName ?? '').split('.')[0] ?? '';
}

/** Extracts the cause from a stop reason, such as `preempted` from `preempted by <job>`. */
function getCause(reason: string): string {
  return reason.split(' by ')[0] ?? reason;
}

function recordJobEvent(
  jobs: Map<string, MutableJobHistory>,
  { atMs, event, fields }: LogEvent,
): void {
  const id = fields.job ?? getJobId(fields.task);
  if (event === 'job_adopted' && !jobs.has(id)) {
    jobs.set(id, {
      id,
      queue: fields.queue ?? '',
      account: fields.account ?? '',
      priority: Number(fields.priority ?? 0),
      acceptedAtMs: atMs - Number(fields.ageMs ?? 0),
      startedAtMs: undefined,
      endedAtMs: undefined,
      state: fields.state ?? '',
      starts: 0,
      stops: new Map(),
      lostCoreSeconds: 0,
      waitReason: '',
    });
  }
  const job = jobs.get(id);
  if (job === undefined) return;
  if (event === 'job_waits') job.waitReason = fields.reason ?? '';
  if (event === 'start_sent' && fields.fate === startedFate) {
    job.starts += 1;
    job.startedAtMs ??= atMs;
  }
  if (event === 'task_stopped') {
    const cause = getCause(fields.reason ?? '');
    job.stops.set(cause, (job.stops.get(cause) ?? 0) + 1);
  }
  if (event === 'run_ended') job.lostCoreSeconds += Number(fields.lostCoreSeconds ?? 0);
  if (event === 'job_ended' || event === 'job_cancelled') {
    job.endedAtMs ??= atMs;
    job.state = fields.state ?? 'cancelled';
  }
}

/** Collects the history of each job that an owner adopted. */
export function collectJobs(events: readonly LogEvent[]): JobHistory[] {
  const jobs = new Map<string, MutableJobHistory>();
  for (const event of events) recordJobEvent(jobs, event);
  return [...jobs.values()];
}

/** Lists the events of a job and its tasks, in order. */
export function listJobEvents(events: readonly LogEvent[], id: string): LogEvent[] {
  return events.filter(({ fields }) => fields.job === id || getJobId(fields.task) === id);
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

function countOvertakingJobs(job: JobHistory, jobs: readonly JobHistory[], endMs: number): number {
  const startedAtMs = job.startedAtMs ?? job.endedAtMs ?? endMs;
  return jobs.filter(
    (other) =>
      other.acceptedAtMs > job.acceptedAtMs &&
      other.startedAtMs !== undefined &&
      other.startedAtMs < startedAtMs,
  ).length;
}

function computeWaits(jobs: readonly JobHistory[], endMs: number): WaitSummary[] {
  const groups = new Map<string, JobHistory[]>();
  for (const job of jobs) {
    const key = `${job.queue}\n${job.account}`;
    groups.set(key, [...(groups.get(key) ?? []), job]);
  }
  return [...groups.values()].map((groupJobs) => {
    const waits = groupJobs
      .map((job) => (job.startedAtMs ?? job.endedAtMs ?? endMs) - job.acceptedAtMs)
      .sort((a, b) => a - b);
    return {
      queue: groupJobs[0]?.queue ?? '',
      account: groupJobs[0]?.account ?? '',
      jobs: groupJobs.length,
      neverStarted: groupJobs.filter(({ startedAtMs }) => startedAtMs === undefined).length,
      p50Ms: getQuantile(waits, 0.5),
      p95Ms: getQuantile(waits, 0.95),
      mostMs: waits.at(-1) ?? 0,
      mostOvertaken: Math.max(
        ...groupJobs.map((job) => countOvertakingJobs(job, groupJobs, endMs)),
      ),
    };
  });
}

function computeLostWork(events: readonly LogEvent[]): LogReport['lost'] {
  const causes = new Map<string, string>();
  const lost = new Map<string, { stops: number; coreSeconds: number }>();
  for (const { event, fields } of events) {
    const run = `${fields.task ?? ''} ${fields.run ?? ''}`;
    if (event === 'task_stopped') causes.set(run, getCause(fields.reason ?? ''));
    if (event !== 'run_ended' || fields.end === 'done') continue;
    const cause = causes.get(run) ?? `${notStoppedCause}, ${fields.end ?? ''}`;
    const total = lost.get(cause) ?? { stops: 0, coreSeconds: 0 };
    total.stops += 1;
    total.coreSeconds += Number(fields.lostCoreSeconds ?? 0);
    lost.set(cause, total);
  }
  return [...lost]
    .map(([cause, figures]) => ({ cause, ...figures }))
    .sort((a, b) => b.coreSeconds - a.coreSeconds);
}

/**
 * Computes takeovers and the time without an owner. Ownership lasts from the start of an owner
 * until it stops, its lease leaves the state `holding`, or another owner starts.
 */
function computeOwnership(events: readonly LogEvent[]): { ownerlessMs: number; takeovers: number } {
  let owner: string | undefined;
  let ownerlessSinceMs: number | undefined;
  let ownerlessMs = 0;
  let starts = 0;
  for (const { atMs, event, process, fields } of events) {
    if (event === 'owner_started' || (event === 'lease_state' && fields.state === 'holding')) {
      if (ownerlessSinceMs !== undefined) ownerlessMs += atMs - ownerlessSinceMs;
      if (event === 'owner_started') starts += 1;
      ownerlessSinceMs = undefined;
      owner = process;
    } else if (process === owner && isOwnershipEnd(event, fields)) {
      ownerlessSinceMs ??= atMs;
    }
  }
  return { ownerlessMs, takeovers: Math.max(0, starts - 1) };
}

function isOwnershipEnd(event: string, fields: LogEvent['fields']): boolean {
  if (event === 'owner_stopped') return true;
  return event === 'lease_state' && fields.state !== 'holding';
}

/** Builds the report from the events of all instances. */
export function buildLogReport(events: readonly LogEvent[]): LogReport {
  const jobs = collectJobs(events);
  const endMs = events.at(-1)?.atMs ?? 0;
  return {
    waits: computeWaits(jobs, endMs),
    lost: computeLostWork(events),
    ...computeOwnership(events),
  };
}
