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

/** Endpoints, slots per endpoint and time per request in the measured region. */
export const testbedSize = { endpoints: 4, slots: 4, workMs: 100 };

/** Requests per second that the slots of one region allow. */
export const nominalPerSecond =
  (testbedSize.endpoints * testbedSize.slots * 1000) / testbedSize.workMs;

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
  endpointsPerDataCentre: testbedSize.endpoints,
  endpoint: { slots: testbedSize.slots, connections: 60, workMs: testbedSize.workMs },
};

/** Bearer tokens of the benchmark accounts. */
export const accountTokens = { alpha: 'bench-token-alpha', beta: 'bench-token-beta' };

/** A running cluster for measurements. */
export interface Testbed {
  cluster: Cluster;
  /** Daemons of the measured region. */
  daemons: DaemonProcess[];
  /** Daemons of the other region. */
  otherDaemons: DaemonProcess[];
  stop(): Promise<void>;
}

/** Writes the benchmark configuration to a temporary folder; returns its path. */
export async function writeConfigFolder(): Promise<string> {
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

/**
 * Starts the stand-in platform and two daemons in each of two regions, with the benchmark accounts.
 */
export async function startTestbed(): Promise<Testbed> {
  const cluster = await startCluster({
    layout,
    daemonsPerRegion: 2,
    seed,
    logLevel: LogLevel.Warn,
  });
  const folder = await writeConfigFolder();
  await cluster.applyFolder(folder);
  await rm(folder, { recursive: true });
  const { daemons } = cluster;
  for (const daemon of daemons) {
    await waitUntil('slots at every daemon', readyTimeoutMs, async () => hasSlots(cluster, daemon));
  }
  return {
    cluster,
    daemons: daemons.filter((daemon) => daemon.settings.region === 'noord'),
    otherDaemons: daemons.filter((daemon) => daemon.settings.region !== 'noord'),
    stop: async () => cluster.stop(),
  };
}

/** Targets of a load that is sent through daemons. */
export function listDaemonTargets(
  testbed: Testbed,
  daemons = testbed.daemons,
): LoadSpec['targets'] {
  return daemons.map((daemon) => ({
    origin: testbed.cluster.getUrl(daemon),
    path: `/v1/services/${service}/requests`,
  }));
}

/** Targets of a load that is sent directly to the endpoints of the measured region. */
export function listDirectTargets(testbed: Testbed): LoadSpec['targets'] {
  return [...testbed.cluster.platform.endpoints]
    .filter(([id]) => id.startsWith('noord'))
    .map(([, endpoint]) => ({ origin: `http://${endpoint.address}`, path: '/' }));
}

const runFile = promisify(execFile);
const loadScript = fileURLToPath(new URL('loadprocess.ts', import.meta.url));

/** Runs a load in a separate process. */
export async function runLoadProcess(spec: LoadSpec): Promise<LoadResult> {
  const args = ['--import', 'tsx', loadScript, JSON.stringify(spec)];
  const { stdout } = await runFile(process.execPath, args, { maxBuffer: 16 * 1024 * 1024 });
  return JSON.parse(stdout) as LoadResult;
}

const ticksPerSecond = 100;

/** CPU time of a process so far in milliseconds, and its resident memory in MB (2^20 bytes). */
export async function readUsage(pid: number): Promise<{ cpuMs: number; residentMb: number }> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/u.exec(status)?.[1] ?? 0);
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { cpuMs: (ticks * 1000) / ticksPerSecond, residentMb: residentKb / 1024 };
}
