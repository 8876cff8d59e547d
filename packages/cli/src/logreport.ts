import type { LogEvent } from './logevents.ts';

/** Life of one job as the logs tell it. Times are Unix milliseconds. */
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
  /** Stops by cause: the text before the job that caused it. */
  stops: ReadonlyMap<string, number>;
  /** Work lost by ends of its runs, in core-seconds. */
  lostCoreSeconds: number;
  /** Last reason for which it waited; empty when none was logged. */
  waitReason: string;
}

/** Waits of the jobs that share a queue and an account, in milliseconds. */
export interface WaitSummary {
  queue: string;
  account: string;
  jobs: number;
  neverStarted: number;
  p50Ms: number;
  p95Ms: number;
  mostMs: number;
  /** Largest number of younger jobs of the queue and account that began before one of them did. */
  mostOvertaken: number;
}

/** A day in figures. */
export interface LogReport {
  waits: WaitSummary[];
  lost: { cause: string; stops: number; coreSeconds: number }[];
  /** Time without an owner between the first and the last one, in milliseconds. */
  ownerlessMs: number;
  takeovers: number;
}

interface MutableHistory extends JobHistory {
  stops: Map<string, number>;
}

const lastStarted = 'started';
const notStopped = 'not stopped';

function getJobId(taskName: string | undefined): string {
  return (taskName ?? '').split('.')[0] ?? '';
}

/** A stop names the job that it was made for; the cause is what stands before it. */
function getCause(reason: string): string {
  return reason.split(' by ')[0] ?? reason;
}

function noteJobEvent(jobs: Map<string, MutableHistory>, { atMs, event, fields }: LogEvent): void {
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
  if (event === 'start_sent' && fields.fate === lastStarted) {
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

/** Collects the life of each job that an owner took on. */
export function collectJobs(events: readonly LogEvent[]): JobHistory[] {
  const jobs = new Map<string, MutableHistory>();
  for (const event of events) noteJobEvent(jobs, event);
  return [...jobs.values()];
}

/** The lines of one job, in order. */
export function listJobEvents(events: readonly LogEvent[], id: string): LogEvent[] {
  return events.filter(({ fields }) => fields.job === id || getJobId(fields.task) === id);
}

function getQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function countOvertaking(job: JobHistory, jobs: readonly JobHistory[], endMs: number): number {
  const startedAtMs = job.startedAtMs ?? job.endedAtMs ?? endMs;
  return jobs.filter(
    (other) =>
      other.acceptedAtMs > job.acceptedAtMs &&
      other.startedAtMs !== undefined &&
      other.startedAtMs < startedAtMs,
  ).length;
}

function measureWaits(jobs: readonly JobHistory[], endMs: number): WaitSummary[] {
  const groups = new Map<string, JobHistory[]>();
  for (const job of jobs) {
    const key = `${job.queue}\n${job.account}`;
    groups.set(key, [...(groups.get(key) ?? []), job]);
  }
  return [...groups.values()].map((own) => {
    const waits = own
      .map((job) => (job.startedAtMs ?? job.endedAtMs ?? endMs) - job.acceptedAtMs)
      .sort((a, b) => a - b);
    return {
      queue: own[0]?.queue ?? '',
      account: own[0]?.account ?? '',
      jobs: own.length,
      neverStarted: own.filter(({ startedAtMs }) => startedAtMs === undefined).length,
      p50Ms: getQuantile(waits, 0.5),
      p95Ms: getQuantile(waits, 0.95),
      mostMs: waits.at(-1) ?? 0,
      mostOvertaken: Math.max(...own.map((job) => countOvertaking(job, own, endMs))),
    };
  });
}

function measureLost(events: readonly LogEvent[]): LogReport['lost'] {
  const causes = new Map<string, string>();
  const lost = new Map<string, { stops: number; coreSeconds: number }>();
  for (const { event, fields } of events) {
    const run = `${fields.task ?? ''} ${fields.run ?? ''}`;
    if (event === 'task_stopped') causes.set(run, getCause(fields.reason ?? ''));
    if (event !== 'run_ended' || fields.end === 'done') continue;
    const cause = causes.get(run) ?? `${notStopped}, ${fields.end ?? ''}`;
    const known = lost.get(cause) ?? { stops: 0, coreSeconds: 0 };
    known.stops += 1;
    known.coreSeconds += Number(fields.lostCoreSeconds ?? 0);
    lost.set(cause, known);
  }
  return [...lost]
    .map(([cause, figures]) => ({ cause, ...figures }))
    .sort((a, b) => b.coreSeconds - a.coreSeconds);
}

/** An owner works from its start until it stops, its lease ends or another one starts. */
function measureOwners(events: readonly LogEvent[]): { ownerlessMs: number; takeovers: number } {
  let holder: string | undefined;
  let freeSinceMs: number | undefined;
  let ownerlessMs = 0;
  let starts = 0;
  for (const { atMs, event, process, fields } of events) {
    if (event === 'owner_started' || (event === 'lease_state' && fields.state === 'holding')) {
      if (freeSinceMs !== undefined) ownerlessMs += atMs - freeSinceMs;
      if (event === 'owner_started') starts += 1;
      freeSinceMs = undefined;
      holder = process;
    } else if (process === holder && isOwnerEnd(event, fields)) {
      freeSinceMs ??= atMs;
    }
  }
  return { ownerlessMs, takeovers: Math.max(0, starts - 1) };
}

function isOwnerEnd(event: string, fields: LogEvent['fields']): boolean {
  if (event === 'owner_stopped') return true;
  return event === 'lease_state' && fields.state !== 'holding';
}

/** Sums up what the logs of all instances tell of a day. */
export function measureLogs(events: readonly LogEvent[]): LogReport {
  const jobs = collectJobs(events);
  const endMs = events.at(-1)?.atMs ?? 0;
  return {
    waits: measureWaits(jobs, endMs),
    lost: measureLost(events),
    ...measureOwners(events),
  };
}
