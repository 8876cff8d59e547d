import { randomUUID } from 'node:crypto';
import type { EffectiveConfig } from '@bergamotreach/config';
import { FaultCode, Outcome, createFault, getOutcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { AnswerKind } from '@bergamotreach/routing';
import type { CallerAnswer, CallerRequest, Router } from '@bergamotreach/routing';
import type { Hono } from 'hono';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createFaultResponse } from './responses.ts';
import type { BodyReader } from './body.ts';
import type { WebContext, WebEnv } from './webcontext.ts';

/** Options of the request routes. */
export interface RequestRouteOptions {
  router: Router;
  bodyReader: BodyReader;
  getConfig: () => EffectiveConfig | undefined;
}

interface RequestHeaders {
  requestId: string;
  deadlineMs: number;
  isIdempotent: boolean;
  /** Whether the caller has sent this request before under the same id. */
  isRepeat: boolean;
}

const requestIdPattern = /^[!-~]{1,128}$/u;
const deadlinePattern = /^\d{1,15}$/u;
const safeMethods = new Set(['GET', 'HEAD']);
const noConfigRetryMs = 1000;

function createHeaderFault(name: string, message: string): Fault {
  return createFault(FaultCode.BadRequest, `header ${name} ${message}`, {
    path: ['headers', name],
  });
}

function parseIdempotent(context: WebContext): Result<boolean, Fault> {
  const value = context.req.header('x-idempotent');
  if (value === undefined) return Ok(safeMethods.has(context.req.method));
  if (value === 'true') return Ok(true);
  if (value === 'false') return Ok(false);
  return Err(createHeaderFault('x-idempotent', `must be true or false, found "${value}"`));
}

function parseDeadline(context: WebContext, config: EffectiveConfig): Result<number, Fault> {
  const value = context.req.header('x-deadline-ms');
  if (value === undefined) return Ok(config.limits.defaultRequestMs);
  const deadlineMs = deadlinePattern.test(value) ? Number(value) : 0;
  if (deadlineMs > 0) return Ok(deadlineMs);
  return Err(createHeaderFault('x-deadline-ms', `must be a positive integer, found "${value}"`));
}

function parseRequestId(context: WebContext, isIdempotent: boolean): Result<string, Fault> {
  const value = context.req.header('x-request-id');
  if (value !== undefined && requestIdPattern.test(value)) return Ok(value);
  if (value !== undefined) {
    return Err(createHeaderFault('x-request-id', 'must be 1 to 128 printable characters'));
  }
  if (isIdempotent) return Ok(randomUUID());
  return Err(createHeaderFault('x-request-id', 'is required for a non-idempotent request'));
}

function parseHeaders(context: WebContext, config: EffectiveConfig): Result<RequestHeaders, Fault> {
  const isIdempotent = parseIdempotent(context);
  if (isIdempotent.isErr()) return isIdempotent;
  const deadlineMs = parseDeadline(context, config);
  if (deadlineMs.isErr()) return deadlineMs;
  const requestId = parseRequestId(context, isIdempotent.value);
  if (requestId.isErr()) return requestId;
  return Ok({
    requestId: requestId.value,
    deadlineMs: deadlineMs.value,
    isIdempotent: isIdempotent.value,
    isRepeat: context.req.header('x-repeat') === 'true',
  });
}

function getEndpointPath(context: WebContext, service: string): string {
  const url = new URL(context.req.url);
  const prefix = `/v1/services/${encodeURIComponent(service)}/requests`;
  const rest = url.pathname.startsWith(prefix) ? url.pathname.slice(prefix.length) : '';
  return `${rest === '' ? '/' : rest}${url.search}`;
}

/** Creates a signal that aborts when the caller disconnects before the response is complete. */
function createCallerSignal(context: WebContext): AbortSignal {
  const controller = new AbortController();
  const { outgoing } = context.env;
  outgoing.once('close', () => {
    if (!outgoing.writableFinished) controller.abort();
  });
  // The caller may have disconnected right after the last byte of its body.
  if (outgoing.destroyed) controller.abort();
  return controller.signal;
}

/**
 * Changes the outcome of a refused repeat of a non-idempotent request from `not_run` to `unknown`:
 * the earlier attempt may have run (model/claims.pml, WHOLE_REQUEST).
 */
function convertRefusedRepeat(answer: CallerAnswer, headers: RequestHeaders): CallerAnswer {
  if (answer.kind !== AnswerKind.Fault || !headers.isRepeat || headers.isIdempotent) return answer;
  if (getOutcome(answer.fault) !== Outcome.NotRun) return answer;
  return { kind: AnswerKind.Fault, fault: { ...answer.fault, outcome: Outcome.Unknown } };
}

function createCallerResponse(answer: CallerAnswer, requestId: string): Response {
  if (answer.kind === AnswerKind.Fault) {
    const response = createFaultResponse(answer.fault);
    response.headers.set('x-request-id', requestId);
    return response;
  }
  const hasNoBody = answer.status === 204 || answer.status === 304 || answer.body.length === 0;
  return new Response(hasNoBody ? null : new Uint8Array(answer.body), {
    status: answer.status,
    headers: { ...answer.headers, 'x-request-id': requestId },
  });
}

async function handleCallerRequest(
  options: RequestRouteOptions,
  context: WebContext,
  service: string,
): Promise<Response> {
  const config = options.getConfig();
  if (config === undefined) {
    const message = 'no configuration is active yet';
    const extras = { retryAfterMs: noConfigRetryMs };
    return createFaultResponse(createFault(FaultCode.StoreUnavailable, message, extras));
  }
  // The name comes from the URL and may match an inherited property, such as `constructor`.
  const isKnown = Object.hasOwn(config.services, service);
  const serviceConfig = isKnown ? config.services[service] : undefined;
  if (serviceConfig === undefined) {
    const message = `service "${service}" does not exist`;
    return createFaultResponse(createFault(FaultCode.NotFound, message, { path: ['service'] }));
  }
  const headers = parseHeaders(context, config);
  if (headers.isErr()) return createFaultResponse(headers.error);
  const body = await options.bodyReader.readBody(context.env.incoming, serviceConfig.maxBodyBytes);
  if (body.isErr()) return createFaultResponse(body.error);
  const { requestId, deadlineMs, isIdempotent } = headers.value;
  const request: CallerRequest = {
    requestId,
    deadlineMs,
    isIdempotent,
    account: context.get('caller').account,
    service,
    method: context.req.method,
    path: getEndpointPath(context, service),
    contentType: context.req.header('content-type') ?? '',
    body: body.value,
    signal: createCallerSignal(context),
  };
  const answer = await options.router.handleRequest(request);
  options.bodyReader.release(body.value);
  return createCallerResponse(convertRefusedRepeat(answer, headers.value), request.requestId);
}

/** Adds the routes for caller requests: any method on `/v1/services/<service>/requests[/path]`. */
export function addRequestRoutes(app: Hono<WebEnv>, options: RequestRouteOptions): void {
  const handle = async (context: WebContext): Promise<Response> =>
    handleCallerRequest(options, context, context.req.param('service') ?? '');
  app.all('/v1/services/:service/requests', handle);
  app.all('/v1/services/:service/requests/*', handle);
}
