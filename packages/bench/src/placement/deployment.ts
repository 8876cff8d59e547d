import { Adjacency } from '@bergamotreach/placement';
import type {
  AccountSpec,
  GuaranteeSpec,
  PlacementConfig,
  PolicyWeights,
  WorkerSpec,
} from '@bergamotreach/placement';

/** A kind of job and its relative frequency. */
export interface JobKind {
  weight: number;
  members: number;
  accelerators: number;
  within: Adjacency;
  /** Shape and bounds, in seconds, of the bounded Pareto distribution of run times. */
  runtime: readonly [shape: number, low: number, high: number];
}

/** One region of a deployment and its workload. */
export interface RegionSetup {
  name: string;
  workers: WorkerSpec[];
  config: PlacementConfig;
  /** Accounts and their relative shares of the jobs. */
  accountShares: readonly (readonly [account: string, share: number])[];
  jobKinds: readonly JobKind[];
  /** Number of jobs that arrive at random times, besides the bursts. */
  jobs: number;
  /** Offered load: accelerator-seconds of work per accelerator-second. */
  load: number;
  /** `count` bursts of `jobs` jobs of one kind each. */
  bursts: readonly { count: number; kind: JobKind; jobs: number }[];
}

/** A deployment; each of its regions has its own scheduler. */
export interface Deployment {
  name: string;
  regions: RegionSetup[];
}

function createWorkers(
  dataCentre: string,
  count: number,
  spec: Pick<WorkerSpec, 'accelerators' | 'cores' | 'memoryMb'>,
  perRack: number,
): WorkerSpec[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${dataCentre}-w${index}`,
    dataCentre,
    rack: `${dataCentre}-r${Math.floor(index / perRack)}`,
    ...spec,
  }));
}

function createConfig(
  accounts: AccountSpec[],
  weights: PolicyWeights,
  dataCentres: readonly string[],
): PlacementConfig {
  return {
    accounts,
    weights,
    lossReserve: Object.fromEntries(dataCentres.map((id) => [id, 1])),
    evacuated: [],
    reservationAfterMs: 1_800_000,
    reclaimMs: 60_000,
    urgentReclaimMs: 300,
    maxAttempts: 3,
    quarantineAfterJobs: 3,
    quarantineMs: 60_000,
    quarantineMaxMs: 3_600_000,
    acceleratorShare: 0.9,
  };
}

function createJobKind(
  weight: number,
  members: number,
  accelerators: number,
  within: Adjacency,
  runtime: JobKind['runtime'],
): JobKind {
  return { weight, members, accelerators, within, runtime };
}

const shortRuntime = [1.1, 30, 6 * 3600] as const;
const longRuntime = [1.1, 600, 24 * 3600] as const;

const jobKinds: JobKind[] = [
  createJobKind(45, 1, 1, Adjacency.Worker, shortRuntime),
  createJobKind(15, 1, 2, Adjacency.Worker, shortRuntime),
  createJobKind(12, 1, 4, Adjacency.Worker, shortRuntime),
  createJobKind(10, 1, 8, Adjacency.Worker, longRuntime),
  createJobKind(5, 2, 8, Adjacency.Rack, longRuntime),
  createJobKind(3, 4, 4, Adjacency.Rack, longRuntime),
  createJobKind(3, 4, 8, Adjacency.Rack, longRuntime),
  createJobKind(1, 16, 2, Adjacency.DataCentre, longRuntime),
  createJobKind(1, 8, 8, Adjacency.DataCentre, longRuntime),
];

function createGuarantee(
  dataCentre: string,
  accelerators: number,
  within: Adjacency,
  count: number,
): GuaranteeSpec {
  return { dataCentre, accelerators, within, count };
}

function createRegion(
  dataCentre: string,
  weights: PolicyWeights,
  spec: Pick<WorkerSpec, 'accelerators' | 'cores' | 'memoryMb'>,
  load: number,
): RegionSetup {
  const accounts: AccountSpec[] = [
    [createGuarantee(dataCentre, 8, Adjacency.Worker, 2)],
    [createGuarantee(dataCentre, 16, Adjacency.Rack, 1)],
    [createGuarantee(dataCentre, 2, Adjacency.Worker, 4)],
    [],
  ].map((guarantees, index) => ({
    id: `account${index}`,
    weight: index < 2 ? 2 : 1,
    quotaAccelerators: 0,
    guarantees,
  }));
  const small = createJobKind(1, 1, 1, Adjacency.Worker, [1.3, 30, 1800]);
  const large = createJobKind(1, 4, 8, Adjacency.Rack, [1.3, 600, 6 * 3600]);
  return {
    name: dataCentre,
    workers: createWorkers(dataCentre, 10, spec, 8),
    config: createConfig(accounts, weights, [dataCentre]),
    accountShares: accounts.map(({ id }, index) => [id, index < 2 ? 3 : 1]),
    jobKinds,
    jobs: 400,
    load,
    bursts: [
      { count: 6, kind: small, jobs: 40 },
      { count: 4, kind: large, jobs: 3 },
    ],
  };
}

/** Ezelpad: 3 regions of 10 workers; completion time has the larger weight. */
export function createEzelpad(load: number): Deployment {
  const spec = { accelerators: 8, cores: 32, memoryMb: 64_000 };
  const weights = { completion: 4, fragmentation: 1 };
  const regions = ['noord', 'midden', 'zuid'].map((id) => createRegion(id, weights, spec, load));
  return { name: 'ezelpad', regions };
}

/** Trinacria: 3 regions of 10 workers; fragmentation has the larger weight. */
export function createTrinacria(load: number): Deployment {
  const spec = { accelerators: 8, cores: 128, memoryMb: 256_000 };
  const weights = { completion: 1, fragmentation: 4 };
  const regions = ['catania', 'palermo', 'trapani'].map((id) =>
    createRegion(id, weights, spec, load),
  );
  return { name: 'trinacria', regions };
}

const designJobKinds: JobKind[] = [
  createJobKind(40, 1, 1, Adjacency.DataCentre, longRuntime),
  createJobKind(15, 2, 1, Adjacency.Rack, longRuntime),
  createJobKind(12, 4, 1, Adjacency.Rack, longRuntime),
  createJobKind(10, 8, 1, Adjacency.Rack, longRuntime),
  createJobKind(8, 16, 1, Adjacency.DataCentre, longRuntime),
  createJobKind(5, 32, 1, Adjacency.DataCentre, longRuntime),
  createJobKind(3, 64, 1, Adjacency.DataCentre, longRuntime),
  createJobKind(2, 128, 1, Adjacency.DataCentre, longRuntime),
];

function createDesignRegion(
  region: string,
  dataCentres: readonly string[],
  jobs: number,
  load: number,
): RegionSetup {
  const spec = { accelerators: 1, cores: 32, memoryMb: 64_000 };
  const accounts: AccountSpec[] = Array.from({ length: 22 }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length] ?? '';
    const guarantees = [
      index % 4 === 0 ? createGuarantee(dataCentre, 32, Adjacency.DataCentre, 1) : undefined,
      index % 3 === 0 ? createGuarantee(dataCentre, 8, Adjacency.Rack, 1) : undefined,
      createGuarantee(dataCentre, 1, Adjacency.Worker, 4),
    ].filter((item) => item !== undefined);
    return { id: `account${index}`, weight: 1 + (index % 3), quotaAccelerators: 300, guarantees };
  });
  return {
    name: region,
    workers: dataCentres.flatMap((dataCentre) => createWorkers(dataCentre, 300, spec, 16)),
    config: createConfig(accounts, { completion: 1, fragmentation: 1 }, dataCentres),
    accountShares: accounts.map(({ id }, index) => [id, 1 + (index % 5)]),
    jobKinds: designJobKinds,
    jobs,
    load,
    bursts: [
      { count: 3, kind: createJobKind(1, 1, 1, Adjacency.DataCentre, [1.3, 60, 3600]), jobs: 200 },
      {
        count: 2,
        kind: createJobKind(1, 64, 1, Adjacency.DataCentre, [1.3, 600, 21_600]),
        jobs: 4,
      },
    ],
  };
}

/** Design size: 1,500 workers of 1 accelerator in 5 data centres of 2 regions, 22 accounts. */
export function createDesignSize(load: number): Deployment {
  return {
    name: 'design',
    regions: [
      createDesignRegion('north', ['n1', 'n2', 'n3'], 840, load),
      createDesignRegion('south', ['s1', 's2'], 560, load),
    ],
  };
}
