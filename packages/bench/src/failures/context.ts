import { createRandom, ezelpadLayout } from '@bergamotreach/standin';
import type { PlatformLayout } from '@bergamotreach/standin';
import { callHttp, callJson, startCluster, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess, HttpResponse } from '../cluster/index.ts';

/** Region of every scenario; its daemons share one data centre. */
export const region = 'noord';
/** Members of the gang job that runs in every scenario. */
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

/** A running cluster and the state of a scenario that the fault actions use. */
export interface ScenarioContext {
  cluster: Cluster;
  service: string;
  jobId: string;
  /** Draws numbers in [0, 1) from the seed. */
  random: () => number;
  /** Violated invariants that the fault actions found. */
  violations: string[];
  /** A running daemon; throws if there is none. */
  getDaemon(): DaemonProcess;
}

/**
 * Starts the cluster of a scenario and waits until the example configuration and an owner are in
 * place.
 */
export async function startContext(seed: number): Promise<ScenarioContext> {
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
      if (daemon === undefined) throw new Error('no daemon is running');
      return daemon;
    },
  };
}

/** Submits the gang job of a scenario. */
export async function submitGang(context: ScenarioContext, runMs: number): Promise<void> {
  const url = `${context.cluster.getUrl(context.getDaemon())}/v1/jobs`;
  const payload = JSON.stringify({ runMs });
  const body = { jobId: 'study', members: gangMembers, accelerators: 4, within: 'rack', payload };
  await callJson(url, { method: 'POST', token: tokens[0] ?? '', body });
}

/** State of the gang job; empty if it cannot be read. */
export async function loadJobState(context: ScenarioContext): Promise<string> {
  const url = `${context.cluster.getUrl(context.getDaemon())}/v1/jobs/${context.jobId}`;
  const response = await callHttp(url, { token: tokens[0] ?? '' }).catch(() => undefined);
  if (response?.status !== 200) return '';
  return (JSON.parse(response.body) as { state?: string }).state ?? '';
}

/** Sends one request under the given id, without retries. */
export async function sendRequest(
  context: ScenarioContext,
  requestId: string,
  isIdempotent: boolean,
): Promise<HttpResponse> {
  const url = `${context.cluster.getUrl(context.getDaemon())}/v1/services/${context.service}/requests`;
  const headers = {
    'x-request-id': requestId,
    'x-idempotent': String(isIdempotent),
    'x-deadline-ms': '4000',
  };
  return callHttp(url, { method: 'POST', token: tokens[0] ?? '', headers, body: { requestId } });
}

/** Number of times that the endpoints ran the request with this id. */
export function countRuns(context: ScenarioContext, requestId: string): number {
  const endpoints = [...context.cluster.platform.endpoints.values()];
  return endpoints.reduce((sum, one) => sum + (one.getStats().runs[requestId] ?? 0), 0);
}
