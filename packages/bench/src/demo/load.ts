import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { callHttp } from '../cluster/index.ts';
import type { Cluster, DaemonProcess, HttpResponse } from '../cluster/index.ts';

/** Outcomes of the requests of a load. */
export interface LoadResult {
  sent: number;
  /** Requests that received the endpoint's response to the same request. */
  answered: number;
  /** Non-idempotent requests whose outcome is unknown, for example after a cut connection. */
  unknown: number;
  /** Retries under the same request id, after a cut connection or a `not_run` response. */
  retries: number;
  /**
   * Responses that belong to another request, idempotent requests with unknown outcome, and requests
   * without a final response; each with the request id.
   */
  failures: string[];
  /** Ids of the non-idempotent requests. */
  nonIdempotentIds: string[];
}

/** Options of a load. */
export interface LoadOptions {
  cluster: Cluster;
  service: string;
  /** Bearer tokens of the accounts that send the requests. */
  tokens: string[];
  count: number;
  /** Maximum number of requests in flight. */
  concurrency: number;
}

const maxAttempts = 40;
const retryPauseMs = 250;
const deadlineMs = 10_000;

interface LoadRequest {
  id: string;
  token: string;
  isIdempotent: boolean;
  index: number;
}

function chooseDaemon(cluster: Cluster, index: number): DaemonProcess | undefined {
  const running = cluster.daemons.filter((daemon) => !daemon.hasExited());
  return running[index % running.length];
}

async function sendAttempt(
  options: LoadOptions,
  request: LoadRequest,
  attempt: number,
): Promise<HttpResponse | undefined> {
  const daemon = chooseDaemon(options.cluster, request.index + attempt);
  if (daemon === undefined) return undefined;
  const url = `${options.cluster.getUrl(daemon)}/v1/services/${options.service}/requests`;
  const headers = {
    'x-request-id': request.id,
    'x-idempotent': String(request.isIdempotent),
    'x-deadline-ms': String(deadlineMs),
  };
  const body = { question: request.index };
  try {
    return await callHttp(url, { method: 'POST', token: request.token, headers, body });
  } catch {
    return undefined;
  }
}

function isMatchingResponse(response: HttpResponse, request: LoadRequest): boolean {
  try {
    return (JSON.parse(response.body) as { requestId?: string }).requestId === request.id;
  } catch {
    return false;
  }
}

/** Records a final response; returns false if the request must be retried. */
function recordResponse(result: LoadResult, request: LoadRequest, response: HttpResponse): boolean {
  if (response.status === 200) {
    if (isMatchingResponse(response, request)) result.answered += 1;
    else result.failures.push(`${request.id}: answer of another request: ${response.body}`);
    return true;
  }
  if (response.headers['x-outcome'] === 'unknown') {
    if (request.isIdempotent) result.failures.push(`${request.id}: unknown although idempotent`);
    else result.unknown += 1;
    return true;
  }
  return false;
}

/** Sends a request, with retries under the same id, until it has a final response. */
async function sendRequest(
  options: LoadOptions,
  request: LoadRequest,
  result: LoadResult,
): Promise<void> {
  let lastResponse = 'no answer';
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    const response = await sendAttempt(options, request, attempt);
    if (response !== undefined && recordResponse(result, request, response)) return;
    if (response !== undefined) lastResponse = `${response.status} ${response.body}`;
    result.retries += 1;
    await sleep(retryPauseMs);
  }
  result.failures.push(`${request.id}: ${lastResponse}`);
}

/** Sends the requests, half of them non-idempotent, spread over accounts and daemons. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const result: LoadResult = {
    sent: options.count,
    answered: 0,
    unknown: 0,
    retries: 0,
    failures: [],
    nonIdempotentIds: [],
  };
  let next = 0;
  async function runSender(): Promise<void> {
    for (;;) {
      const index = next++;
      if (index >= options.count) return;
      const token = options.tokens[index % options.tokens.length] ?? '';
      const isIdempotent = Math.floor(index / options.tokens.length) % 2 === 0;
      const request = { id: randomUUID(), token, isIdempotent, index };
      if (!isIdempotent) result.nonIdempotentIds.push(request.id);
      await sendRequest(options, request, result);
    }
  }
  await Promise.all(Array.from({ length: options.concurrency }, runSender));
  return result;
}
