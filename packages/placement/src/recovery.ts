import { addGang } from './allocation.ts';
import { chooseCells, createBinding, isAvailableForGuaranteed, removeBinding } from './binding.ts';
import { CapacityClass } from './event.ts';
import type { GangPlacement } from './event.ts';
import { computeFootprint } from './footprint.ts';
import type { Binding, CoreState, Guarantee, Job, MemberSlots, Slot, Worker } from './state.ts';

/** Finds a cell of the guarantee with room for a member on the worker; binds a new one if necessary. */
function findOrBindCell(
  state: CoreState,
  guarantee: Guarantee,
  worker: Worker,
  footprint: number,
  used: ReadonlySet<Slot>,
): Binding | undefined {
  const countRoom = (slots: readonly Slot[]): number =>
    slots.filter(
      (slot) => slot.worker === worker && isAvailableForGuaranteed(slot) && !used.has(slot),
    ).length;
  for (const binding of guarantee.bindings) {
    if (countRoom(binding.slots) >= footprint) return binding;
  }
  const [cell] = chooseCells(state, guarantee, 1, (slots) => countRoom(slots) >= footprint);
  return cell && createBinding(guarantee, cell);
}

function chooseSlots(slots: readonly Slot[], worker: Worker, footprint: number): Slot[] {
  return slots
    .filter((slot) => slot.worker === worker && slot.gang === undefined)
    .slice(0, footprint);
}

function getFootprint(state: CoreState, job: Job, worker: Worker): number {
  const { acceleratorShare } = state.config;
  return computeFootprint(job.spec, worker.spec, acceleratorShare) ?? job.spec.accelerators;
}

/** Adds the gang under one guarantee of its account. Returns false if not all members fit. */
function addUnderGuarantee(
  state: CoreState,
  job: Job,
  placement: GangPlacement,
  guarantee: Guarantee,
): boolean {
  const members: MemberSlots[] = [];
  const used = new Set<Slot>();
  const bindings = new Set<Binding>();
  for (const { worker: id } of placement.members) {
    const worker = state.workers.get(id);
    if (worker?.site !== guarantee.site) continue;
    const footprint = getFootprint(state, job, worker);
    const cell = findOrBindCell(state, guarantee, worker, footprint, used);
    const free =
      cell?.slots.filter((slot) => !used.has(slot) && isAvailableForGuaranteed(slot)) ?? [];
    const slots = chooseSlots(free, worker, footprint);
    if (cell === undefined || slots.length < footprint) break;
    bindings.add(cell);
    for (const slot of slots) used.add(slot);
    members.push({ worker, slots });
  }
  const isComplete = members.length === placement.members.length;
  if (isComplete) addGang(state, job, placement, members, [...bindings]);
  for (const binding of bindings) if (binding.users.size === 0) removeBinding(binding);
  return isComplete;
}

function addLent(state: CoreState, job: Job, placement: GangPlacement): void {
  const members: MemberSlots[] = [];
  const used = new Set<Slot>();
  for (const { worker: id } of placement.members) {
    const worker = state.workers.get(id);
    if (worker === undefined) continue;
    const free = worker.slots.filter((slot) => !used.has(slot));
    const slots =
      job.accelerators === 0 ? [] : chooseSlots(free, worker, getFootprint(state, job, worker));
    for (const slot of slots) used.add(slot);
    members.push({ worker, slots });
  }
  addGang(state, job, placement, members, []).capacityClass = CapacityClass.Lent;
}

/**
 * Adds a gang that was found running, with its existing placement. A guaranteed gang continues as lent
 * work if its account's cells cannot be bound without affecting another guarantee.
 */
export function applyRecoveredGang(state: CoreState, job: Job, placement: GangPlacement): void {
  job.account.usedAccelerators += job.accelerators;
  const guarantees =
    placement.capacityClass === CapacityClass.Guaranteed ? job.account.guarantees : [];
  const isBound = guarantees.some((guarantee) =>
    addUnderGuarantee(state, job, placement, guarantee),
  );
  if (!isBound) addLent(state, job, placement);
  if (job.gang !== undefined) job.gang.isRunning = true;
  state.isGuaranteeDirty = true;
}
