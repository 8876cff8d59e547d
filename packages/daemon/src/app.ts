import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Logger, Metrics } from '@bergamotreach/protocol';
import { RequestError } from '@hono/node-server';
import { Hono } from 'hono';
import type { MiddlewareHandler } from 'hono';
import type { Authenticator } from './auth.ts';
import { addConfigRoutes } from './configroutes.ts';
import type { ConfigRouteOptions } from './configroutes.ts';
import { addJobRoutes } from './jobroutes.ts';
import type { JobRouteOptions } from './jobroutes.ts';
import { addOperatorRoutes } from './operatorroutes.ts';
import type { OperatorRouteOptions } from './operatorroutes.ts';
import { addRequestRoutes } from './requestroutes.ts';
import type { RequestRouteOptions } from './requestroutes.ts';
import { createFaultResponse, createJsonResponse, findFaultCode } from './responses.ts';
import type { WebEnv } from './webcontext.ts';

/** Options of the web application. */
export interface AppOptions
  extends RequestRouteOptions, JobRouteOptions, ConfigRouteOptions, OperatorRouteOptions {
  auth: Authenticator;
  isDraining: () => boolean;
  metrics: Metrics;
  logger: Logger;
}

/** Names of the header lines that the routes read. */
export const callerHeaders: readonly string[] = [
  'authorization',
  'x-deadline-ms',
  'x-idempotent',
  'x-repeat',
  'x-request-id',
];
// Routes reported as metric tags. Callers choose the path, so any other is reported as `other`.
const routeTags = new Set(['services', 'jobs', 'accounts', 'config', 'workers', 'instances']);
const operatorPaths = ['/v1/config', '/v1/config/*', '/v1/instances', '/v1/dump', '/v1/drain'];
const operatorOnlyPaths = [...operatorPaths, '/v1/workers', '/v1/report'];

/** Counts responses by route, error code and outcome. */
function createResponseCounter(metrics: Metrics): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    await next();
    const { res } = context;
    const route = context.req.path.split('/')[2] ?? '';
    const code = findFaultCode(res) ?? 'none';
    const outcome = res.headers.get('x-outcome') ?? 'answered';
    const tags = { route: routeTags.has(route) ? route : 'other', code, outcome };
    metrics.count('http.answers', 1, tags);
  };
}

function createAuthMiddleware(auth: Authenticator): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    const caller = auth.findCaller(context.req.header('authorization'));
    if (caller === undefined) {
      const message = 'header authorization must contain a valid bearer token';
      return createFaultResponse(createFault(FaultCode.Unauthorized, message));
    }
    context.set('caller', caller);
    await next();
    return undefined;
  };
}

function createOperatorMiddleware(): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    if (!context.get('caller').isOperator) {
      const message = 'this route requires operator access';
      return createFaultResponse(createFault(FaultCode.Forbidden, message));
    }
    await next();
    return undefined;
  };
}

/** Builds the response to a request that never reaches the app, such as one with a bad host. */
export function createListenerErrorResponse(error: unknown, logger: Logger): Response {
  if (error instanceof RequestError) {
    return createFaultResponse(createFault(FaultCode.BadRequest, error.message));
  }
  const reason = error instanceof Error ? error.message : String(error);
  logger.error('http_listener_failed', { reason });
  return createFaultResponse(createFault(FaultCode.Internal, 'internal error'));
}

/** Builds the HTTP interface for callers and operators. */
export function createApp(options: AppOptions): Hono<WebEnv> {
  const app = new Hono<WebEnv>();
  app.get('/v1/health', () => {
    const isDraining = options.isDraining();
    const isReady = !isDraining && options.getConfig() !== undefined;
    const state = isDraining ? 'draining' : isReady ? 'ready' : 'no_config';
    return createJsonResponse({ state }, isReady ? 200 : 503);
  });
  app.use('/v1/*', createResponseCounter(options.metrics));
  app.use('/v1/*', createAuthMiddleware(options.auth));
  for (const path of operatorOnlyPaths) app.use(path, createOperatorMiddleware());
  addRequestRoutes(app, options);
  addJobRoutes(app, options);
  addConfigRoutes(app, options);
  addOperatorRoutes(app, options);
  app.notFound((context) => {
    const message = `${context.req.method} ${context.req.path} does not exist`;
    return createFaultResponse(createFault(FaultCode.NotFound, message));
  });
  app.onError((error) => {
    options.logger.error('http_handler_failed', { reason: error.message, stack: error.stack });
    return createFaultResponse(createFault(FaultCode.Internal, 'internal error'));
  });
  return app;
}
