import { rm } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { LogLevel } from '@bergamotreach/protocol';
import { startCluster, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';
import { createLayout, region, writeFolder } from './folder.ts';
import type { ClusterSize } from './folder.ts';
import { measureUsage } from './sample.ts';
import type { Usage } from './sample.ts';
import { updateConfig, measureUrgentStart, sendRequests, startTasks } from './work.ts';

/** One measured size of one role. */
export interface Point {
  x: number;
  usage: Usage;
  /** Further figures of this size, as `key=value`. */
  note: string;
}

/** A role of a daemon, with what it grows with. */
export interface Role {
  name: string;
  /** Unit of the sizes. */
  unit: string;
  sizes: number[];
  /** Size at the design size. */
  designSize: number;
  measure(size: number): Promise<Point>;
}

const seed = 7;
const settleMs = 6000;
const sampleMs = 10_000;
const startTimeoutMs = 15_000;
const small: ClusterSize = { daemons: 3, workers: 10, endpoints: 10 };
// 19,000 tasks on 1,500 workers.
const tasksPerWorker = 12.67;

async function runOnCluster<T>(
  size: ClusterSize,
  action: (cluster: Cluster, owner: DaemonProcess, other: DaemonProcess) => Promise<T>,
): Promise<T> {
  const folder = await writeFolder(size.workers);
  const layout = createLayout(size);
  const options = { layout, daemonsPerRegion: size.daemons, seed, logLevel: LogLevel.Warn };
  const cluster = await startCluster(options);
  try {
    await cluster.applyFolder(folder);
    const owner = await waitUntil('an owner', startTimeoutMs, async () =>
      cluster.findOwner(region),
    );
    const other = cluster.daemons.find((daemon) => daemon !== owner) ?? owner;
    await sleep(settleMs);
    return await action(cluster, owner, other);
  } finally {
    await cluster.stop();
    await rm(folder, { recursive: true, force: true });
  }
}

async function measureOwner(workers: number): Promise<Point> {
  return runOnCluster({ ...small, workers }, async (cluster, owner, other) => {
    const tasks = await startTasks(cluster, other, Math.round(workers * tasksPerWorker));
    await sleep(settleMs);
    const usage = await measureUsage(owner.pid, sampleMs);
    const urgent = [];
    for (let index = 0; index < 3; index += 1) {
      urgent.push(await measureUrgentStart(cluster, other, `urgent-${index}`));
    }
    const times = urgent.map((time) => time.toFixed(0)).join('/');
    return { x: workers, usage, note: `tasks=${tasks} urgentStartMs=${times}` };
  });
}

async function measureRouter(perSecond: number): Promise<Point> {
  return runOnCluster({ ...small, endpoints: 30 }, async (cluster, _owner, other) => {
    const load = sendRequests(cluster, other, perSecond, sampleMs + 2000);
    await sleep(1000);
    const usage = await measureUsage(other.pid, sampleMs);
    return { x: perSecond, usage, note: `answered=${await load}` };
  });
}

/** All daemons grant for some of the endpoints, so the busiest of them is reported. */
async function measureGrantor(endpoints: number): Promise<Point> {
  return runOnCluster({ ...small, endpoints }, async (cluster, owner) => {
    const others = cluster.daemons.filter((daemon) => daemon !== owner);
    const usages = await Promise.all(others.map(({ pid }) => measureUsage(pid, sampleMs)));
    usages.sort((left, right) => right.cpuPercent - left.cpuPercent);
    const [usage] = usages;
    if (usage === undefined) throw new Error('no daemon but the owner');
    return { x: endpoints, usage, note: '' };
  });
}

async function measureMember(daemons: number): Promise<Point> {
  return runOnCluster({ ...small, daemons }, async (cluster, _owner, other) => {
    const usage = await measureUsage(other.pid, sampleMs);
    const inForceMs = await updateConfig(cluster, 0);
    return { x: daemons, usage, note: `inForceMs=${inForceMs.toFixed(0)}` };
  });
}

async function measurePoller(perMinute: number): Promise<Point> {
  return runOnCluster(small, async (cluster, _owner, other) => {
    const times: number[] = [];
    const count = Math.round((perMinute * sampleMs) / 60_000);
    const runChanges = async (): Promise<void> => {
      for (let index = 0; index < count; index += 1) {
        times.push(await updateConfig(cluster, index));
        await sleep(Math.max(0, sampleMs / count - (times.at(-1) ?? 0)));
      }
    };
    const changing = runChanges();
    const usage = await measureUsage(other.pid, sampleMs);
    await changing;
    const note = times.length === 0 ? '' : `inForceMs=${Math.max(...times).toFixed(0)}`;
    return { x: perMinute, usage, note };
  });
}

/** The roles, with sizes that one machine holds. The design size is that of one region or node. */
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
