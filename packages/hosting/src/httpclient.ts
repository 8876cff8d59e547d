import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { createAdaptiveTimeout } from './adaptivetimeout.ts';
import { ExchangeLimit, ExchangeStatus, formatTransfer } from './exchange.ts';
import type { Exchange, Transfer } from './exchange.ts';

/** Options of a client of one HTTP service. */
export interface HttpClientOptions {
  /** `http://ip:port`. */
  origin: string;
  /** Maximum number of concurrent connections. */
  connections: number;
  /** Timeout of an exchange, in milliseconds; upper bound of the adaptive timeout. */
  timeoutMs: number;
  /**
   * Lower bound of the adaptive timeout, in milliseconds. When it is absent, the timeout is always
   * `timeoutMs`. When it is set, a timeout also replaces all connections, since others may be dead too.
   */
  minTimeoutMs?: number;
  /** How long an idle connection stays open, in milliseconds; undici's default when absent. */
  keepAliveMs?: number;
  /** Called at the end of each exchange. */
  onExchange?: (lane: string, exchange: Exchange) => void;
}

/** Options of one request. */
export interface SendOptions {
  /** Name of the kind of exchange, for metrics. */
  lane?: string;
  headers?: Record<string, string>;
  /** Replaces the timeout of the client, in milliseconds. */
  timeoutMs?: number;
  /** Long-poll time: how long the service may delay its response. Added to the timeout. */
  waitMs?: number;
}

/** Client of one HTTP service with a connection pool. */
export interface HttpClient {
  /** Sends a request without retries and reads the whole response body as text. Never rejects. */
  send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    options?: SendOptions,
  ): Promise<Exchange>;
  /** Time within which the service answers while it works, in milliseconds; at least `minTimeoutMs`. */
  getExpectedMs(): number;
  /** Closes the connections after the exchanges in flight. */
  close(): Promise<void>;
  /** Closes the connections at once; exchanges in flight end as `Lost`. */
  abort(): Promise<void>;
}

const defaultLane = 'default';
/** A response beyond this is not read to its end; a page of the store's rows takes 2 MB at most. */
const maxResponseBytes = 16 * 1024 * 1024;
/** Minimum time between two replacements of the connection pool. */
const minReplaceIntervalMs = 1000;

// Errors that occur before any byte of the request can reach the service.
const notSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

function getErrorCode(error: unknown): string {
  const code = (error as { code?: unknown }).code;
  return typeof code === 'string' ? code : '';
}

function createFailedExchange(error: unknown, transfer: Transfer): Exchange {
  const reason = error instanceof Error ? error.message : String(error);
  const status = notSentCodes.has(getErrorCode(error))
    ? ExchangeStatus.NotSent
    : ExchangeStatus.Lost;
  return { status, message: `${reason} (${formatTransfer(transfer)})`, transfer };
}

/** Creates a client. Connections open on first use and are kept alive. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const adaptiveTimeout = createAdaptiveTimeout({
    minMs: options.minTimeoutMs ?? options.timeoutMs,
    maxMs: options.timeoutMs,
  });
  let pool = openPool();
  let lastReplacedMs = -Infinity;

  function openPool(): Pool {
    return new Pool(options.origin, {
      connections: options.connections,
      pipelining: 1,
      maxResponseSize: maxResponseBytes,
      connectTimeout: options.timeoutMs,
      // Disabled, since each exchange has its own abort signal. These timers have a resolution of one
      // second and would also end exchanges whose timeout is longer than the client's.
      headersTimeout: 0,
      bodyTimeout: 0,
      ...(options.keepAliveMs === undefined
        ? {}
        : { keepAliveTimeout: options.keepAliveMs, keepAliveMaxTimeout: options.keepAliveMs }),
    });
  }

  /** Opens a new pool; the connections of the old one close after their exchanges in flight. */
  function replacePool(): void {
    const nowMs = performance.now();
    if (nowMs - lastReplacedMs < minReplaceIntervalMs) return;
    lastReplacedMs = nowMs;
    const oldPool = pool;
    pool = openPool();
    // Rejects only when the pool is already closed.
    oldPool.close().catch(() => undefined);
  }

  function handleTimeout(): void {
    if (options.minTimeoutMs === undefined) return;
    adaptiveTimeout.recordTimeout();
    replacePool();
  }

  function recordResponse(durationMs: number, waitMs: number): void {
    // A response before the end of the long poll does not show how long the service took.
    if (durationMs >= waitMs) adaptiveTimeout.recordResponse(durationMs - waitMs);
  }

  async function send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    sendOptions: SendOptions = {},
  ): Promise<Exchange> {
    const exchange = await runExchange({ method, path, body: body ?? null }, sendOptions);
    options.onExchange?.(sendOptions.lane ?? defaultLane, exchange);
    return exchange;
  }

  async function runExchange(
    request: Pick<Dispatcher.RequestOptions, 'method' | 'path'> & { body: string | null },
    sendOptions: SendOptions,
  ): Promise<Exchange> {
    // The signal also limits the wait for a free connection. Aborting an exchange closes its connection.
    const abortController = new AbortController();
    const { waitMs = 0 } = sendOptions;
    const startedMs = performance.now();
    let firstByteMs: number | undefined;
    let receivedBytes = 0;
    let limit = ExchangeLimit.None;
    const getTransfer = (): Transfer => ({
      firstByteMs,
      durationMs: performance.now() - startedMs,
      receivedBytes,
      limit,
    });
    const timer = setTimeout(
      () => {
        // A busy process runs overdue timers before it reads sockets. Waiting for one more turn of the
        // event loop accepts a response that has already arrived.
        setImmediate(() => {
          limit = ExchangeLimit.Total;
          handleTimeout();
          abortController.abort(new Error('request timed out'));
        });
      },
      waitMs + (sendOptions.timeoutMs ?? adaptiveTimeout.getTimeoutMs()),
    );
    try {
      const contentType = request.body === null ? {} : { 'content-type': 'application/json' };
      const headers = { ...contentType, ...sendOptions.headers };
      const { signal } = abortController;
      const response = await pool.request({ ...request, headers, signal });
      const chunks: Buffer[] = [];
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        firstByteMs ??= performance.now() - startedMs;
        receivedBytes += chunk.length;
        chunks.push(chunk);
      }
      recordResponse(performance.now() - startedMs, waitMs);
      return {
        status: ExchangeStatus.Answered,
        code: response.statusCode,
        body: Buffer.concat(chunks).toString('utf8'),
        transfer: getTransfer(),
      };
    } catch (error) {
      return createFailedExchange(error, getTransfer());
    } finally {
      clearTimeout(timer);
    }
  }

  return {
    send,
    getExpectedMs: () => adaptiveTimeout.getExpectedMs(),
    close: () => pool.close(),
    abort: () => pool.destroy(),
  };
}
