import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { TaskState } from '@bergamotreach/hosting';
import { callHttp, callJson, operatorToken, waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';

const token = 'ezelpad-lamapost-demo-token';
const membersPerJob = 60;
const longRunMs = 3_600_000;
const startTimeoutMs = 60_000;

function countRunning(cluster: Cluster): number {
  const records = [...cluster.platform.agents.values()].flatMap((agent) => agent.listRecords());
  return records.filter((record) => record.state === TaskState.Running).length;
}

/**
 * Submits gangs of tasks without accelerators or cores, `count` tasks in all, and waits for them to run.
 * Returns the number of running tasks, which is lower than `count` after a timeout.
 */
export async function startTasks(
  cluster: Cluster,
  daemon: DaemonProcess,
  count: number,
): Promise<number> {
  for (let index = 0; index * membersPerJob < count; index += 1) {
    const members = Math.min(membersPerJob, count - index * membersPerJob);
    const payload = JSON.stringify({ runMs: longRunMs });
    const size = { members, accelerators: 0, cores: 0, memoryMb: 64 };
    const body = { jobId: `load-${index}`, ...size, payload };
    await callJson(`${cluster.getUrl(daemon)}/v1/jobs`, { method: 'POST', token, body });
  }
  await waitUntil(`${count} tasks`, startTimeoutMs, async () =>
    Promise.resolve(countRunning(cluster) >= count ? true : undefined),
  ).catch(() => undefined);
  return countRunning(cluster);
}

/** Time from the submission of an urgent job to the start of its task, in milliseconds. */
export async function measureUrgentStart(
  cluster: Cluster,
  daemon: DaemonProcess,
  jobId: string,
): Promise<number> {
  const startMs = performance.now();
  const payload = JSON.stringify({ runMs: 500 });
  const body = { jobId, members: 1, accelerators: 1, urgent: true, payload };
  await callJson(`${cluster.getUrl(daemon)}/v1/jobs`, { method: 'POST', token, body });
  const hasStarted = (): boolean =>
    [...cluster.platform.agents.values()].some((agent) =>
      agent
        .listRecords()
        .some((one) => one.spec.jobId === `lamapost:${jobId}` && one.startedMs !== undefined),
    );
  while (!hasStarted() && performance.now() - startMs < startTimeoutMs) await sleep(5);
  return performance.now() - startMs;
}

/** Sends idempotent requests to one daemon at a constant rate; returns how many got status 200. */
export async function sendRequests(
  cluster: Cluster,
  daemon: DaemonProcess,
  requestsPerSecond: number,
  durationMs: number,
): Promise<number> {
  const url = `${cluster.getUrl(daemon)}/v1/services/trek-planner/requests`;
  const headers = { 'x-idempotent': 'true', 'x-deadline-ms': '5000' };
  const endMs = performance.now() + durationMs;
  const pending: Promise<number>[] = [];
  const startMs = performance.now();
  while (performance.now() < endMs) {
    const dueCount = Math.floor(((performance.now() - startMs) / 1000) * requestsPerSecond);
    while (pending.length < dueCount) {
      const options = { method: 'POST', token, body: { question: 1 } } as const;
      const request = { ...options, headers: { ...headers, 'x-request-id': randomUUID() } };
      pending.push(
        callHttp(url, request).then(
          (answer) => answer.status,
          () => 0,
        ),
      );
    }
    await sleep(5);
  }
  const statuses = await Promise.all(pending);
  return statuses.filter((status) => status === 200).length;
}

/**
 * Applies one configuration change; returns the time until all daemons have it, in milliseconds.
 */
export async function updateConfig(cluster: Cluster, index: number): Promise<number> {
  const [first] = cluster.daemons;
  if (first === undefined) throw new Error('no daemon is running');
  const loadRevision = async (daemon: DaemonProcess): Promise<number> => {
    const url = `${cluster.getUrl(daemon)}/v1/config`;
    return (await callJson<{ revision: number }>(url, { token: operatorToken })).revision;
  };
  const content = JSON.stringify({ limits: { defaultRequestMs: 8000 + index } });
  const { revision } = await callJson<{ revision: number }>(`${cluster.getUrl(first)}/v1/config`, {
    method: 'POST',
    token: operatorToken,
    body: {
      baseRevision: await loadRevision(first),
      put: { '90-capacity.json': content },
      remove: [],
      operationId: randomUUID(),
    },
  });
  const startMs = performance.now();
  for (const daemon of cluster.daemons) {
    await waitUntil('configuration', startTimeoutMs, async () =>
      (await loadRevision(daemon)) >= revision ? true : undefined,
    );
  }
  return performance.now() - startMs;
}
