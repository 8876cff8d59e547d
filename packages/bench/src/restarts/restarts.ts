import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { ezelpadLayout } from '@bergamotreach/standin';
import type { PlatformLayout } from '@bergamotreach/standin';
import { readFolder, startCluster } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';
import { startBalancer } from './balancer.ts';
import type { Balancer } from './balancer.ts';
import { startOpenLoad } from './load.ts';
import type { OpenLoadResult } from './load.ts';

/** Options of the restarts benchmark. */
export interface RestartsOptions {
  restarts: number;
  requestsPerSecond: number;
  daemonsPerRegion: number;
  /** Slots of each endpoint. */
  slots: number;
  /** Longest request in the configuration in milliseconds; 0 for that of the example. */
  maxRequestMs: number;
  /** No restart begins after this time. */
  maxRunMs: number;
}

/** Figures of the restarts benchmark. */
export interface RestartsResult extends Omit<OpenLoadResult, 'latenciesMs'> {
  restarts: number;
  /** Daemons that exited with another code than 0. */
  badExits: string[];
  /** Requests refused, cut off, wrong or without a daemon; the target is 0. */
  failed: number;
  /** Median and largest time from SIGTERM to the exit. */
  drainMs: { p50: number; max: number };
  /** Median and largest time from the start of the process to a passed health check. */
  startMs: { p50: number; max: number };
  latencyMs: { p50: number; p99: number; max: number };
  runMs: number;
}

interface RestartTimes {
  drainMs: number[];
  startMs: number[];
  badExits: string[];
}

// Work of 250 ms keeps requests in progress at any moment of a drain at this small rate.
const workMs = 250;
const baseLayout: PlatformLayout = { ...ezelpadLayout, endpointsPerDataCentre: 2 };
const folder = 'examples/ezelpad';
const readyTimeoutMs = 15_000;
const exitTimeoutMs = 60_000;
const warmUpMs = 2000;
const accounts = ['lamapost', 'veldroute', 'bergpad', 'dagtocht'];
const jobEvery = 20;
const seed = 11;
const badExitLogLines = 6;

/** Value below which a share of the sorted values lies, rounded to milliseconds. */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

async function waitExit(daemon: DaemonProcess): Promise<number | string> {
  const limit = new AbortController();
  const late = sleep(exitTimeoutMs, 'no exit', { signal: limit.signal }).catch(() => 'aborted');
  const code = await Promise.race([daemon.exited, late]);
  limit.abort();
  return code;
}

/** Last lines of a daemon's log; the folder is removed when the benchmark ends. */
async function readLogEnd(cluster: Cluster, id: string): Promise<string> {
  const text = await readFile(join(cluster.directory, `${id}.log`), 'utf8').catch(() => '');
  return text.split('\n').slice(-badExitLogLines).join(' | ');
}

async function restartDaemon(
  cluster: Cluster,
  balancer: Balancer,
  daemon: DaemonProcess,
  times: RestartTimes,
): Promise<void> {
  const { id, region } = daemon.settings;
  const stopMs = performance.now();
  daemon.sendSignal('SIGTERM');
  const code = await waitExit(daemon);
  times.drainMs.push(performance.now() - stopMs);
  if (code !== 0) times.badExits.push(`${id}: ${code}; ${await readLogEnd(cluster, id)}`);
  balancer.removeDaemon(daemon);
  cluster.platform.registry.removeInstance(id);
  const startMs = performance.now();
  const replacement = await cluster.addDaemon(region);
  balancer.addDaemon(replacement);
  await balancer.waitReady(replacement, readyTimeoutMs);
  times.startMs.push(performance.now() - startMs);
}

/** Restarts the daemons of one region in turn, oldest first; at most one is away at a time. */
async function runRegion(
  cluster: Cluster,
  balancer: Balancer,
  region: string,
  times: RestartTimes,
  takeTurn: () => boolean,
): Promise<void> {
  while (takeTurn()) {
    const running = cluster.daemons.filter(
      (daemon) => daemon.settings.region === region && !daemon.hasExited(),
    );
    const oldest = running[0];
    if (oldest === undefined) throw new Error(`no daemon runs in ${region}`);
    await restartDaemon(cluster, balancer, oldest, times);
  }
}

function buildResult(load: OpenLoadResult, times: RestartTimes, runMs: number): RestartsResult {
  const { latenciesMs, ...counts } = load;
  const computeSpread = (values: number[]): { p50: number; max: number } => ({
    p50: getQuantile(values, 0.5),
    max: getQuantile(values, 1),
  });
  return {
    restarts: times.startMs.length,
    ...counts,
    failed: load.sent - load.answered,
    badExits: times.badExits,
    drainMs: computeSpread(times.drainMs),
    startMs: computeSpread(times.startMs),
    latencyMs: { ...computeSpread(latenciesMs), p99: getQuantile(latenciesMs, 0.99) },
    runMs: Math.round(runMs),
  };
}

/** Puts the example in force, with another limit of a request when the options name one. */
async function applyConfig(cluster: Cluster, options: RestartsOptions): Promise<void> {
  const files = await readFolder(folder);
  const { maxRequestMs } = options;
  if (maxRequestMs > 0) {
    const services = { [baseLayout.service]: { maxRequestMs } };
    const limits = { maxRequestMs, defaultRequestMs: maxRequestMs };
    files['90-bench.json'] = JSON.stringify({ services, limits });
  }
  const directory = join(cluster.directory, 'config');
  await mkdir(directory);
  for (const [name, text] of Object.entries(files)) await writeFile(join(directory, name), text);
  await cluster.applyFolder(directory);
}

async function runOnCluster(cluster: Cluster, options: RestartsOptions): Promise<RestartsResult> {
  await applyConfig(cluster, options);
  const balancer = startBalancer(cluster);
  const times: RestartTimes = { drainMs: [], startMs: [], badExits: [] };
  try {
    for (const daemon of cluster.daemons) balancer.addDaemon(daemon);
    for (const daemon of cluster.daemons) await balancer.waitReady(daemon, readyTimeoutMs);
    const { requestsPerSecond } = options;
    const tokens = accounts.map((account) => `${baseLayout.name}-${account}-demo-token`);
    const { service } = baseLayout;
    const load = startOpenLoad({ balancer, service, tokens, requestsPerSecond, jobEvery });
    await sleep(warmUpMs);
    const startMs = performance.now();
    let left = options.restarts;
    const takeTurn = (): boolean => {
      left -= 1;
      return left >= 0 && performance.now() - startMs < options.maxRunMs;
    };
    await Promise.all(
      baseLayout.regions.map(({ region }) => runRegion(cluster, balancer, region, times, takeTurn)),
    );
    return buildResult(await load.finish(), times, performance.now() - startMs);
  } finally {
    balancer.stop();
  }
}

/** Restarts daemons under an open load, one at a time in each of three regions. */
export async function runRestarts(options: RestartsOptions): Promise<RestartsResult> {
  const { daemonsPerRegion, slots } = options;
  const endpoint = { ...baseLayout.endpoint, slots, workMs };
  const layout = { ...baseLayout, endpoint };
  const cluster = await startCluster({ layout, daemonsPerRegion, seed });
  try {
    return await runOnCluster(cluster, options);
  } finally {
    await cluster.stop();
  }
}
