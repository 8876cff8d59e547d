import { execFile } from 'node:child_process';
import { createHash } from 'node:crypto';
import { cp, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { LogLevel } from '@bergamotreach/protocol';
import type { PlatformLayout } from '@bergamotreach/standin';
import { startCluster, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';
import type { LoadResult, LoadSpec } from './loadspec.ts';

/** Endpoints, slots and work time of the measured region. */
export const bedSize = { endpoints: 4, slots: 4, workMs: 100 };

/** Requests per second that the slots of one region allow. */
export const nominalPerSecond = (bedSize.endpoints * bedSize.slots * 1000) / bedSize.workMs;

const service = 'trek-planner';
const seed = 11;
const readyTimeoutMs = 20_000;

const layout: PlatformLayout = {
  name: 'bench',
  service,
  regions: ['noord', 'midden'].map((region) => ({ region, dataCentres: [`${region}-1`] })),
  workersPerDataCentre: 1,
  workersPerRack: 1,
  worker: { accelerators: 8, cores: 32, memoryMb: 65_536 },
  endpointsPerDataCentre: bedSize.endpoints,
  endpoint: { slots: bedSize.slots, connections: 60, workMs: bedSize.workMs },
};

/** Accounts of the bench with their tokens. */
export const accountTokens = { alpha: 'bench-token-alpha', beta: 'bench-token-beta' };

/** Processes to measure. */
export interface Testbed {
  cluster: Cluster;
  /** Daemons of the measured region. */
  daemons: DaemonProcess[];
  /** Daemons of the other region. */
  others: DaemonProcess[];
  stop(): Promise<void>;
}

export async function createFolder(): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bergamotreach-bench-'));
  for (const name of ['10-data-centres.json', '20-placement.json', '30-services.json']) {
    await cp(join('examples/ezelpad', name), join(folder, name));
  }
  for (const [account, token] of Object.entries(accountTokens)) {
    const tokenHash = createHash('sha256').update(token).digest('hex');
    const settings = {
      weight: 1,
      quotaAccelerators: 8,
      guarantees: [],
      tokenHashes: [tokenHash],
      requests: { queueLimit: 400, retryBudget: 0.1, share: 1 },
    };
    const content = JSON.stringify({ accounts: { [account]: settings } });
    await writeFile(join(folder, `account-${account}.json`), content);
  }
  return folder;
}

async function hasSlots(cluster: Cluster, daemon: DaemonProcess): Promise<true | undefined> {
  const dump = await cluster.loadDump(daemon);
  const { endpoints } = dump.router as { endpoints: Record<string, { slots: number }> };
  const own = Object.entries(endpoints).filter(([id]) => id.startsWith(daemon.settings.region));
  return own.some(([, { slots }]) => slots > 0) ? true : undefined;
}

/** Starts a stand-in and two daemons in each of two regions, with the bench's accounts. */
export async function startTestbed(): Promise<Testbed> {
  const cluster = await startCluster({
    layout,
    daemonsPerRegion: 2,
    seed,
    logLevel: LogLevel.Warn,
  });
  const folder = await createFolder();
  await cluster.applyFolder(folder);
  await rm(folder, { recursive: true });
  const { daemons } = cluster;
  for (const daemon of daemons) {
    await waitUntil('slots at every daemon', readyTimeoutMs, async () => hasSlots(cluster, daemon));
  }
  return {
    cluster,
    daemons: daemons.filter((daemon) => daemon.settings.region === 'noord'),
    others: daemons.filter((daemon) => daemon.settings.region !== 'noord'),
    stop: async () => cluster.stop(),
  };
}

/** Targets of a load through daemons. */
export function listDaemonTargets(bed: Testbed, daemons = bed.daemons): LoadSpec['targets'] {
  return daemons.map((daemon) => ({
    origin: bed.cluster.getUrl(daemon),
    path: `/v1/services/${service}/requests`,
  }));
}

/** Targets of a load straight to the endpoints of the measured region. */
export function listDirectTargets(bed: Testbed): LoadSpec['targets'] {
  return [...bed.cluster.platform.endpoints]
    .filter(([id]) => id.startsWith('noord'))
    .map(([, endpoint]) => ({ origin: `http://${endpoint.address}`, path: '/' }));
}

const runFile = promisify(execFile);
const loadScript = fileURLToPath(new URL('loadprocess.ts', import.meta.url));

/** Runs a load in a process of its own. */
export async function runLoadProcess(spec: LoadSpec): Promise<LoadResult> {
  const args = ['--import', 'tsx', loadScript, JSON.stringify(spec)];
  const { stdout } = await runFile(process.execPath, args, { maxBuffer: 16 * 1024 * 1024 });
  return JSON.parse(stdout) as LoadResult;
}

const ticksPerSecond = 100;

/** CPU time used by a process so far in milliseconds, and its resident memory in MB. */
export async function readUsage(pid: number): Promise<{ cpuMs: number; residentMb: number }> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/u.exec(status)?.[1] ?? 0);
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { cpuMs: (ticks * 1000) / ticksPerSecond, residentMb: residentKb / 1024 };
}
