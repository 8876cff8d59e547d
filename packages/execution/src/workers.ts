import type { WorkerSpec } from '@bergamotreach/placement';
import { InstanceKind, InstanceState } from '@bergamotreach/platform';
import type { Instance } from '@bergamotreach/platform';

/** A worker as known to the region owner. */
export interface WorkerEntry {
  id: string;
  address: string;
  spec: WorkerSpec;
  isLeaving: boolean;
  /** Whether the placement core may use it. */
  isPlaced: boolean;
  /** Whether it confirmed the epoch of this owner. */
  isFenced: boolean;
  heardMs: number;
}

/** Changes between two instance lists. */
export interface WorkerChanges {
  added: WorkerEntry[];
  leaving: WorkerEntry[];
  removed: WorkerEntry[];
}

/** Workers of the region by id. */
export interface WorkerBook {
  get(id: string): WorkerEntry | undefined;
  list(): WorkerEntry[];
  /** Takes a new instance list over and returns what changed. */
  applyInstances(instances: readonly Instance[], nowMs: number): WorkerChanges;
}

function createSpec(instance: Instance): WorkerSpec {
  const { id, dataCentre, rack, capacity } = instance;
  const { accelerators, cores, memoryMb } = capacity;
  return { id, dataCentre, rack, accelerators, cores, memoryMb };
}

/** Filters the workers of a region from an instance list. */
export function listRegionWorkers(instances: readonly Instance[], region: string): Instance[] {
  return instances.filter((one) => one.kind === InstanceKind.Worker && one.region === region);
}

/** Creates an empty book for the workers of `region`. */
export function createWorkerBook(region: string): WorkerBook {
  const entries = new Map<string, WorkerEntry>();

  function addEntry(instance: Instance, nowMs: number): WorkerEntry {
    const entry: WorkerEntry = {
      id: instance.id,
      address: instance.address,
      spec: createSpec(instance),
      isLeaving: instance.state === InstanceState.Leaving,
      isPlaced: false,
      isFenced: false,
      heardMs: nowMs,
    };
    entries.set(entry.id, entry);
    return entry;
  }

  /** Updates a known worker; returns whether it began to leave. */
  function updateEntry(entry: WorkerEntry, instance: Instance): boolean {
    entry.address = instance.address;
    const wasLeaving = entry.isLeaving;
    entry.isLeaving = instance.state === InstanceState.Leaving;
    return entry.isLeaving && !wasLeaving;
  }

  return {
    get: (id) => entries.get(id),
    list: () => [...entries.values()],
    applyInstances(instances, nowMs) {
      const changes: WorkerChanges = { added: [], leaving: [], removed: [] };
      const listed = new Set<string>();
      for (const instance of listRegionWorkers(instances, region)) {
        listed.add(instance.id);
        const entry = entries.get(instance.id);
        if (entry === undefined) changes.added.push(addEntry(instance, nowMs));
        else if (updateEntry(entry, instance)) changes.leaving.push(entry);
      }
      changes.removed = [...entries.values()].filter((entry) => !listed.has(entry.id));
      for (const entry of changes.removed) entries.delete(entry.id);
      return changes;
    },
  };
}
