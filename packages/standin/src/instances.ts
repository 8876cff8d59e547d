import type { Instance } from '@bergamotreach/hosting';
import { InstanceState } from '@bergamotreach/hosting';
import type { Clock } from '@bergamotreach/protocol';
import type { FaultSwitches } from './faults.ts';

/** Instances of the stand-in, and the delayed list of them that clients read. */
export interface InstanceRegistry {
  putInstance(instance: Instance): void;
  removeInstance(id: string): void;
  /** Marks an instance as leaving; returns false when it does not exist. */
  setLeaving(id: string): boolean;
  /** Publishes all pending changes immediately. */
  publishNow(): void;
  /** The list as clients read it, without changes younger than the lag. */
  listVisible(): Instance[];
}

/** Creates an empty registry whose visible list lags by `faults.listLagMs`. */
export function createInstanceRegistry(clock: Clock, faults: FaultSwitches): InstanceRegistry {
  const actual = new Map<string, Instance>();
  const visible = new Map<string, Instance>();

  function publish(id: string): void {
    const instance = actual.get(id);
    if (instance === undefined) visible.delete(id);
    else visible.set(id, { ...instance });
  }

  function publishLater(id: string): void {
    clock.setTimer(faults.listLagMs, () => {
      publish(id);
    });
  }

  function putInstance(instance: Instance): void {
    actual.set(instance.id, { ...instance });
    publishLater(instance.id);
  }

  function setLeaving(id: string): boolean {
    const instance = actual.get(id);
    if (instance === undefined) return false;
    putInstance({ ...instance, state: InstanceState.Leaving });
    return true;
  }

  return {
    putInstance,
    removeInstance: (id) => {
      actual.delete(id);
      publishLater(id);
    },
    setLeaving,
    publishNow: () => {
      for (const id of new Set([...actual.keys(), ...visible.keys()])) publish(id);
    },
    listVisible: () => [...visible.values()],
  };
}
