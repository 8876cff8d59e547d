import { Adjacency } from '@bergamotreach/placement';
import type {
  AccountSpec,
  GuaranteeSpec,
  PlacementConfig,
  PolicyWeights,
  WorkerSpec,
} from '@bergamotreach/placement';

/** A kind of job and how often it occurs. */
export interface JobKind {
  weight: number;
  members: number;
  accelerators: number;
  within: Adjacency;
  /** Shape and bounds, in seconds, of the bounded Pareto distribution of run times. */
  runtime: readonly [shape: number, low: number, high: number];
}

/** One region of a deployment with the work that comes to it. */
export interface RegionSetup {
  name: string;
  workers: WorkerSpec[];
  config: PlacementConfig;
  /** Accounts and their shares of the jobs. */
  accountShares: readonly (readonly [account: string, share: number])[];
  jobKinds: readonly JobKind[];
  /** Jobs arriving at random moments. */
  jobs: number;
  /** Offered load: accelerator-seconds of work per accelerator-second. */
  load: number;
  /** Number of bursts; each has jobs of one kind only. */
  bursts: readonly { count: number; kind: JobKind; jobs: number }[];
}

/** A deployment: its regions are placed separately. */
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

function createKind(
  weight: number,
  members: number,
  accelerators: number,
  within: Adjacency,
  runtime: JobKind['runtime'],
): JobKind {
  return { weight, members, accelerators, within, runtime };
}

const quick = [1.1, 30, 6 * 3600] as const;
const long = [1.1, 600, 24 * 3600] as const;

const jobKinds: JobKind[] = [
  createKind(45, 1, 1, Adjacency.Worker, quick),
  createKind(15, 1, 2, Adjacency.Worker, quick),
  createKind(12, 1, 4, Adjacency.Worker, quick),
  createKind(10, 1, 8, Adjacency.Worker, long),
  createKind(5, 2, 8, Adjacency.Rack, long),
  createKind(3, 4, 4, Adjacency.Rack, long),
  createKind(3, 4, 8, Adjacency.Rack, long),
  createKind(1, 16, 2, Adjacency.DataCentre, long),
  createKind(1, 8, 8, Adjacency.DataCentre, long),
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
  const small = createKind(1, 1, 1, Adjacency.Worker, [1.3, 30, 1800]);
  const large = createKind(1, 4, 8, Adjacency.Rack, [1.3, 600, 6 * 3600]);
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

/** Ezelpad: 3 regions of 10 workers, completion time weighs more. */
export function createEzelpad(load: number): Deployment {
  const spec = { accelerators: 8, cores: 32, memoryMb: 64_000 };
  const weights = { completion: 4, fragmentation: 1 };
  const regions = ['noord', 'midden', 'zuid'].map((id) => createRegion(id, weights, spec, load));
  return { name: 'ezelpad', regions };
}

/** Trinacria: 3 regions of 10 workers, fragmentation weighs more. */
export function createTrinacria(load: number): Deployment {
  const spec = { accelerators: 8, cores: 128, memoryMb: 256_000 };
  const weights = { completion: 1, fragmentation: 4 };
  const regions = ['catania', 'palermo', 'trapani'].map((id) =>
    createRegion(id, weights, spec, load),
  );
  return { name: 'trinacria', regions };
}

const designKinds: JobKind[] = [
  createKind(40, 1, 1, Adjacency.DataCentre, long),
  createKind(15, 2, 1, Adjacency.Rack, long),
  createKind(12, 4, 1, Adjacency.Rack, long),
  createKind(10, 8, 1, Adjacency.Rack, long),
  createKind(8, 16, 1, Adjacency.DataCentre, long),
  createKind(5, 32, 1, Adjacency.DataCentre, long),
  createKind(3, 64, 1, Adjacency.DataCentre, long),
  createKind(2, 128, 1, Adjacency.DataCentre, long),
];

function createDesignRegion(
  region: string,
  sites: readonly string[],
  jobs: number,
  load: number,
): RegionSetup {
  const spec = { accelerators: 1, cores: 32, memoryMb: 64_000 };
  const accounts: AccountSpec[] = Array.from({ length: 22 }, (_, index) => {
    const site = sites[index % sites.length] ?? '';
    const guarantees = [
      index % 4 === 0 ? createGuarantee(site, 32, Adjacency.DataCentre, 1) : undefined,
      index % 3 === 0 ? createGuarantee(site, 8, Adjacency.Rack, 1) : undefined,
      createGuarantee(site, 1, Adjacency.Worker, 4),
    ].filter((item) => item !== undefined);
    return { id: `account${index}`, weight: 1 + (index % 3), quotaAccelerators: 300, guarantees };
  });
  return {
    name: region,
    workers: sites.flatMap((site) => createWorkers(site, 300, spec, 16)),
    config: createConfig(accounts, { completion: 1, fragmentation: 1 }, sites),
    accountShares: accounts.map(({ id }, index) => [id, 1 + (index % 5)]),
    jobKinds: designKinds,
    jobs,
    load,
    bursts: [
      { count: 3, kind: createKind(1, 1, 1, Adjacency.DataCentre, [1.3, 60, 3600]), jobs: 200 },
      { count: 2, kind: createKind(1, 64, 1, Adjacency.DataCentre, [1.3, 600, 21_600]), jobs: 4 },
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
