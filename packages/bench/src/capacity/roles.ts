import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { LogLevel } from '@bergamotreach/protocol';
import { startCluster, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';
import { createLayout, region, writeConfigFolder } from './folder.ts';
import type { ClusterSize } from './folder.ts';
import { measureUsage } from './sample.ts';
import type { Usage } from './sample.ts';
import { measureUrgentStart, sendRequests, startTasks, updateConfig } from './load.ts';

/** Measurements of one role at size `x`. */
export interface Point {
  x: number;
  usage: Usage;
  /** Further results at this size, as `key=value`. */
  note: string;
}

/** A role of a daemon and the quantity that its cost depends on. */
export interface Role {
  name: string;
  /** Quantity and unit of the sizes. */
  unit: string;
  sizes: number[];
  /** Size of this quantity in the design, for one region or daemon. */
  designSize: number;
  measure(size: number): Promise<Point>;
}

const seed = 7;
const settleMs = 6000;
const sampleMs = 10_000;
const startTimeoutMs = 15_000;
const baseSize: ClusterSize = { daemons: 3, workers: 10, endpoints: 10 };
// 19,000 tasks on 1,500 workers, as in the design size.
const tasksPerWorker = 12.67;

async function runOnCluster<T>(
  size: ClusterSize,
  action: (cluster: Cluster, owner: DaemonProcess, nonOwner: DaemonProcess) => Promise<T>,
): Promise<T> {
  const folder = await writeConfigFolder(size.workers);
  const layout = createLayout(size);
  const options = { layout, daemonsPerRegion: size.daemons, seed, logLevel: LogLevel.Warn };
  const cluster = await startCluster(options);
  try {
    await cluster.applyFolder(folder);
    const owner = await waitUntil('an owner', startTimeoutMs, async () =>
      cluster.findOwner(region),
    );
    const nonOwner = cluster.daemons.find((daemon) => daemon !== owner) ?? owner;
    await sleep(settleMs);
    return await action(cluster, owner, nonOwner);
  } finally {
    await cluster.stop();
    await rm(folder, { recursive: true, force: true });
  }
}

async function measureOwner(workers: number): Promise<Point> {
  return runOnCluster({ ...baseSize, workers }, async (cluster, owner, nonOwner) => {
    const tasks = await startTasks(cluster, nonOwner, Math.round(workers * tasksPerWorker));
    await sleep(settleMs);
    const usage = await measureUsage(owner.pid, sampleMs);
    const startTimes = [];
    for (let index = 0; index < 3; index += 1) {
      startTimes.push(await measureUrgentStart(cluster, nonOwner, `urgent-${index}`));
    }
    const times = startTimes.map((time) => time.toFixed(0)).join('/');
    return { x: workers, usage, note: `tasks=${tasks} urgentStartMs=${times}` };
  });
}

async function measureRouter(perSecond: number): Promise<Point> {
  return runOnCluster({ ...baseSize, endpoints: 30 }, async (cluster, _owner, nonOwner) => {
    const load = sendRequests(cluster, nonOwner, perSecond, sampleMs + 2000);
    await sleep(1000);
    const usage = await measureUsage(nonOwner.pid, sampleMs);
    return { x: perSecond, usage, note: `answered=${await load}` };
  });
}

/**
 * Every daemon grants slots of some endpoints, so the busiest one besides the owner is reported.
 */
async function measureGrantor(endpoints: number): Promise<Point> {
  return runOnCluster({ ...baseSize, endpoints }, async (cluster, owner) => {
    const nonOwners = cluster.daemons.filter((daemon) => daemon !== owner);
    const usages = await Promise.all(nonOwners.map(({ pid }) => measureUsage(pid, sampleMs)));
    usages.sort((left, right) => right.cpuPercent - left.cpuPercent);
    const [usage] = usages;
    if (usage === undefined) throw new Error('no daemon but the owner');
    return { x: endpoints, usage, note: '' };
  });
}

async function measureMember(daemons: number): Promise<Point> {
  return runOnCluster({ ...baseSize, daemons }, async (cluster, _owner, nonOwner) => {
    const usage = await measureUsage(nonOwner.pid, sampleMs);
    const inForceMs = await updateConfig(cluster, 0);
    return { x: daemons, usage, note: `inForceMs=${inForceMs.toFixed(0)}` };
  });
}

async function measurePoller(perMinute: number): Promise<Point> {
  return runOnCluster(baseSize, async (cluster, _owner, nonOwner) => {
    const times: number[] = [];
    const count = Math.round((perMinute * sampleMs) / 60_000);
    const runChanges = async (): Promise<void> => {
      for (let index = 0; index < count; index += 1) {
        times.push(await updateConfig(cluster, index));
        await sleep(Math.max(0, sampleMs / count - (times.at(-1) ?? 0)));
      }
    };
    const changing = runChanges();
    const usage = await measureUsage(nonOwner.pid, sampleMs);
    await changing;
    const note = times.length === 0 ? '' : `inForceMs=${Math.max(...times).toFixed(0)}`;
    return { x: perMinute, usage, note };
  });
}

/** The measured roles, with sizes that fit on one machine. */
export const roles: Role[] = [
  { name: 'member', unit: 'daemons', sizes: [2, 5, 9], designSize: 9, measure: measureMember },
  {
    name: 'region owner',
    unit: 'workers, 12.67 tasks each',
    sizes: [20, 60, 120],
    designSize: 750,
    measure: measureOwner,
  },
  {
    name: 'grantor',
    unit: 'endpoints',
    sizes: [10, 30, 60],
    designSize: 30,
    measure: measureGrantor,
  },
  {
    name: 'router',
    unit: 'requests/s',
    sizes: [20, 60, 120],
    designSize: 100,
    measure: measureRouter,
  },
  {
    name: 'configuration poller',
    unit: 'changes/min',
    sizes: [0, 30, 60],
    designSize: 1.2,
    measure: measurePoller,
  },
];
