import { ActionKind, CapacityClass, EventKind, GangEnd } from '@bergamotreach/placement';
import type { JobSpec, PlacementAction, PlacementEvent, Scheduler } from '@bergamotreach/placement';
import type { RegionSetup } from './deployment.ts';
import { createGroups, findFit } from './fit.ts';

/** The methods of a scheduler that a replay calls. */
export type PlacementDecider = Pick<Scheduler, 'applyEvents' | 'decide' | 'getNextWakeMs'>;

/** Baselines for the scheduler. None of them preempts running jobs. */
export enum Baseline {
  FifoFirstFit = 'fifo-first-fit',
  FifoBestFit = 'fifo-best-fit',
  PlainQuotas = 'plain-quotas',
  ShortestDeclared = 'shortest-declared',
  FifoBackfill = 'fifo-backfill',
}

interface BaselineRules {
  isBestFit: boolean;
  /** Whether later jobs may start before a job that does not fit. */
  hasBackfill: boolean;
  isShortestFirst: boolean;
  hasQuotas: boolean;
}

const noRules = { isBestFit: false, hasBackfill: false, isShortestFirst: false, hasQuotas: false };

const baselineRules: Record<Baseline, BaselineRules> = {
  [Baseline.FifoFirstFit]: noRules,
  [Baseline.FifoBestFit]: { ...noRules, isBestFit: true },
  [Baseline.PlainQuotas]: { ...noRules, hasQuotas: true, hasBackfill: true },
  [Baseline.ShortestDeclared]: { ...noRules, isShortestFirst: true, hasBackfill: true },
  [Baseline.FifoBackfill]: { ...noRules, hasBackfill: true },
};

function getWidth(job: JobSpec): number {
  return job.members * job.accelerators;
}

/**
 * Divides the accelerators among the accounts by their shares. An account that uses none can exceed
 * its quota with one job; otherwise a job larger than the quota would never start.
 */
function createQuotas(setup: RegionSetup): Map<string, number> {
  const capacity = setup.workers.reduce((sum, worker) => sum + worker.accelerators, 0);
  const shares = setup.accountShares.reduce((sum, [, share]) => sum + share, 0);
  return new Map(setup.accountShares.map(([id, share]) => [id, (capacity * share) / shares]));
}

/** Creates a baseline policy over the workers of a region. */
export function createBaseline(kind: Baseline, setup: RegionSetup): PlacementDecider {
  const rules = baselineRules[kind];
  const groups = createGroups(setup.workers);
  const free = setup.workers.map((worker) => worker.accelerators);
  const quotas = createQuotas(setup);
  const used = new Map<string, number>();
  const running = new Map<string, { job: JobSpec; members: number[] }>();
  let queue: JobSpec[] = [];

  const isOverQuota = (job: JobSpec): boolean => {
    const inUse = used.get(job.account) ?? 0;
    return rules.hasQuotas && inUse > 0 && inUse + getWidth(job) > (quotas.get(job.account) ?? 0);
  };
  const updateUsage = (job: JobSpec, members: readonly number[], sign: 1 | -1): void => {
    for (const index of members) free[index] = (free[index] ?? 0) - sign * job.accelerators;
    used.set(job.account, (used.get(job.account) ?? 0) + sign * getWidth(job));
  };
  const startGang = (job: JobSpec, members: number[]): PlacementAction => {
    updateUsage(job, members, 1);
    running.set(job.jobId, { job, members });
    const first = setup.workers[members[0] ?? 0];
    const placement = {
      jobId: job.jobId,
      attempt: 1,
      capacityClass: CapacityClass.Guaranteed,
      dataCentre: first?.dataCentre ?? '',
      members: members.map((index, member) => ({
        member,
        worker: setup.workers[index]?.id ?? '',
        accelerators: job.accelerators,
      })),
    };
    return { kind: ActionKind.StartGang, placement };
  };
  const applyEvent = (event: PlacementEvent): void => {
    if (event.kind === EventKind.JobArrived) queue.push(event.job);
    if (event.kind !== EventKind.GangEnded || event.end !== GangEnd.Done) return;
    const gang = running.get(event.jobId);
    if (gang === undefined) return;
    updateUsage(gang.job, gang.members, -1);
    running.delete(event.jobId);
  };
  const decide = (): PlacementAction[] => {
    const actions: PlacementAction[] = [];
    const remaining: JobSpec[] = [];
    if (rules.isShortestFirst) queue.sort((a, b) => a.declaredSeconds - b.declaredSeconds);
    let isBlocked = false;
    for (const job of queue) {
      const canTry: boolean = !isBlocked && !isOverQuota(job);
      const members: number[] | undefined = canTry
        ? findFit(free, groups, job, rules.isBestFit)
        : undefined;
      if (members !== undefined) actions.push(startGang(job, members));
      else remaining.push(job);
      isBlocked ||= members === undefined && !rules.hasBackfill;
    }
    queue = remaining;
    return actions;
  };
  return {
    applyEvents: (events) => {
      for (const event of events) applyEvent(event);
    },
    decide,
    getNextWakeMs: () => undefined,
  };
}
