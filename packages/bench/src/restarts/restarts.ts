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
  /** `maxRequestMs` of the configuration; 0 keeps the value of the example. */
  maxRequestMs: number;
  /** Time after which no further restart begins. */
  maxRunMs: number;
}

/** Results of the restarts benchmark. */
export interface RestartsResult extends Omit<OpenLoadResult, 'latenciesMs'> {
  restarts: number;
  /** Daemons whose exit code was not 0, with the last lines of their log. */
  badExits: string[];
  /** Requests that were refused, cut off, answered wrongly or not sent; the target is 0. */
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

// Requests of 250 ms, so that even at the low default rate some are in flight during every drain.
const workMs = 250;
const baseLayout: PlatformLayout = { ...ezelpadLayout, endpointsPerDataCentre: 2 };
const folder = 'examples/ezelpad';
const readyTimeoutMs = 15_000;
const exitTimeoutMs = 60_000;
const warmUpMs = 2000;
const accounts = ['lamapost', 'veldroute', 'bergpad', 'dagtocht'];
const requestsPerJob = 20;
const seed = 11;
const badExitLogLines = 6;

/** Value below which the given share of the values lies, rounded to a whole number. */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

async function waitForExit(daemon: DaemonProcess): Promise<number | string> {
  const controller = new AbortController();
  const timeout = sleep(exitTimeoutMs, 'no exit', { signal: controller.signal }).catch(
    () => 'aborted',
  );
  const code = await Promise.race([daemon.exited, timeout]);
  controller.abort();
  return code;
}

/** Last lines of a daemon's log, read now because the folder is removed when the benchmark ends. */
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
  const code = await waitForExit(daemon);
  times.drainMs.push(performance.now() - stopMs);
  if (code !== 0) times.badExits.push(`${id}: ${code}; ${await readLogEnd(cluster, id)}`);
  balancer.removeDaemon(daemon);
  cluster.platform.registry.removeInstance(id);
  const startMs = performance.now();
  const replacement = await cluster.addDaemon(region);
  balancer.addDaemon(replacement);
  await balancer.waitForReady(replacement, readyTimeoutMs);
  times.startMs.push(performance.now() - startMs);
}

/**
 * Restarts the daemons of one region, oldest first and at most one at a time, until `claimRestart`
 * returns false.
 */
async function restartRegion(
  cluster: Cluster,
  balancer: Balancer,
  region: string,
  times: RestartTimes,
  claimRestart: () => boolean,
): Promise<void> {
  while (claimRestart()) {
    const running = cluster.daemons.filter(
      (daemon) => daemon.settings.region === region && !daemon.hasExited(),
    );
    const oldest = running[0];
    if (oldest === undefined) throw new Error(`no daemon is running in ${region}`);
    await restartDaemon(cluster, balancer, oldest, times);
  }
}

function buildResult(load: OpenLoadResult, times: RestartTimes, runMs: number): RestartsResult {
  const { latenciesMs, ...counts } = load;
  const computeMedianAndMax = (values: number[]): { p50: number; max: number } => ({
    p50: getQuantile(values, 0.5),
    max: getQuantile(values, 1),
  });
  return {
    restarts: times.startMs.length,
    ...counts,
    failed: load.sent - load.answered,
    badExits: times.badExits,
    drainMs: computeMedianAndMax(times.drainMs),
    startMs: computeMedianAndMax(times.startMs),
    latencyMs: { ...computeMedianAndMax(latenciesMs), p99: getQuantile(latenciesMs, 0.99) },
    runMs: Math.round(runMs),
  };
}

/** Applies the example configuration, with `maxRequestMs` replaced if the options set it. */
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

async function measureOnCluster(
  cluster: Cluster,
  options: RestartsOptions,
): Promise<RestartsResult> {
  await applyConfig(cluster, options);
  const balancer = startBalancer(cluster);
  const times: RestartTimes = { drainMs: [], startMs: [], badExits: [] };
  try {
    for (const daemon of cluster.daemons) balancer.addDaemon(daemon);
    for (const daemon of cluster.daemons) await balancer.waitForReady(daemon, readyTimeoutMs);
    const { requestsPerSecond } = options;
    const tokens = accounts.map((account) => `${baseLayout.name}-${account}-demo-token`);
    const { service } = baseLayout;
    const load = startOpenLoad({ balancer, service, tokens, requestsPerSecond, requestsPerJob });
    await sleep(warmUpMs);
    const startMs = performance.now();
    let remaining = options.restarts;
    const claimRestart = (): boolean => {
      remaining -= 1;
      return remaining >= 0 && performance.now() - startMs < options.maxRunMs;
    };
    await Promise.all(
      baseLayout.regions.map(({ region }) =>
        restartRegion(cluster, balancer, region, times, claimRestart),
      ),
    );
    return buildResult(await load.finish(), times, performance.now() - startMs);
  } finally {
    balancer.stop();
  }
}

/** Restarts daemons under an open-loop load, one at a time in each of three regions. */
export async function runRestarts(options: RestartsOptions): Promise<RestartsResult> {
  const { daemonsPerRegion, slots } = options;
  const endpoint = { ...baseLayout.endpoint, slots, workMs };
  const layout = { ...baseLayout, endpoint };
  const cluster = await startCluster({ layout, daemonsPerRegion, seed });
  try {
    return await measureOnCluster(cluster, options);
  } finally {
    await cluster.stop();
  }
}
