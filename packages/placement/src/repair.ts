import { ActionKind } from './action.ts';
import type { PlacementAction } from './action.ts';
import { releaseBinding } from './account.ts';
import { computeMissingShapes, listSiteGuarantees, listUnboundCells } from './binding.ts';
import { computeCellLevel } from './cell.ts';
import { listMaximalCells } from './feasibility.ts';
import { computeStopCost, isUsable } from './state.ts';
import type { Binding, CoreState, Guarantee, GuaranteeReport, Site } from './state.ts';

const noSlots = new Set<never>();

function sumAccelerators(guarantees: readonly Guarantee[], missing: readonly number[]): number {
  return guarantees.reduce(
    (sum, { spec }, index) =>
      sum + (missing[index] ?? 0) * 2 ** computeCellLevel(spec.accelerators),
    0,
  );
}

/** Missing accelerators with the current bindings. */
function computeMissingAccelerators(site: Site, guarantees: readonly Guarantee[]): number {
  const cells = listUnboundCells(site, noSlots);
  return sumAccelerators(guarantees, computeMissingShapes(site, cells, guarantees));
}

/** Missing accelerators if nothing were bound, which no release of bindings can avoid. */
function computeUnavoidableMissing(site: Site, guarantees: readonly Guarantee[]): number {
  const cells = listMaximalCells(site.forest, ({ worker }) => isUsable(worker));
  const missing = computeMissingShapes(site, cells, guarantees, ({ spec }) => spec.count);
  return sumAccelerators(guarantees, missing);
}

function computeReleaseCost(state: CoreState, binding: Binding): number {
  let cost = 0;
  for (const user of binding.users) {
    if ('placement' in user) cost += computeStopCost(state, user);
  }
  return cost;
}

/** Missing accelerators if the binding were released. */
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
  const missing = computeMissingShapes(
    site,
    cells,
    guarantees,
    (item) =>
      Math.max(0, item.spec.count - item.bindings.size) + Number(item === binding.guarantee),
  );
  return sumAccelerators(guarantees, missing);
}

function chooseBindingToRelease(
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
 * Restores guarantees that are broken although the hardware suffices. This happens when cells are bound
 * in places that are unfavourable for a changed configuration or returned hardware. Bindings are
 * released one by one and their gangs become lent work, which is preempted once a guarantee is used.
 */
export function repairGuarantees(state: CoreState): void {
  for (const site of state.sites.values()) {
    const guarantees = listSiteGuarantees(state, site);
    if (guarantees.length === 0) continue;
    let missing = computeMissingAccelerators(site, guarantees);
    if (missing === 0) continue;
    const unavoidable = computeUnavoidableMissing(site, guarantees);
    while (missing > unavoidable) {
      const binding = chooseBindingToRelease(state, site, guarantees);
      if (binding === undefined) break;
      releaseBinding(state, binding);
      missing = computeMissingAccelerators(site, guarantees);
    }
  }
}

/** Missing shapes by account, data centre and accelerators, summed over adjacencies. */
function listBrokenGuarantees(state: CoreState): Map<string, GuaranteeReport> {
  const broken = new Map<string, GuaranteeReport>();
  for (const site of state.sites.values()) {
    const guarantees = listSiteGuarantees(state, site);
    const counts = computeMissingShapes(site, listUnboundCells(site, noSlots), guarantees);
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

/** Reports guarantees with missing shapes if the number changed, and guarantees that are restored. */
export function reportGuarantees(state: CoreState, actions: PlacementAction[]): void {
  const broken = listBrokenGuarantees(state);
  for (const [key, report] of state.reportedGuarantees) {
    if (broken.has(key)) continue;
    actions.push({ kind: ActionKind.ReportGuarantee, ...report, missing: 0 });
  }
  for (const [key, report] of broken) {
    if (state.reportedGuarantees.get(key)?.missing === report.missing) continue;
    actions.push({ kind: ActionKind.ReportGuarantee, ...report });
  }
  state.reportedGuarantees = broken;
}
