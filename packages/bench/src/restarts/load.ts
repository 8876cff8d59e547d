import { randomUUID } from 'node:crypto';
import type { Balancer, BalancedDaemon } from './balancer.ts';

/** Outcomes of the requests of an open-loop load, which does not retry. */
export interface OpenLoadResult {
  sent: number;
  /** Got status 200, or 202 for a job, and a body with the id of the request. */
  answered: number;
  /** Got an error response; counts by status and error code. */
  refused: Record<string, number>;
  /** Connection failed before the response was complete; counts by error code. */
  cutOff: Record<string, number>;
  /** Not sent, because no daemon was healthy. */
  withoutDaemon: number;
  /** Responses that belong to another request. */
  wrong: number;
  latenciesMs: number[];
  /** Daemon, time since the start of the load, and error of the first failures. */
  failures: string[];
}

/** A running open-loop load. */
export interface OpenLoad {
  /** Stops sending; resolves when all requests in flight have ended. */
  finish(): Promise<OpenLoadResult>;
}

/** Options of an open-loop load. */
export interface OpenLoadOptions {
  balancer: Balancer;
  service: string;
  tokens: string[];
  /** Constant rate, independent of responses. */
  requestsPerSecond: number;
  /** One of this many requests submits a job instead. */
  requestsPerJob: number;
}

const deadlineMs = 10_000;
const maxFailuresShown = 20;

interface LoadResponse {
  status: number;
  body: string;
}

async function sendRequest(
  options: OpenLoadOptions,
  target: BalancedDaemon,
  index: number,
  id: string,
): Promise<LoadResponse> {
  const isJob = index % options.requestsPerJob === 0;
  const token = options.tokens[index % options.tokens.length] ?? '';
  const job = { jobId: `restart-${id}`, declaredSeconds: 1, payload: '{"runMs":10}' };
  const response = await target.pool.request({
    method: 'POST',
    path: isJob ? '/v1/jobs' : `/v1/services/${options.service}/requests`,
    headers: {
      authorization: `Bearer ${token}`,
      'content-type': 'application/json',
      'x-request-id': id,
      'x-idempotent': String(index % 2 === 0),
      'x-deadline-ms': String(deadlineMs),
    },
    body: JSON.stringify(isJob ? job : { question: index }),
  });
  return { status: response.statusCode, body: await response.body.text() };
}

function addCount(counts: Record<string, number>, key: string): void {
  counts[key] = (counts[key] ?? 0) + 1;
}

function getFaultCode(body: string): string {
  try {
    return (JSON.parse(body) as { error?: { code?: string } }).error?.code ?? 'none';
  } catch {
    return 'none';
  }
}

/** Records a response; returns the reason if it is a failure. */
function recordResponse(
  result: OpenLoadResult,
  response: LoadResponse,
  id: string,
): string | undefined {
  const { status, body } = response;
  if (status !== 200 && status !== 202) {
    const key = `${status} ${getFaultCode(body)}`;
    addCount(result.refused, key);
    return key;
  }
  if (body.includes(id)) {
    result.answered += 1;
    return undefined;
  }
  result.wrong += 1;
  return 'answer of another request';
}

function getErrorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : String(error);
}

/** Starts sending requests at a fixed rate. */
export function startOpenLoad(options: OpenLoadOptions): OpenLoad {
  const startMs = performance.now();
  const pending = new Set<Promise<void>>();
  const result: OpenLoadResult = {
    sent: 0,
    answered: 0,
    refused: {},
    cutOff: {},
    withoutDaemon: 0,
    wrong: 0,
    latenciesMs: [],
    failures: [],
  };

  function recordFailure(daemon: string, reason: string): void {
    if (result.failures.length >= maxFailuresShown) return;
    const atMs = Math.round(performance.now() - startMs);
    result.failures.push(`${daemon} at ${atMs} ms: ${reason}`);
  }

  async function runRequest(index: number): Promise<void> {
    const target = options.balancer.chooseDaemon();
    if (target === undefined) {
      result.withoutDaemon += 1;
      return;
    }
    const id = randomUUID();
    const { id: daemon } = target.daemon.settings;
    const sentMs = performance.now();
    try {
      const failure = recordResponse(result, await sendRequest(options, target, index, id), id);
      if (failure !== undefined) recordFailure(daemon, failure);
      result.latenciesMs.push(performance.now() - sentMs);
    } catch (error) {
      addCount(result.cutOff, getErrorCode(error));
      recordFailure(daemon, getErrorCode(error));
    }
  }

  const timer = setInterval(() => {
    result.sent += 1;
    const running = runRequest(result.sent).finally(() => pending.delete(running));
    pending.add(running);
  }, 1000 / options.requestsPerSecond);

  return {
    finish: async () => {
      clearInterval(timer);
      await Promise.all(pending);
      return result;
    },
  };
}
