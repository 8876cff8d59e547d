import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { createAnswerTime } from './answertime.ts';

/** Options of a client of one HTTP service. */
export interface HttpClientOptions {
  /** `http://ip:port`. */
  origin: string;
  /** Upper bound of concurrent connections. */
  connections: number;
  /** Time until the answer must have arrived, in milliseconds. */
  timeoutMs: number;
  /**
   * Shortest timeout in milliseconds that is learned from the answers; without it calls wait for
   * `timeoutMs`. After a timeout the connections at hand are replaced: others may be silent too.
   */
  learnedTimeoutMs?: number;
  /** How long an idle connection is kept, in milliseconds; the library's default when absent. */
  keepAliveMs?: number;
}

/** Options of one exchange. */
export interface SendOptions {
  headers?: Record<string, string>;
  /** Replaces the timeout of the client, in milliseconds. */
  timeoutMs?: number;
  /** How long the service may hold its answer back, in milliseconds; comes on top of the timeout. */
  waitMs?: number;
}

/** How an exchange ended. */
export enum ExchangeStatus {
  Answered = 'answered',
  /** The request certainly did not reach the service. */
  NotSent = 'notSent',
  /** The request may have reached the service, but no whole answer came back. */
  Lost = 'lost',
}

/** Outcome of one exchange. */
export type Exchange =
  | { status: ExchangeStatus.Answered; code: number; body: string }
  | { status: ExchangeStatus.NotSent; message: string }
  | { status: ExchangeStatus.Lost; message: string };

/** Client of one HTTP service with a small pool of connections. */
export interface HttpClient {
  /** Sends one request once and reads the whole answer as text. */
  send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    options?: SendOptions,
  ): Promise<Exchange>;
  /** Closes the connections after the exchanges in progress. */
  close(): Promise<void>;
  /** Closes the connections at once; exchanges in progress are lost. */
  abort(): Promise<void>;
}

/** Connections are replaced at most this often, in milliseconds. */
const minPoolAgeMs = 1000;

// Errors raised before any byte of the request could reach the service.
const notSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

function getErrorCode(error: unknown): string {
  const code = (error as { code?: unknown }).code;
  return typeof code === 'string' ? code : '';
}

function createFailedExchange(error: unknown): Exchange {
  const message = error instanceof Error ? error.message : String(error);
  const status = notSentCodes.has(getErrorCode(error))
    ? ExchangeStatus.NotSent
    : ExchangeStatus.Lost;
  return { status, message };
}

/** Creates a client; connections are opened on first use and kept alive. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const answerTime = createAnswerTime({
    shortestMs: options.learnedTimeoutMs ?? options.timeoutMs,
    longestMs: options.timeoutMs,
  });
  let pool = openPool();
  let replacedMs = -Infinity;

  function openPool(): Pool {
    return new Pool(options.origin, {
      connections: options.connections,
      pipelining: 1,
      connectTimeout: options.timeoutMs,
      // The signal of each exchange ends it; these timers have a resolution of a second and would also
      // end exchanges that ask for a longer timeout than the client's.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(options.keepAliveMs === undefined
        ? {}
        : { keepAliveTimeout: options.keepAliveMs, keepAliveMaxTimeout: options.keepAliveMs }),
    });
  }

  /** Exchanges in progress go on; the connections close after them. */
  function replacePool(): void {
    const nowMs = performance.now();
    if (nowMs - replacedMs < minPoolAgeMs) return;
    replacedMs = nowMs;
    const former = pool;
    pool = openPool();
    // Rejects only when it is closed already.
    former.close().catch(() => undefined);
  }

  function noteTimeout(): void {
    if (options.learnedTimeoutMs === undefined) return;
    answerTime.noteTimeout();
    replacePool();
  }

  function noteAnswer(tookMs: number, waitMs: number): void {
    // An answer that came before the end of the wait tells nothing of the time that it took.
    if (tookMs >= waitMs) answerTime.note(tookMs - waitMs);
  }

  async function send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    sendOptions: SendOptions = {},
  ): Promise<Exchange> {
    // The signal also covers the wait for a connection, and closes the connection of an exchange
    // that it ends.
    const timeout = new AbortController();
    const { waitMs = 0 } = sendOptions;
    const startedMs = performance.now();
    const timer = setTimeout(
      () => {
        // A busy process runs late timers first; an answer that has arrived meanwhile still counts.
        setImmediate(() => {
          noteTimeout();
          timeout.abort(new Error('no answer in time'));
        });
      },
      waitMs + (sendOptions.timeoutMs ?? answerTime.getTimeoutMs()),
    );
    try {
      const type = body === undefined ? {} : { 'content-type': 'application/json' };
      const headers = { ...type, ...sendOptions.headers };
      const { signal } = timeout;
      const answer = await pool.request({ method, path, headers, body: body ?? null, signal });
      const text = await answer.body.text();
      noteAnswer(performance.now() - startedMs, waitMs);
      return { status: ExchangeStatus.Answered, code: answer.statusCode, body: text };
    } catch (error) {
      return createFailedExchange(error);
    } finally {
      clearTimeout(timer);
    }
  }

  return { send, close: () => pool.close(), abort: () => pool.destroy() };
}
