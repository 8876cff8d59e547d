import { callHttp, waitUntil } from '../cluster/index.ts';
import type { ClientAnswer } from '../cluster/index.ts';
import { tokens } from './scene.ts';
import type { Scene } from './scene.ts';

const endTimeoutMs = 60_000;
const burstCount = 60;
const largeCount = 3;
const token = tokens[0] ?? '';

async function submitJob(scene: Scene, body: Record<string, unknown>): Promise<ClientAnswer> {
  const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/jobs`;
  return callHttp(url, { method: 'POST', token, body });
}

async function loadState(scene: Scene, jobId: string): Promise<string> {
  const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/jobs/lamapost:${jobId}`;
  const answer = await callHttp(url, { token });
  return (JSON.parse(answer.body) as { state?: string }).state ?? '';
}

/** Notes a violation for each job that does not reach the state in time. */
async function checkStates(scene: Scene, jobIds: string[], state: string): Promise<void> {
  const waits = jobIds.map(async (jobId) =>
    waitUntil(`job ${jobId} ${state}`, endTimeoutMs, async () =>
      (await loadState(scene, jobId)) === state ? true : undefined,
    ).catch((error: unknown) => {
      scene.violations.push(String(error));
    }),
  );
  await Promise.all(waits);
}

async function submitMany(
  scene: Scene,
  name: string,
  count: number,
  members: number,
  runMs: number,
): Promise<string[]> {
  const payload = JSON.stringify({ runMs });
  const jobIds = Array.from({ length: count }, (_, index) => `${name}-${index}`);
  const answers = await Promise.all(
    jobIds.map(async (jobId) => submitJob(scene, { jobId, members, payload, declaredSeconds: 1 })),
  );
  return jobIds.filter((_, index) => answers[index]?.status === 202);
}

/** Many small and a few large jobs at once; every accepted one must be done. */
export async function runJobBurst(scene: Scene): Promise<void> {
  const small = await submitMany(scene, 'small', burstCount, 1, 300);
  const large = await submitMany(scene, 'large', largeCount, 16, 1000);
  if (small.length + large.length === 0) scene.violations.push('no job of the burst was accepted');
  await checkStates(scene, [...small, ...large], 'done');
}

/** A batch of long jobs that is cancelled at once. */
export async function cancelBatch(scene: Scene): Promise<void> {
  const jobIds = await submitMany(scene, 'batch', burstCount, 1, 600_000);
  if (jobIds.length === 0) scene.violations.push('no job of the batch was accepted');
  await Promise.all(
    jobIds.map(async (jobId) => {
      const url = `${scene.cluster.getUrl(scene.getDaemon())}/v1/jobs/lamapost:${jobId}`;
      const answer = await callHttp(url, { method: 'DELETE', token });
      if (answer.status > 299) scene.violations.push(`cancel ${jobId}: ${answer.status}`);
    }),
  );
  await checkStates(scene, jobIds, 'cancelled');
}

/** A job that cannot fit is refused; one whose tasks always fail ends as failed. */
export async function submitHopelessJobs(scene: Scene): Promise<void> {
  const huge = await submitJob(scene, { jobId: 'huge', members: 128, accelerators: 8 });
  if (huge.status < 400) scene.violations.push(`job that never fits was answered ${huge.status}`);
  const payload = JSON.stringify({ isFailing: true });
  await submitJob(scene, { jobId: 'failing', payload });
  await checkStates(scene, ['failing'], 'failed');
}
