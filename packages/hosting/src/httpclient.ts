import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { ExchangeLimit, ExchangeStatus, formatTransfer } from './exchange.ts';
import type { Exchange, Transfer } from './exchange.ts';
import { createLaneTimeouts } from './lanetimeouts.ts';
import { createLinkLoad } from './linkload.ts';
import type { LinkLoad } from './linkload.ts';
import { createSilenceWatch } from './silencewatch.ts';
import type { SilenceWatch } from './silencewatch.ts';

/** Options of a client of one HTTP service. */
export interface HttpClientOptions {
  /** `http://ip:port`. */
  origin: string;
  /** Maximum number of concurrent connections. */
  connections: number;
  /**
   * Longest silence of the service within an exchange, in milliseconds; upper bound of the adaptive
   * timeout. The duration of an exchange is not limited while its response arrives.
   */
  timeoutMs: number;
  /**
   * Lower bound of the adaptive timeout, in milliseconds. When it is absent, the timeout is always
   * `timeoutMs`. When it is set, a timeout also replaces all connections, since others may be dead too.
   */
  minTimeoutMs?: number;
  /** How long an idle connection stays open, in milliseconds; undici's default when absent. */
  keepAliveMs?: number;
  /**
   * Longest silence while a large response shares the link, in milliseconds; used where it is longer
   * than the timeout. `timeoutMs` if absent.
   */
  busyTimeoutMs?: number;
  /** Load of the link that clients of this process share; a link of its own if absent. */
  linkLoad?: LinkLoad;
  /** Called at the end of each exchange. */
  onExchange?: (lane: string, exchange: Exchange) => void;
}

/** Options of one request. */
export interface SendOptions {
  /** Name of the kind of exchange, for metrics; each kind has a timeout of its own. */
  lane?: string;
  headers?: Record<string, string>;
  /** Replaces the timeout until the response begins, in milliseconds. */
  timeoutMs?: number;
  /** Long-poll time: how long the service may delay its response. Added to the timeout. */
  waitMs?: number;
  /** Called when the first byte of the response body has arrived. */
  onFirstByte?: () => void;
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
  /** Time within which the service begins to answer while it works, in milliseconds; at least `minTimeoutMs`. */
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
  const timeouts = createLaneTimeouts({
    minMs: options.minTimeoutMs ?? options.timeoutMs,
    maxMs: options.timeoutMs,
  });
  const linkLoad = options.linkLoad ?? createLinkLoad();
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

  function handleTimeout(lane: string): void {
    if (options.minTimeoutMs === undefined) return;
    timeouts.recordTimeout(lane);
    replacePool();
  }

  function recordResponse(lane: string, responseMs: number, waitMs: number): void {
    timeouts.resetBackoff(lane);
    // A response before the end of the long poll does not show how long the service took.
    if (responseMs >= waitMs) timeouts.recordResponse(lane, responseMs - waitMs);
  }

  /** Calls `onSilence` once the exchange has failed; returns a function that ends the watch. */
  function watchSilence(watch: SilenceWatch, onSilence: () => void): () => void {
    let timer = setTimeout(checkDue, watch.getDueMs(linkLoad.getLastMs()) - performance.now());
    let isEnded = false;

    function checkDue(): void {
      // A busy process runs overdue timers before it reads sockets. Waiting for one more turn of the
      // event loop accepts a response that has already arrived.
      setImmediate(() => {
        if (isEnded) return;
        const leftMs = watch.getDueMs(linkLoad.getLastMs()) - performance.now();
        if (leftMs > 0) timer = setTimeout(checkDue, leftMs);
        else onSilence();
      });
    }

    return () => {
      isEnded = true;
      clearTimeout(timer);
    };
  }

  async function send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    sendOptions: SendOptions = {},
  ): Promise<Exchange> {
    const { lane = defaultLane } = sendOptions;
    const exchange = await runExchange(
      { method, path, body: body ?? null },
      { ...sendOptions, lane },
    );
    options.onExchange?.(lane, exchange);
    return exchange;
  }

  async function runExchange(
    request: Pick<Dispatcher.RequestOptions, 'method' | 'path'> & { body: string | null },
    sendOptions: SendOptions & { lane: string },
  ): Promise<Exchange> {
    // The signal also limits the wait for a free connection. Aborting an exchange closes its connection.
    const abortController = new AbortController();
    const { lane, waitMs = 0 } = sendOptions;
    const startedMs = performance.now();
    const timeoutMs = timeouts.getTimeoutMs(lane);
    const watch = createSilenceWatch(
      {
        waitMs,
        requestBytes: request.body?.length ?? 0,
        responseMs: sendOptions.timeoutMs ?? timeoutMs,
        gapMs: timeoutMs,
        busyMs: options.busyTimeoutMs ?? options.timeoutMs,
      },
      startedMs,
    );
    let firstByteMs: number | undefined;
    let receivedBytes = 0;
    /** Whether another's large response may have delayed this one. */
    let isDelayed = false;
    let limit = ExchangeLimit.None;
    const getTransfer = (): Transfer => ({
      firstByteMs,
      durationMs: performance.now() - startedMs,
      receivedBytes,
      limit,
    });
    const stopWatch = watchSilence(watch, () => {
      limit = watch.getLimit();
      handleTimeout(lane);
      abortController.abort(new Error('request timed out'));
    });
    try {
      const contentType = request.body === null ? {} : { 'content-type': 'application/json' };
      const headers = { ...contentType, ...sendOptions.headers };
      const { signal } = abortController;
      const response = await pool.request({ ...request, headers, signal });
      const chunks: Buffer[] = [];
      for await (const chunk of response.body as AsyncIterable<Buffer>) {
        const nowMs = performance.now();
        if (firstByteMs === undefined) {
          firstByteMs = nowMs - startedMs;
          sendOptions.onFirstByte?.();
          isDelayed = linkLoad.getLastMs() > startedMs + waitMs;
        }
        receivedBytes += chunk.length;
        watch.recordBytes(chunk.length, nowMs);
        linkLoad.recordBytes(receivedBytes, nowMs);
        chunks.push(chunk);
      }
      const transfer = getTransfer();
      if (isDelayed) timeouts.resetBackoff(lane);
      else recordResponse(lane, transfer.firstByteMs ?? transfer.durationMs, waitMs);
      const text = Buffer.concat(chunks).toString('utf8');
      return { status: ExchangeStatus.Answered, code: response.statusCode, body: text, transfer };
    } catch (error) {
      return createFailedExchange(error, getTransfer());
    } finally {
      stopWatch();
    }
  }

  return {
    send,
    getExpectedMs: () => timeouts.getExpectedMs(),
    close: () => pool.close(),
    abort: () => pool.destroy(),
  };
}
