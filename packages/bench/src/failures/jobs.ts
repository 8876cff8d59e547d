import { callHttp, waitUntil } from '../cluster/index.ts';
import type { HttpResponse } from '../cluster/index.ts';
import { tokens } from './context.ts';
import type { ScenarioContext } from './context.ts';

const endTimeoutMs = 60_000;
const burstCount = 60;
const largeCount = 3;
const token = tokens[0] ?? '';

async function submitJob(
  context: ScenarioContext,
  body: Record<string, unknown>,
): Promise<HttpResponse> {
  const url = `${context.cluster.getUrl(context.getDaemon())}/v1/jobs`;
  return callHttp(url, { method: 'POST', token, body });
}

async function loadState(context: ScenarioContext, jobId: string): Promise<string> {
  const url = `${context.cluster.getUrl(context.getDaemon())}/v1/jobs/lamapost:${jobId}`;
  const response = await callHttp(url, { token });
  return (JSON.parse(response.body) as { state?: string }).state ?? '';
}

/** Records a violation for each job that does not reach the state in time. */
async function checkStates(
  context: ScenarioContext,
  jobIds: string[],
  state: string,
): Promise<void> {
  const waits = jobIds.map(async (jobId) =>
    waitUntil(`job ${jobId} to be ${state}`, endTimeoutMs, async () =>
      (await loadState(context, jobId)) === state ? true : undefined,
    ).catch((error: unknown) => {
      context.violations.push(String(error));
    }),
  );
  await Promise.all(waits);
}

async function submitJobs(
  context: ScenarioContext,
  name: string,
  count: number,
  members: number,
  runMs: number,
): Promise<string[]> {
  const payload = JSON.stringify({ runMs });
  const jobIds = Array.from({ length: count }, (_, index) => `${name}-${index}`);
  const responses = await Promise.all(
    jobIds.map(async (jobId) =>
      submitJob(context, { jobId, members, payload, declaredSeconds: 1 }),
    ),
  );
  return jobIds.filter((_, index) => responses[index]?.status === 202);
}

/** Submits many small and a few large jobs at once; every accepted one must complete. */
export async function runJobBurst(context: ScenarioContext): Promise<void> {
  const small = await submitJobs(context, 'small', burstCount, 1, 300);
  const large = await submitJobs(context, 'large', largeCount, 16, 1000);
  if (small.length + large.length === 0)
    context.violations.push('no job of the burst was accepted');
  await checkStates(context, [...small, ...large], 'done');
}

/** Submits a batch of long jobs and cancels all of them concurrently. */
export async function cancelBatch(context: ScenarioContext): Promise<void> {
  const jobIds = await submitJobs(context, 'batch', burstCount, 1, 600_000);
  if (jobIds.length === 0) context.violations.push('no job of the batch was accepted');
  await Promise.all(
    jobIds.map(async (jobId) => {
      const url = `${context.cluster.getUrl(context.getDaemon())}/v1/jobs/lamapost:${jobId}`;
      const response = await callHttp(url, { method: 'DELETE', token });
      if (response.status > 299) context.violations.push(`cancel ${jobId}: ${response.status}`);
    }),
  );
  await checkStates(context, jobIds, 'cancelled');
}

/**
 * Checks that a job that can never fit is rejected and that one whose tasks always fail ends as
 * failed.
 */
export async function checkFailingJobs(context: ScenarioContext): Promise<void> {
  const huge = await submitJob(context, { jobId: 'huge', members: 128, accelerators: 8 });
  if (huge.status < 400) context.violations.push(`job that never fits was answered ${huge.status}`);
  const payload = JSON.stringify({ isFailing: true });
  await submitJob(context, { jobId: 'failing', payload });
  await checkStates(context, ['failing'], 'failed');
}
