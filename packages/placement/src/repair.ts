import { ActionKind } from './action.ts';
import type { PlacementAction } from './action.ts';
import { releaseBinding } from './account.ts';
import { computeMissing, listSiteGuarantees, listUnboundCells } from './bind.ts';
import { computeLevel } from './cell.ts';
import { listMaximalCells } from './feasibility.ts';
import { computeStopCost, isUsable } from './state.ts';
import type { Binding, CoreState, Guarantee, GuaranteeReport, Site } from './state.ts';

const noSlots = new Set<never>();

function addUp(guarantees: readonly Guarantee[], missing: readonly number[]): number {
  return guarantees.reduce(
    (sum, { spec }, index) => sum + (missing[index] ?? 0) * 2 ** computeLevel(spec.accelerators),
    0,
  );
}

/** Missing accelerators with the present bindings. */
function computeMissingNow(site: Site, guarantees: readonly Guarantee[]): number {
  const cells = listUnboundCells(site, noSlots);
  return addUp(guarantees, computeMissing(site, cells, guarantees));
}

/** Missing accelerators if nothing were bound: what the hardware alone lacks. */
function computeMissingHardware(site: Site, guarantees: readonly Guarantee[]): number {
  const cells = listMaximalCells(site.forest, ({ worker }) => isUsable(worker));
  const missing = computeMissing(site, cells, guarantees, ({ spec }) => spec.count);
  return addUp(guarantees, missing);
}

function computeReleaseCost(state: CoreState, binding: Binding): number {
  let cost = 0;
  for (const user of binding.users) {
    if ('placement' in user) cost += computeStopCost(state, user);
  }
  return cost;
}

/** What would be missing without the binding. */
function computeMissingWithout(
  site: Site,
  guarantees: readonly Guarantee[],
  binding: Binding,
): number {
  const slots = new Set(binding.slots);
  const cells = listMaximalCells(site.forest, (leaf) => {
    const slot = leaf.worker.slots[leaf.index];
    const isUnbound = slot?.binding === undefined || slots.has(slot);
    return isUnbound && isUsable(leaf.worker);
  });
  const missing = computeMissing(
    site,
    cells,
    guarantees,
    (item) =>
      Math.max(0, item.spec.count - item.bindings.size) + Number(item === binding.guarantee),
  );
  return addUp(guarantees, missing);
}

function chooseRelease(
  state: CoreState,
  site: Site,
  guarantees: readonly Guarantee[],
): Binding | undefined {
  let best: Binding | undefined;
  let bestScore = [Infinity, Infinity];
  for (const binding of guarantees.flatMap((guarantee) => [...guarantee.bindings])) {
    const score = [
      computeMissingWithout(site, guarantees, binding),
      computeReleaseCost(state, binding),
    ];
    const [missing = 0, cost = 0] = score;
    const [bestMissing = 0, bestCost = 0] = bestScore;
    if (missing < bestMissing || (missing === bestMissing && cost < bestCost)) {
      best = binding;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Restores guarantees that are broken although the hardware suffices, which happens when a changed
 * configuration or returned hardware meets cells bound in unfavourable places: bindings end one by
 * one and their work becomes lent, so that it can be stopped once a guarantee is claimed.
 */
export function repairGuarantees(state: CoreState): void {
  for (const site of state.sites.values()) {
    const guarantees = listSiteGuarantees(state, site);
    if (guarantees.length === 0) continue;
    let missing = computeMissingNow(site, guarantees);
    if (missing === 0) continue;
    const unavoidable = computeMissingHardware(site, guarantees);
    while (missing > unavoidable) {
      const binding = chooseRelease(state, site, guarantees);
      if (binding === undefined) break;
      releaseBinding(state, binding);
      missing = computeMissingNow(site, guarantees);
    }
  }
}

/** Shapes that cannot be made good now, added up over adjacencies. */
function listBroken(state: CoreState): Map<string, GuaranteeReport> {
  const broken = new Map<string, GuaranteeReport>();
  for (const site of state.sites.values()) {
    const guarantees = listSiteGuarantees(state, site);
    const counts = computeMissing(site, listUnboundCells(site, noSlots), guarantees);
    guarantees.forEach(({ account, spec: { accelerators } }, index) => {
      const count = counts[index] ?? 0;
      if (count === 0) return;
      const key = `${account.spec.id}/${site.id}/${accelerators}`;
      const missing = count + (broken.get(key)?.missing ?? 0);
      broken.set(key, { account: account.spec.id, dataCentre: site.id, accelerators, missing });
    });
  }
  return broken;
}

/** Reports shapes that cannot be made good now, and those that can be again. */
export function reportGuarantees(state: CoreState, actions: PlacementAction[]): void {
  const broken = listBroken(state);
  for (const [key, report] of state.reported) {
    if (broken.has(key)) continue;
    actions.push({ kind: ActionKind.ReportGuarantee, ...report, missing: 0 });
  }
  for (const [key, report] of broken) {
    if (state.reported.get(key)?.missing === report.missing) continue;
    actions.push({ kind: ActionKind.ReportGuarantee, ...report });
  }
  state.reported = broken;
}
