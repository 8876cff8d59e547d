import { randomUUID } from 'node:crypto';
import type { Balancer, BalancedDaemon } from './balancer.ts';

/** What became of the requests of an open load; none is sent twice. */
export interface OpenLoadResult {
  sent: number;
  /** Answered with status 200 and the request's own id, or 202 for a job. */
  answered: number;
  /** Answered with an error, by status and code. */
  refused: Record<string, number>;
  /** Connection closed before the whole answer arrived, by error code. */
  cutOff: Record<string, number>;
  /** No daemon passed its health check. */
  withoutDaemon: number;
  /** Answers that belong to another request. */
  wrong: number;
  latenciesMs: number[];
  /** Daemon, time since the start of the load and error of the first failures. */
  failures: string[];
}

/** A running load. */
export interface OpenLoad {
  /** Sends nothing more and resolves when all answers are in. */
  finish(): Promise<OpenLoadResult>;
}

/** Options of an open load. */
export interface OpenLoadOptions {
  balancer: Balancer;
  service: string;
  tokens: string[];
  /** Sent at this rate whatever the answers. */
  requestsPerSecond: number;
  /** Every n-th request submits a job instead. */
  jobEvery: number;
}

const deadlineMs = 10_000;
const maxFailuresShown = 20;

interface Answer {
  status: number;
  body: string;
}

async function sendRequest(
  options: OpenLoadOptions,
  target: BalancedDaemon,
  index: number,
  id: string,
): Promise<Answer> {
  const isJob = index % options.jobEvery === 0;
  const token = options.tokens[index % options.tokens.length] ?? '';
  const job = { jobId: `restart-${id}`, declaredSeconds: 1, payload: '{"runMs":10}' };
  const answer = await target.pool.request({
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
  return { status: answer.statusCode, body: await answer.body.text() };
}

function addOne(counts: Record<string, number>, key: string): void {
  counts[key] = (counts[key] ?? 0) + 1;
}

function findErrorCode(body: string): string {
  try {
    return (JSON.parse(body) as { error?: { code?: string } }).error?.code ?? 'none';
  } catch {
    return 'none';
  }
}

function applyAnswer(result: OpenLoadResult, answer: Answer, id: string): string | undefined {
  const { status, body } = answer;
  if (status !== 200 && status !== 202) {
    const key = `${status} ${findErrorCode(body)}`;
    addOne(result.refused, key);
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

/** Starts to send at a fixed rate. */
export function startOpenLoad(options: OpenLoadOptions): OpenLoad {
  const startMs = performance.now();
  const open = new Set<Promise<void>>();
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

  function noteFailure(daemon: string, what: string): void {
    if (result.failures.length >= maxFailuresShown) return;
    const atMs = Math.round(performance.now() - startMs);
    result.failures.push(`${daemon} at ${atMs} ms: ${what}`);
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
      const failure = applyAnswer(result, await sendRequest(options, target, index, id), id);
      if (failure !== undefined) noteFailure(daemon, failure);
      result.latenciesMs.push(performance.now() - sentMs);
    } catch (error) {
      addOne(result.cutOff, getErrorCode(error));
      noteFailure(daemon, getErrorCode(error));
    }
  }

  const timer = setInterval(() => {
    result.sent += 1;
    const running = runRequest(result.sent).finally(() => open.delete(running));
    open.add(running);
  }, 1000 / options.requestsPerSecond);

  return {
    finish: async () => {
      clearInterval(timer);
      await Promise.all(open);
      return result;
    },
  };
}
