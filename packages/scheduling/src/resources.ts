/** Resources of a worker or a task. */
export interface Resources {
  /** Thousandths of a core. */
  cpuMillis: number;
  memoryMb: number;
  accelerators: number;
}

/** No resources at all. */
export const noResources: Readonly<Resources> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };

// Cores that one accelerator counts as, from the platform's price of lost work.
const coresPerAccelerator = 8;
const millisPerCore = 1000;

/** Whether `demand` fits into `free`. */
export function isFitting(demand: Resources, free: Resources): boolean {
  return (
    demand.cpuMillis <= free.cpuMillis &&
    demand.memoryMb <= free.memoryMb &&
    demand.accelerators <= free.accelerators
  );
}

/** The lesser of two amounts in each dimension. */
export function getLeastResources(a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators),
  };
}

/** Adds `amount` times `demand` to `total` in place. */
export function addResources(total: Resources, demand: Resources, amount = 1): void {
  total.cpuMillis += demand.cpuMillis * amount;
  total.memoryMb += demand.memoryMb * amount;
  total.accelerators += demand.accelerators * amount;
}

/** Cores of a demand, with each accelerator counted as `coresPerAccelerator` cores. */
export function getCoreEquivalent(demand: Resources): number {
  return demand.cpuMillis / millisPerCore + demand.accelerators * coresPerAccelerator;
}

/** Number of tasks of `demand` that fit into `free`. */
export function countFitting(demand: Resources, free: Resources): number {
  const limits = [
    demand.cpuMillis > 0 ? free.cpuMillis / demand.cpuMillis : Infinity,
    demand.memoryMb > 0 ? free.memoryMb / demand.memoryMb : Infinity,
    demand.accelerators > 0 ? free.accelerators / demand.accelerators : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...limits)));
}

/** Dominant share: the largest share of `capacity` that `used` takes in any dimension. */
export function getDominantShare(used: Resources, capacity: Resources): number {
  const shares = [
    capacity.cpuMillis > 0 ? used.cpuMillis / capacity.cpuMillis : 0,
    capacity.memoryMb > 0 ? used.memoryMb / capacity.memoryMb : 0,
    capacity.accelerators > 0 ? used.accelerators / capacity.accelerators : 0,
  ];
  return Math.max(...shares);
}
