import type { Client, Dispatcher } from 'undici';
import type { Fault } from '@bergamotreach/protocol';

/** How an exchange with an endpoint ended. */
export enum ExchangeEnd {
  /** A whole answer to this request arrived. */
  Answered = 'answered',
  /** Certainly no byte of the request was sent. */
  NotSent = 'not_sent',
  /** At least one byte may have been sent and no whole answer arrived. */
  Lost = 'lost',
}

/** Result of an exchange. */
export type ExchangeResult =
  | {
      end: ExchangeEnd.Answered;
      status: number;
      headers: Record<string, string>;
      body: Buffer;
      /** The endpoint closes the connection after this answer. */
      isClosing: boolean;
    }
  | { end: ExchangeEnd.NotSent; reason: string; fault?: Fault }
  | { end: ExchangeEnd.Lost; reason: string };

/** What is sent to an endpoint. */
export interface ExchangeRequest {
  requestId: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  maxAnswerBytes: number;
  /** Last check before the first byte is written; a fault cancels the exchange unsent. */
  checkStart: () => Fault | undefined;
  /** Called with each sign of life of the endpoint after the request was sent. */
  handleProgress: () => void;
}

/** An exchange in progress. */
export interface Exchange {
  result: Promise<ExchangeResult>;
  /** Ends the exchange now and closes its connection. */
  stop(reason: string): void;
}

/** Headers that concern one connection only, or that are computed anew for the caller. */
const connectionHeaders = new Set([
  'connection',
  'content-length',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

type RawHeaders = Record<string, string | string[] | undefined>;

function getHeader(headers: RawHeaders, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(', ') : value;
}

function makeCallerHeaders(headers: RawHeaders): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const name of Object.keys(headers)) {
    const value = getHeader(headers, name);
    if (value !== undefined && !connectionHeaders.has(name)) kept[name] = value;
  }
  return kept;
}

function hasNoBody(method: string, status: number): boolean {
  return method === 'HEAD' || status === 204 || status === 304;
}

/** Why the head of an answer cannot be accepted; `undefined` when it can. */
function checkHead(
  request: ExchangeRequest,
  status: number,
  headers: RawHeaders,
): string | undefined {
  const echoed = headers['x-request-id'];
  if (echoed !== undefined && echoed !== request.requestId) return 'stale_answer';
  if (hasNoBody(request.method, status)) return undefined;
  const length = headers['content-length'];
  // A body that ends with the connection cannot be told from a truncated one.
  if (length === undefined && headers['transfer-encoding'] === undefined) return 'unframed_answer';
  return Number(length ?? 0) > request.maxAnswerBytes ? 'answer_too_large' : undefined;
}

function getReason(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? 'unknown_error';
}

/** Sends one request over an idle client and collects the whole answer. */
export function startExchange(client: Client, request: ExchangeRequest): Exchange {
  let settle: (result: ExchangeResult) => void = () => undefined;
  const result = new Promise<ExchangeResult>((resolve) => {
    settle = resolve;
  });
  let controller: Dispatcher.DispatchController | undefined;
  let hasStarted = false;
  let hasEnded = false;
  let status = 0;
  let rawHeaders: RawHeaders = {};
  let chunks: Buffer[] = [];
  let byteCount = 0;

  function finish(ended: ExchangeResult): void {
    if (hasEnded) return;
    hasEnded = true;
    chunks = [];
    settle(ended);
  }

  function fail(reason: string, fault?: Fault): void {
    if (hasStarted) finish({ end: ExchangeEnd.Lost, reason });
    else finish({ end: ExchangeEnd.NotSent, reason, ...(fault === undefined ? {} : { fault }) });
  }

  function stop(reason: string, fault?: Fault): void {
    if (hasEnded) return;
    fail(reason, fault);
    if (controller === undefined) void client.destroy().catch(() => undefined);
    else controller.abort(new Error(reason));
  }

  const handler: Dispatcher.DispatchHandler = {
    onRequestStart(started) {
      controller = started;
      // The client may only write once: a second start would repeat the request.
      if (hasStarted || hasEnded) {
        started.abort(new Error('exchange has ended'));
        return;
      }
      const fault = request.checkStart();
      if (fault !== undefined) {
        stop(fault.code, fault);
        return;
      }
      hasStarted = true;
    },
    onResponseStart(_controller, statusCode, headers) {
      request.handleProgress();
      if (statusCode < 200) return;
      const problem = checkHead(request, statusCode, headers);
      if (problem !== undefined) stop(problem);
      status = statusCode;
      rawHeaders = headers;
    },
    onResponseData(_controller, chunk) {
      byteCount += chunk.length;
      if (byteCount > request.maxAnswerBytes) stop('answer_too_large');
      else if (!hasEnded) chunks.push(Buffer.from(chunk));
    },
    onResponseEnd() {
      if (hasEnded) return;
      const length = getHeader(rawHeaders, 'content-length');
      const isWhole = length === undefined || Number(length) === byteCount;
      if (!isWhole && !hasNoBody(request.method, status)) {
        stop('wrong_length');
        return;
      }
      finish({
        end: ExchangeEnd.Answered,
        status,
        headers: makeCallerHeaders(rawHeaders),
        body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks),
        isClosing: /\bclose\b/iu.test(getHeader(rawHeaders, 'connection') ?? ''),
      });
    },
    onResponseError(_controller, error) {
      fail(getReason(error));
    },
  };

  client.dispatch(
    {
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return {
    result,
    stop: (reason) => {
      stop(reason);
    },
  };
}
