import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { callHttp } from '../cluster/index.ts';
import type { ClientAnswer, Cluster, DaemonProcess } from '../cluster/index.ts';

/** How the requests of a load ended. */
export interface LoadResult {
  sent: number;
  /** Answered with the endpoint's answer to this very request. */
  answered: number;
  /** Non-idempotent requests whose connection was cut and whose outcome is not known. */
  unknown: number;
  /** Sent again under the same id after a cut connection or a `not_run` answer. */
  repeated: number;
  /** Answers that belong to another request, or requests that got no answer at all. */
  wrong: string[];
  /** Ids of the non-idempotent requests. */
  nonIdempotentIds: string[];
}

/** Options of a load. */
export interface LoadOptions {
  cluster: Cluster;
  service: string;
  /** Bearer tokens of the accounts that send. */
  tokens: string[];
  count: number;
  /** Requests in progress at once. */
  concurrency: number;
}

const maxTries = 40;
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

async function sendOnce(
  options: LoadOptions,
  request: LoadRequest,
  attempt: number,
): Promise<ClientAnswer | undefined> {
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

function isOwnAnswer(answer: ClientAnswer, request: LoadRequest): boolean {
  try {
    return (JSON.parse(answer.body) as { requestId?: string }).requestId === request.id;
  } catch {
    return false;
  }
}

function applyAnswer(result: LoadResult, request: LoadRequest, answer: ClientAnswer): boolean {
  if (answer.status === 200) {
    if (isOwnAnswer(answer, request)) result.answered += 1;
    else result.wrong.push(`${request.id}: answer of another request: ${answer.body}`);
    return true;
  }
  if (answer.headers['x-outcome'] === 'unknown') {
    if (request.isIdempotent) result.wrong.push(`${request.id}: unknown although idempotent`);
    else result.unknown += 1;
    return true;
  }
  return false;
}

/** Sends a request until it has a final answer, always under the same id. */
async function sendRequest(
  options: LoadOptions,
  request: LoadRequest,
  result: LoadResult,
): Promise<void> {
  let last = 'no answer';
  for (let attempt = 0; attempt < maxTries; attempt += 1) {
    const answer = await sendOnce(options, request, attempt);
    if (answer !== undefined && applyAnswer(result, request, answer)) return;
    if (answer !== undefined) last = `${answer.status} ${answer.body}`;
    result.repeated += 1;
    await sleep(retryPauseMs);
  }
  result.wrong.push(`${request.id}: ${last}`);
}

/** Sends the requests, every second one non-idempotent, spread over accounts and daemons. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const result: LoadResult = {
    sent: options.count,
    answered: 0,
    unknown: 0,
    repeated: 0,
    wrong: [],
    nonIdempotentIds: [],
  };
  let next = 0;
  async function runLane(): Promise<void> {
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
  await Promise.all(Array.from({ length: options.concurrency }, runLane));
  return result;
}
