import { buildForest, getHardwareType } from './cell.ts';
import type { WorkerSpec } from './spec.ts';
import type { CoreState, Site, Worker } from './state.ts';

/** Returns the site of a data centre; creates an empty one if it is new. */
export function getSite(state: CoreState, id: string): Site {
  const found = state.sites.get(id);
  if (found !== undefined) return found;
  const site: Site = {
    id,
    workers: [],
    forest: buildForest([]),
    gangs: new Set(),
    freeSlots: 0,
    isEvacuated: state.config.evacuated.includes(id),
    version: 0,
    freeCellLevels: undefined,
  };
  state.sites.set(id, site);
  return site;
}

/** Applies the evacuations of the configuration to the known sites. */
export function applyEvacuations(state: CoreState): void {
  for (const site of state.sites.values()) {
    const isEvacuated = state.config.evacuated.includes(site.id);
    if (isEvacuated === site.isEvacuated) continue;
    site.isEvacuated = isEvacuated;
    site.version += 1;
  }
}

function createWorker(spec: WorkerSpec, site: Site): Worker {
  const worker: Worker = {
    spec,
    site,
    slots: [],
    freeSlots: spec.accelerators,
    isLost: false,
    isQuarantined: false,
    quarantineUntilMs: 0,
    quarantineCount: 0,
    failedJobs: new Set(),
    cpuOnlyCores: 0,
    cpuOnlyMemoryMb: 0,
  };
  for (let index = 0; index < spec.accelerators; index += 1) {
    worker.slots.push({
      worker,
      index,
      gang: undefined,
      claim: undefined,
      binding: undefined,
    });
  }
  site.freeSlots += spec.accelerators;
  return worker;
}

function isIdle(worker: Worker): boolean {
  return (
    worker.cpuOnlyCores === 0 &&
    worker.cpuOnlyMemoryMb === 0 &&
    worker.slots.every((slot) => !slot.gang && !slot.claim && !slot.binding)
  );
}

/** Removes an idle lost worker of the same rack and type; returns its position, or a new position. */
function replaceLostWorker(state: CoreState, site: Site, spec: WorkerSpec): number {
  const position = site.workers.findIndex(
    (worker) =>
      worker.isLost &&
      worker.spec.rack === spec.rack &&
      getHardwareType(worker.spec) === getHardwareType(spec) &&
      isIdle(worker),
  );
  const worker = site.workers[position];
  if (worker === undefined) return site.workers.length;
  state.workers.delete(worker.spec.id);
  site.freeSlots -= worker.freeSlots;
  return position;
}

function isSameSpec(a: WorkerSpec, b: WorkerSpec): boolean {
  return (
    a.dataCentre === b.dataCentre && a.rack === b.rack && getHardwareType(a) === getHardwareType(b)
  );
}

function addWorker(state: CoreState, spec: WorkerSpec, changed: Set<Site>): void {
  const known = state.workers.get(spec.id);
  if (known !== undefined && isSameSpec(known.spec, spec)) {
    known.isLost = false;
    known.site.version += 1;
    return;
  }
  // The worker returned with other hardware; its old position stays as a lost worker.
  if (known !== undefined) {
    known.isLost = true;
    state.workers.delete(spec.id);
  }
  const site = getSite(state, spec.dataCentre);
  const worker = createWorker(spec, site);
  site.workers[replaceLostWorker(state, site, spec)] = worker;
  state.workers.set(spec.id, worker);
  changed.add(site);
}

/**
 * Adds workers, or marks known ones as available again. A new worker takes the position of a lost one
 * of the same rack and type, so that the cells of its rack become complete again.
 */
export function addWorkers(state: CoreState, specs: readonly WorkerSpec[]): void {
  const changed = new Set<Site>();
  for (const spec of specs) addWorker(state, spec, changed);
  for (const site of changed) {
    site.forest = buildForest(site.workers);
    site.version += 1;
  }
  state.isCapacityDirty = true;
  state.isGuaranteeDirty = true;
}

/** Marks workers as lost; their gangs occupy slots until their end is confirmed. */
export function removeWorkers(state: CoreState, workerIds: readonly string[]): void {
  for (const id of workerIds) {
    const worker = state.workers.get(id);
    if (worker === undefined) continue;
    worker.isLost = true;
    worker.site.version += 1;
  }
  state.isCapacityDirty = true;
  state.isGuaranteeDirty = true;
}
