import { createRandom, ezelpadLayout } from '@bergamotreach/standin';
import type { PlatformLayout } from '@bergamotreach/standin';
import { callHttp, callJson, startCluster, waitUntil } from '../cluster/index.ts';
import type { ClientAnswer, Cluster, DaemonProcess } from '../cluster/index.ts';

/** Region of every scene; its daemons share one data centre. */
export const region = 'noord';
/** Members of the gang job that runs in every scene. */
export const gangMembers = 6;

const daemonCount = 3;
const startTimeoutMs = 15_000;
const layout: PlatformLayout = {
  ...ezelpadLayout,
  regions: ezelpadLayout.regions.filter((entry) => entry.region === region),
};
const accounts = ['lamapost', 'veldroute', 'bergpad', 'dagtocht'];

/** Bearer tokens of the accounts that send requests; the first one submits the job. */
export const tokens = accounts.map((account) => `ezelpad-${account}-demo-token`);

/** A running cluster with what the faults need. */
export interface Scene {
  cluster: Cluster;
  service: string;
  jobId: string;
  /** Draws numbers in [0, 1) from the seed. */
  random: () => number;
  /** Broken promises that a fault action found itself. */
  violations: string[];
  /** A daemon that runs. */
  getDaemon(): DaemonProcess;
}

/** Starts the cluster of a scene, with the example configuration in force and an owner. */
export async function startScene(seed: number): Promise<Scene> {
  const cluster = await startCluster({ layout, daemonsPerRegion: daemonCount, seed });
  try {
    await cluster.applyFolder('examples/ezelpad');
    await waitUntil('an owner', startTimeoutMs, async () => cluster.findOwner(region));
  } catch (error) {
    await cluster.stop();
    throw error;
  }
  return {
    cluster,
    service: layout.service,
    jobId: 'lamapost:study',
    random: createRandom(seed),
    violations: [],
    getDaemon() {
      const daemon = cluster.daemons.find((one) => !one.hasExited());
      if (daemon === undefined) throw new Error('no daemon runs');
      return daemon;
    },
  };
}

/** Submits the gang job of a scene. */
export async function submitGang(scene: Scene, runMs: number): Promise<void> {
  const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/jobs`;
  const payload = JSON.stringify({ runMs });
  const body = { jobId: 'study', members: gangMembers, accelerators: 4, within: 'rack', payload };
  await callJson(url, { method: 'POST', token: tokens[0] ?? '', body });
}

/** State of the job; empty when it cannot be read. */
export async function loadJobState(scene: Scene): Promise<string> {
  const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/jobs/${scene.jobId}`;
  const answer = await callHttp(url, { token: tokens[0] ?? '' }).catch(() => undefined);
  if (answer?.status !== 200) return '';
  return (JSON.parse(answer.body) as { state?: string }).state ?? '';
}

/** Sends one request under an id and does not repeat it. */
export async function sendRequest(
  scene: Scene,
  requestId: string,
  isIdempotent: boolean,
): Promise<ClientAnswer> {
  const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/services/${scene.service}/requests`;
  const headers = {
    'x-request-id': requestId,
    'x-idempotent': String(isIdempotent),
    'x-deadline-ms': '4000',
  };
  return callHttp(url, { method: 'POST', token: tokens[0] ?? '', headers, body: { requestId } });
}

/** Times that the endpoints ran the request with this id. */
export function countRuns(scene: Scene, requestId: string): number {
  const endpoints = [...scene.cluster.platform.endpoints.values()];
  return endpoints.reduce((sum, one) => sum + (one.getStats().runs[requestId] ?? 0), 0);
}
