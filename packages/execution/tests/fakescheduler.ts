import {
  ActionKind,
  CapacityClass,
  EventKind,
  GangEnd,
  StopReason,
} from '@bergamotreach/placement';
import type {
  GangPlacement,
  JobSpec,
  MemberPlacement,
  PlacementAction,
  PlacementEvent,
  Scheduler,
} from '@bergamotreach/placement';
import { Ok } from 'ts-results-es';

const maxFailedWorkers = 3;

interface Job {
  spec: JobSpec;
  attempts: number;
  failedWorkers: Set<string>;
  gang: GangPlacement | undefined;
  isCancelled: boolean;
}

/** Scripted core: first come, first served, first fit; no guarantees. */
export function createFakeScheduler(): Scheduler & { requestStop: (jobId: string) => void } {
  const jobs = new Map<string, Job>();
  const free = new Map<string, number>();
  const actions: PlacementAction[] = [];

  function addJob(spec: JobSpec, attempts: number, failed: string[]): Job {
    const failedWorkers = new Set(failed);
    const job: Job = { spec, attempts, failedWorkers, gang: undefined, isCancelled: false };
    jobs.set(spec.jobId, job);
    return job;
  }

  function moveCells(members: MemberPlacement[], sign: number): void {
    for (const { worker, accelerators } of members) {
      const count = free.get(worker);
      if (count !== undefined) free.set(worker, count + sign * accelerators);
    }
  }

  function endJob(job: Job, action: PlacementAction): void {
    jobs.delete(job.spec.jobId);
    actions.push(action);
  }

  function cancelJob(jobId: string): void {
    const job = jobs.get(jobId);
    if (job === undefined) return;
    job.isCancelled = true;
    if (job.gang === undefined) endJob(job, { kind: ActionKind.EndJob, jobId, isCancelled: true });
    else stopGang(job.gang, StopReason.Cancel, 0);
  }

  function stopGang(gang: GangPlacement, reason: StopReason, graceMs: number): void {
    const { jobId, attempt } = gang;
    actions.push({ kind: ActionKind.StopGang, jobId, attempt, reason, graceMs });
  }

  function endGang(jobId: string, end: GangEnd, worker: string): void {
    const job = jobs.get(jobId);
    if (job?.gang === undefined) return;
    moveCells(job.gang.members, 1);
    job.gang = undefined;
    if (end === GangEnd.MemberFailed) job.failedWorkers.add(worker);
    const isAtFault = job.failedWorkers.size >= maxFailedWorkers;
    if (end === GangEnd.Done || job.isCancelled) {
      const isCancelled = end !== GangEnd.Done;
      endJob(job, { kind: ActionKind.EndJob, jobId, isCancelled });
    } else if (isAtFault) {
      endJob(job, { kind: ActionKind.FailJob, jobId, message: 'failed on 3 workers' });
    }
  }

  function applyEvent(event: PlacementEvent): void {
    switch (event.kind) {
      case EventKind.JobArrived:
        addJob(event.job, event.attempts, event.failedWorkers);
        break;
      case EventKind.GangRecovered: {
        const { job, placement, failedWorkers } = event;
        addJob(job, placement.attempt, failedWorkers).gang = placement;
        moveCells(placement.members, -1);
        break;
      }
      case EventKind.JobsCancelled:
        event.jobIds.forEach(cancelJob);
        break;
      case EventKind.GangEnded:
        endGang(event.jobId, event.end, event.worker);
        break;
      case EventKind.WorkersAdded:
        for (const { id, accelerators } of event.workers) free.set(id, accelerators);
        for (const job of jobs.values()) {
          const known = job.gang?.members.filter(({ worker }) =>
            event.workers.some(({ id }) => id === worker),
          );
          moveCells(known ?? [], -1);
        }
        break;
      case EventKind.WorkersLost:
        for (const id of event.workerIds) free.delete(id);
        break;
      case EventKind.GangRunning:
      case EventKind.ConfigChanged:
      case EventKind.UsageReported:
        break;
    }
  }

  function chooseMembers(job: Job): MemberPlacement[] | undefined {
    const left = new Map(free);
    const members: MemberPlacement[] = [];
    const { accelerators } = job.spec;
    for (let member = 0; member < job.spec.members; member += 1) {
      const found = [...left].find(
        ([id, count]) => count >= accelerators && !job.failedWorkers.has(id),
      );
      if (found === undefined) return undefined;
      left.set(found[0], found[1] - accelerators);
      members.push({ member, worker: found[0], accelerators });
    }
    return members;
  }

  function startGangs(): void {
    for (const [jobId, job] of jobs) {
      const members = job.gang === undefined ? chooseMembers(job) : undefined;
      if (members === undefined) continue;
      job.attempts += 1;
      const { attempts: attempt } = job;
      const capacityClass = CapacityClass.Lent;
      job.gang = { jobId, attempt, capacityClass, dataCentre: 'a', members };
      moveCells(members, -1);
      actions.push({ kind: ActionKind.StartGang, placement: job.gang });
    }
  }

  return {
    checkJob: () => Ok(undefined),
    applyEvents(events) {
      events.forEach(applyEvent);
    },
    decide() {
      startGangs();
      return actions.splice(0);
    },
    getNextWakeMs: () => undefined,
    listGuarantees: () => [],
    listUsage: () => [],
    listQuarantined: () => [],
    getDump: () => ({ jobs: jobs.size }),
    requestStop(jobId) {
      const gang = jobs.get(jobId)?.gang;
      if (gang !== undefined) stopGang(gang, StopReason.Reclaim, 1_000);
    },
  };
}
