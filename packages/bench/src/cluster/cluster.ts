import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises';
import { findFreePort } from '../ports.ts';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonSettings } from '@bergamotreach/daemon';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import { LogLevel, computeHash, createSystemClock } from '@bergamotreach/protocol';
import { startPlatform } from '@bergamotreach/standin';
import type { PlatformLayout, StandinPlatform } from '@bergamotreach/standin';
import { callHttp, callJson } from './client.ts';
import { startDaemonProcess } from './daemonprocess.ts';
import type { DaemonProcess } from './daemonprocess.ts';

/** Operator token that every daemon of a cluster accepts. */
export const operatorToken = 'demo-operator-token';

const peerSecret = 'demo-peer-secret-0123456789';

/** Options of a cluster. */
export interface ClusterOptions {
  layout: PlatformLayout;
  daemonsPerRegion: number;
  /** Seed of the stand-in's random faults. */
  seed: number;
  logLevel?: LogLevel;
}

/** The stand-in platform, running in this process, with daemons as child processes. */
export interface Cluster {
  platform: StandinPlatform;
  daemons: DaemonProcess[];
  /** Folder with the settings and logs of the daemons; removed by `stop`. */
  directory: string;
  /** Starts another daemon in a region and adds it to the instance list. */
  addDaemon(region: string): Promise<DaemonProcess>;
  /** URL of a daemon's HTTP interface. */
  getUrl(daemon: DaemonProcess): string;
  /**
   * Applies the configuration files of a folder and waits until every running daemon has the new
   * revision; returns that revision.
   */
  applyFolder(directory: string): Promise<number>;
  /** Fetches the state dump of a daemon. */
  loadDump(daemon: DaemonProcess): Promise<Record<string, unknown>>;
  /** The running daemon that holds the lease of a region; `undefined` if there is none. */
  findOwner(region: string): Promise<DaemonProcess | undefined>;
  /** Kills every daemon of this cluster and closes the stand-in platform. */
  stop(): Promise<void>;
}

const noCapacity = { accelerators: 0, cores: 0, memoryMb: 0, slots: 0, connections: 0 };
const pollMs = 50;

/**
 * Polls until `check` returns a value; a rejection of `check` counts as none. Rejects after
 * `timeoutMs`.
 */
export async function waitUntil<T>(
  condition: string,
  timeoutMs: number,
  check: () => Promise<T | undefined>,
): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    const value = await check().catch(() => undefined);
    if (value !== undefined) return value;
    await sleep(pollMs);
  }
  throw new Error(`timed out after ${timeoutMs} ms waiting for ${condition}`);
}

async function createSettings(
  region: string,
  index: number,
  platform: StandinPlatform,
  seeds: string[],
  logLevel: LogLevel,
): Promise<DaemonSettings> {
  return {
    id: `${region}-d${index}`,
    region,
    dataCentre: `${region}-1`,
    httpAddress: `127.0.0.1:${await findFreePort()}`,
    peerAddress: `127.0.0.1:${await findFreePort()}`,
    platformUrl: `http://${platform.address}`,
    seeds,
    peerSecret,
    operatorTokenHash: computeHash(operatorToken),
    logLevel,
  };
}

function createInstance(settings: DaemonSettings): Instance {
  return {
    id: settings.id,
    kind: InstanceKind.Daemon,
    address: settings.peerAddress,
    region: settings.region,
    dataCentre: settings.dataCentre,
    rack: '',
    service: '',
    state: InstanceState.Live,
    capacity: noCapacity,
  };
}

/** Reads the JSON files of a folder; maps file names to contents. */
export async function readFolder(directory: string): Promise<Record<string, string>> {
  const names = (await readdir(directory)).filter((name) => name.endsWith('.json')).sort();
  const entries = await Promise.all(
    names.map(async (name) => [name, await readFile(join(directory, name), 'utf8')] as const),
  );
  return Object.fromEntries(entries);
}

/** Starts the stand-in platform and `daemonsPerRegion` daemons in each of its regions. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const { layout, seed } = options;
  const logLevel = options.logLevel ?? LogLevel.Info;
  const clock = createSystemClock();
  const platform = await startPlatform({ layout, clock, host: '127.0.0.1', port: 0, seed });
  const directory = await mkdtemp(join(tmpdir(), 'bergamotreach-'));
  const daemons: DaemonProcess[] = [];

  const getUrl = (daemon: DaemonProcess): string => `http://${daemon.settings.httpAddress}`;

  async function addDaemon(region: string): Promise<DaemonProcess> {
    const seeds = daemons.slice(0, 2).map((daemon) => daemon.settings.peerAddress);
    const index = daemons.filter((daemon) => daemon.settings.region === region).length;
    const settings = await createSettings(region, index, platform, seeds, logLevel);
    const daemon = await startDaemonProcess(settings, directory);
    daemons.push(daemon);
    platform.registry.putInstance(createInstance(settings));
    return daemon;
  }

  async function isReachable(daemon: DaemonProcess): Promise<true | undefined> {
    const response = await callHttp(`${getUrl(daemon)}/v1/health`);
    return response.status > 0 ? true : undefined;
  }

  async function loadRevision(daemon: DaemonProcess): Promise<number> {
    const url = `${getUrl(daemon)}/v1/config`;
    return (await callJson<{ revision: number }>(url, { token: operatorToken })).revision;
  }

  async function applyFolder(folder: string): Promise<number> {
    const running = daemons.filter((daemon) => !daemon.hasExited());
    const first = running[0];
    if (first === undefined) throw new Error('no daemon is running');
    const { revision } = await callJson<{ revision: number }>(`${getUrl(first)}/v1/config`, {
      method: 'POST',
      token: operatorToken,
      body: {
        baseRevision: await loadRevision(first),
        put: await readFolder(folder),
        remove: [],
        operationId: `apply-${performance.now()}`,
      },
    });
    for (const daemon of running) {
      await waitUntil(`revision ${revision} on ${daemon.settings.id}`, 15_000, async () =>
        (await loadRevision(daemon)) >= revision ? true : undefined,
      );
    }
    return revision;
  }

  async function loadDump(daemon: DaemonProcess): Promise<Record<string, unknown>> {
    return callJson(`${getUrl(daemon)}/v1/dump`, { token: operatorToken });
  }

  async function isOwner(daemon: DaemonProcess): Promise<boolean> {
    const dump = await loadDump(daemon);
    const { lease } = dump.owner as { lease: { state: string } };
    return lease.state === 'holding';
  }

  async function findOwner(region: string): Promise<DaemonProcess | undefined> {
    for (const daemon of daemons) {
      if (daemon.settings.region !== region || daemon.hasExited()) continue;
      if (await isOwner(daemon).catch(() => false)) return daemon;
    }
    return undefined;
  }

  async function stop(): Promise<void> {
    for (const daemon of daemons) {
      if (!daemon.hasExited()) daemon.sendSignal('SIGKILL');
    }
    await Promise.all(daemons.map((daemon) => daemon.exited));
    await platform.close();
    await rm(directory, { recursive: true, force: true });
  }

  const cluster: Cluster = {
    platform,
    daemons,
    directory,
    addDaemon,
    getUrl,
    applyFolder,
    loadDump,
    findOwner,
    stop,
  };
  try {
    for (let index = 0; index < options.daemonsPerRegion; index += 1) {
      for (const { region } of layout.regions) await addDaemon(region);
    }
    platform.registry.publishNow();
    for (const daemon of daemons) {
      await waitUntil(`start of ${daemon.settings.id}`, 15_000, async () => isReachable(daemon));
    }
    return cluster;
  } catch (error) {
    await stop();
    throw error;
  }
}
