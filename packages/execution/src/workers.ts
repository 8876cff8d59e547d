import type { WorkerSpec } from '@bergamotreach/placement';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';

/** A worker as known to the region owner. */
export interface WorkerEntry {
  id: string;
  address: string;
  spec: WorkerSpec;
  isLeaving: boolean;
  /** Whether the latest instance list contains it. */
  isListed: boolean;
  /** Time of the last renewal of its tasks. */
  renewedMs: number;
  /** Whether it was added to the scheduler. */
  isPlaced: boolean;
  /** Whether it confirmed the epoch of this owner. */
  isFenced: boolean;
  /** Time of its last reply, or of its first listing. */
  heardMs: number;
}

/** Workers of a region by id. */
export interface WorkerRegistry {
  get(id: string): WorkerEntry | undefined;
  list(): WorkerEntry[];
  /**
   * Applies a new instance list; returns the workers that started to leave. The list can be stale,
   * so a worker that is no longer listed counts as leaving and stays until it stops replying.
   */
  applyInstances(instances: readonly Instance[], nowMs: number): WorkerEntry[];
  remove(id: string): void;
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

/** Creates an empty registry for the workers of `region`. */
export function createWorkerRegistry(region: string): WorkerRegistry {
  const entries = new Map<string, WorkerEntry>();

  function addEntry(instance: Instance, nowMs: number): void {
    const entry: WorkerEntry = {
      id: instance.id,
      address: instance.address,
      spec: createSpec(instance),
      isLeaving: instance.state === InstanceState.Leaving,
      isListed: true,
      renewedMs: 0,
      isPlaced: false,
      isFenced: false,
      heardMs: nowMs,
    };
    entries.set(entry.id, entry);
  }

  /** Updates a known worker; returns whether it started to leave. */
  function updateEntry(entry: WorkerEntry, instance: Instance): boolean {
    entry.address = instance.address;
    entry.isListed = true;
    const wasLeaving = entry.isLeaving;
    entry.isLeaving = instance.state === InstanceState.Leaving;
    return entry.isLeaving && !wasLeaving;
  }

  return {
    get: (id) => entries.get(id),
    list: () => [...entries.values()],
    applyInstances(instances, nowMs) {
      const leaving: WorkerEntry[] = [];
      const listed = new Set<string>();
      for (const instance of listRegionWorkers(instances, region)) {
        listed.add(instance.id);
        const entry = entries.get(instance.id);
        if (entry === undefined) addEntry(instance, nowMs);
        else if (updateEntry(entry, instance)) leaving.push(entry);
      }
      for (const entry of entries.values()) {
        if (listed.has(entry.id)) continue;
        if (!entry.isLeaving) leaving.push(entry);
        entry.isLeaving = true;
        entry.isListed = false;
      }
      return leaving;
    },
    remove(id) {
      entries.delete(id);
    },
  };
}
