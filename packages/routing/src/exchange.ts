import type { Client, Dispatcher } from 'undici';
import type { Fault } from '@bergamotreach/protocol';

/** How an exchange with an endpoint ended. */
export enum ExchangeEnd {
  /** A complete answer to this request arrived. */
  Answered = 'answered',
  /** No byte of the request was sent. */
  NotSent = 'not_sent',
  /** At least one byte may have been sent and no complete answer arrived. */
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

/** A request to an endpoint, with its limits and callbacks. */
export interface ExchangeRequest {
  requestId: string;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Buffer;
  maxAnswerBytes: number;
  /** Last check before the first byte is written; a fault cancels the exchange unsent. */
  checkBeforeSend: () => Fault | undefined;
  /** Called when the endpoint begins a response, interim (1xx) responses included. */
  handleProgress: () => void;
}

/** An exchange in progress. */
export interface Exchange {
  result: Promise<ExchangeResult>;
  /** Ends the exchange now and closes its connection. */
  stop(reason: string): void;
}

/** Hop-by-hop headers, and those that are computed again for the caller. */
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

function createCallerHeaders(headers: RawHeaders): Record<string, string> {
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

/** Reason to reject an answer by its status and headers; `undefined` accepts it. */
function checkHead(
  request: ExchangeRequest,
  status: number,
  headers: RawHeaders,
): string | undefined {
  const echoed = headers['x-request-id'];
  if (echoed !== undefined && echoed !== request.requestId) return 'stale_answer';
  if (hasNoBody(request.method, status)) return undefined;
  const length = headers['content-length'];
  // A body that ends when the connection closes cannot be distinguished from a truncated one.
  if (length === undefined && headers['transfer-encoding'] === undefined) return 'unframed_answer';
  return Number(length ?? 0) > request.maxAnswerBytes ? 'answer_too_large' : undefined;
}

function getReason(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? 'unknown_error';
}

/** Sends one request over an idle client and reads the complete answer. */
export function startExchange(client: Client, request: ExchangeRequest): Exchange {
  let resolveResult: (result: ExchangeResult) => void = () => undefined;
  const result = new Promise<ExchangeResult>((resolve) => {
    resolveResult = resolve;
  });
  let controller: Dispatcher.DispatchController | undefined;
  let hasStarted = false;
  let hasEnded = false;
  let status = 0;
  let rawHeaders: RawHeaders = {};
  let chunks: Buffer[] = [];
  let byteCount = 0;

  function finish(finalResult: ExchangeResult): void {
    if (hasEnded) return;
    hasEnded = true;
    chunks = [];
    resolveResult(finalResult);
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
      // The client may write only once: a second start would send the request again.
      if (hasStarted || hasEnded) {
        started.abort(new Error('exchange has ended'));
        return;
      }
      const fault = request.checkBeforeSend();
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
      const isComplete = length === undefined || Number(length) === byteCount;
      if (!isComplete && !hasNoBody(request.method, status)) {
        stop('wrong_length');
        return;
      }
      finish({
        end: ExchangeEnd.Answered,
        status,
        headers: createCallerHeaders(rawHeaders),
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
