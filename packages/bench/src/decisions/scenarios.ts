import type { LoadProfile, QueueProfile } from './load.ts';
import type { FleetSpec } from './simulation.ts';

/** A load and the fleet on which it runs. */
export interface Scenario {
  name: string;
  load: LoadProfile;
  fleet: FleetSpec;
}

const fleet: FleetSpec = {
  racks: 4,
  workersPerRack: 8,
  capacity: { cpuMillis: 128_000, memoryMb: 262_144, accelerators: 8 },
  guarantees: new Map([
    ['a1', 40],
    ['a2', 40],
    ['a3', 30],
    ['a4', 30],
  ]),
  ownerGaps: [],
  slow: [],
  failing: [],
  spreadFactor: 3,
  stopMs: 300,
  reclaimMs: 2900,
  restoreMs: 600,
};

const calm: LoadProfile = {
  queues: [
    {
      queue: 'urgent',
      priority: 0,
      jobsPerSecond: 1.07,
      tasks: { mean: 3.4, spread: 0.8, max: 21 },
      taskMs: { mean: 2500, spread: 0.5, max: 8000 },
      cpuMillis: 15_000,
      memoryMb: 31_000,
      accelerators: [1, 2, 4, 8, 8],
      isGang: true,
      rackBoundShare: 0.8,
      checkpointShare: 0,
      stretch: 1.5,
      targetMs: 500,
    },
    {
      queue: 'study',
      priority: 1,
      jobsPerSecond: 0.44,
      tasks: { mean: 5, spread: 0.8, max: 30 },
      taskMs: { mean: 8500, spread: 0.3, max: 11_000 },
      cpuMillis: 52_000,
      memoryMb: 75_000,
      accelerators: [1, 2, 4, 8, 8],
      isGang: true,
      rackBoundShare: 0.6,
      checkpointShare: 0.45,
      stretch: 3,
      targetMs: 1200,
    },
    {
      queue: 'batch',
      priority: 2,
      jobsPerSecond: 0.33,
      tasks: { mean: 16, spread: 0.8, max: 94 },
      taskMs: { mean: 9500, spread: 0.3, max: 11_000 },
      cpuMillis: 11_000,
      memoryMb: 23_000,
      accelerators: [1],
      isGang: false,
      rackBoundShare: 0,
      checkpointShare: 0.45,
      stretch: 3,
      targetMs: 3000,
    },
  ],
  accounts: [
    ['a1', 4],
    ['a2', 3],
    ['a3', 2],
    ['a4', 1],
  ],
  durationMs: 60_000,
  bursts: [],
  estimateFactor: 1.6,
};

function changeArrivalRate(load: LoadProfile, factor: number): LoadProfile {
  const queues = load.queues.map((queue) => ({
    ...queue,
    jobsPerSecond: queue.jobsPerSecond * factor,
  }));
  return { ...load, queues };
}

const largeFleet: FleetSpec = {
  ...fleet,
  racks: 6,
  workersPerRack: 20,
  guarantees: new Map([
    ['a1', 120],
    ['a2', 120],
    ['a3', 90],
    ['a4', 90],
  ]),
  reclaimMs: 3400,
};

/** Jobs per second and tasks per job of a deployment whose gangs take many whole workers. */
const wideQueues: Readonly<Record<string, Pick<QueueProfile, 'jobsPerSecond' | 'tasks'>>> = {
  urgent: { jobsPerSecond: 2.95, tasks: { mean: 5.4, spread: 0.8, max: 32 } },
  study: { jobsPerSecond: 0.4, tasks: { mean: 13, spread: 0.8, max: 78 } },
  batch: { jobsPerSecond: 0.49, tasks: { mean: 39, spread: 0.8, max: 230 } },
};

const wideGangs: LoadProfile = {
  ...calm,
  queues: calm.queues.map((queue) => ({ ...queue, ...wideQueues[queue.queue] })),
  durationMs: 34_000,
  bursts: [
    { queue: 'urgent', fromMs: 6000, durationMs: 6000, factor: 2.1 },
    { queue: 'study', fromMs: 15_000, durationMs: 4000, factor: 2.6 },
    { queue: 'urgent', fromMs: 20_000, durationMs: 3000, factor: 2 },
  ],
};

/** The scenarios on which policies are compared. */
export const scenarios: readonly Scenario[] = [
  { name: 'calm', load: calm, fleet },
  { name: 'overload', load: changeArrivalRate(calm, 1.3), fleet },
  {
    name: 'bursts',
    load: {
      ...changeArrivalRate(calm, 1.1),
      bursts: [
        { queue: 'urgent', fromMs: 10_000, durationMs: 6000, factor: 2.4 },
        { queue: 'batch', fromMs: 20_000, durationMs: 4000, factor: 3 },
        { queue: 'study', fromMs: 30_000, durationMs: 4000, factor: 3 },
      ],
    },
    fleet,
  },
  {
    name: 'owner-gaps',
    load: calm,
    fleet: {
      ...fleet,
      ownerGaps: [15_000, 35_000, 50_000].map((fromMs) => ({ fromMs, durationMs: 2500 })),
    },
  },
  {
    name: 'bad-workers',
    load: calm,
    fleet: {
      ...fleet,
      slow: [{ fromMs: 10_000, durationMs: 8000, workers: [1, 9, 17, 25, 30], factor: 6 }],
      failing: [{ fromMs: 30_000, durationMs: 7000, workers: [3, 12, 20] }],
    },
  },
  { name: 'wide-gangs', load: wideGangs, fleet: largeFleet },
  {
    name: 'scarce',
    load: {
      ...changeArrivalRate(wideGangs, 1.15),
      accounts: [
        ['a1', 10],
        ['a2', 4],
        ['a3', 2],
        ['a4', 1],
      ],
      estimateFactor: 1.9,
    },
    fleet: largeFleet,
  },
  {
    name: 'uneven',
    load: { ...wideGangs, tail: { share: 0.03, factor: 7 } },
    fleet: { ...largeFleet, speeds: [0.8, 1, 1.25] },
  },
];
