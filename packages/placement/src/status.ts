import {
  computeMissingShapes,
  countUnused,
  listSiteGuarantees,
  listUnboundCells,
} from './binding.ts';
import { listMaximalCells } from './feasibility.ts';
import type { AccountUsage, GuaranteeStatus } from './scheduler.ts';
import { isUsable } from './state.ts';
import type { CoreState, Site } from './state.ts';

/** Maximal unbound cells of the usable workers in which nothing runs. */
function listIdleCells(site: Site) {
  return listMaximalCells(site.forest, (leaf) => {
    const slot = leaf.worker.slots[leaf.index];
    return (
      slot !== undefined &&
      slot.binding === undefined &&
      slot.gang === undefined &&
      isUsable(slot.worker)
    );
  });
}

function listSiteStatus(state: CoreState, site: Site): GuaranteeStatus[] {
  const guarantees = listSiteGuarantees(state, site);
  const missing = computeMissingShapes(site, listUnboundCells(site, new Set()), guarantees);
  const missingIdle = computeMissingShapes(site, listIdleCells(site), guarantees);
  return guarantees.map((guarantee, index) => {
    const reclaimable = countUnused(guarantee) - (missing[index] ?? 0);
    const idle = countUnused(guarantee) - (missingIdle[index] ?? 0);
    return {
      account: guarantee.account.spec.id,
      dataCentre: site.id,
      accelerators: guarantee.spec.accelerators,
      guaranteed: guarantee.spec.count,
      inUse: guarantee.bindings.size,
      lentOut: Math.max(0, reclaimable - idle),
      reclaimable,
    };
  });
}

/** Status of the guarantees of all accounts. */
export function listGuaranteeStatus(state: CoreState): GuaranteeStatus[] {
  return [...state.sites.values()].flatMap((site) => listSiteStatus(state, site));
}

/** Usage of all configured accounts. */
export function listAccountUsage(state: CoreState): AccountUsage[] {
  const queued = new Map<string, number>();
  for (const { account } of state.queue) {
    queued.set(account.spec.id, (queued.get(account.spec.id) ?? 0) + 1);
  }
  return [...state.accounts.values()].map(({ spec, usedAccelerators }) => ({
    account: spec.id,
    inUse: usedAccelerators,
    queued: queued.get(spec.id) ?? 0,
  }));
}

/** Ids of the workers that are quarantined now. */
export function listQuarantined(state: CoreState): string[] {
  return [...state.workers.values()]
    .filter((worker) => worker.isQuarantined)
    .map((worker) => worker.spec.id);
}

/** Returns the state of the core as plain JSON data. */
export function createDump(state: CoreState): unknown {
  return {
    nowMs: state.nowMs,
    queue: [...state.queue].map((job) => ({
      jobId: job.spec.jobId,
      account: job.account.spec.id,
      queuedAtMs: job.queuedAtMs,
      attainedSeconds: job.attainedSeconds,
    })),
    claims: [...state.claims].map((claim) => ({
      jobId: claim.job.spec.jobId,
      capacityClass: claim.capacityClass,
      workers: claim.members.map(({ worker }) => worker.spec.id),
    })),
    gangs: [...state.gangs].map((gang) => ({
      jobId: gang.placement.jobId,
      attempt: gang.placement.attempt,
      capacityClass: gang.capacityClass,
      isRunning: gang.isRunning,
      isStopping: gang.stopAtMs !== undefined,
      slots: gang.members.flatMap(({ slots }) =>
        slots.map((slot) => `${slot.worker.spec.id}/${slot.index}`),
      ),
    })),
    bindings: [...state.accounts.values()].flatMap((account) =>
      account.guarantees.flatMap((guarantee) =>
        [...guarantee.bindings].map((binding) => ({
          account: account.spec.id,
          accelerators: guarantee.spec.accelerators,
          slots: binding.slots.map((slot) => `${slot.worker.spec.id}/${slot.index}`),
        })),
      ),
    ),
    workers: [...state.workers.values()].map((worker) => ({
      id: worker.spec.id,
      isLost: worker.isLost,
      isQuarantined: worker.isQuarantined,
      freeAccelerators: worker.freeSlots,
    })),
    guarantees: listGuaranteeStatus(state),
  };
}
