import type { AccountSpec, JobSpec, PlacementConfig, WorkerSpec } from '../src/index.ts';
import { Adjacency } from '../src/index.ts';

/** Creates equal workers of one data centre in racks of `perRack`. */
export function createWorkers(
  count: number,
  accelerators: number,
  perRack = 8,
  dataCentre = 'a',
): WorkerSpec[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${dataCentre}-${index}`,
    dataCentre,
    rack: `${dataCentre}-r${Math.floor(index / perRack)}`,
    accelerators,
    cores: 32,
    memoryMb: 64_000,
  }));
}

export function createAccount(id: string, sold: [number, number][] = []): AccountSpec {
  const guarantees = sold.map(([accelerators, count]) => ({
    dataCentre: 'a',
    accelerators,
    within: Adjacency.Worker,
    count,
  }));
  return { id, weight: 1, quotaAccelerators: 0, guarantees };
}

export function createConfig(accounts: AccountSpec[]): PlacementConfig {
  return {
    accounts,
    weights: { completion: 1, fragmentation: 1 },
    lossReserve: {},
    evacuated: [],
    reservationAfterMs: 60_000,
    reclaimMs: 10_000,
    urgentReclaimMs: 300,
    maxAttempts: 3,
    quarantineAfterJobs: 3,
    quarantineMs: 60_000,
    quarantineMaxMs: 600_000,
    acceleratorShare: 0.9,
  };
}

export function createJob(jobId: string, account: string, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    jobId,
    account,
    members: 1,
    accelerators: 1,
    cores: 1,
    memoryMb: 100,
    within: Adjacency.DataCentre,
    urgent: false,
    declaredSeconds: 60,
    dataCentre: '',
    ...changes,
  };
}
