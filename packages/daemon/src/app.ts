import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Logger, Metrics } from '@bergamotreach/protocol';
import { RequestError } from '@hono/node-server';
import { Hono } from 'hono';
import type { MiddlewareHandler } from 'hono';
import { createFaultResponse, createJsonResponse, findFaultCode } from './answer.ts';
import type { Authenticator } from './auth.ts';
import { addConfigRoutes } from './configroutes.ts';
import type { ConfigRouteParts } from './configroutes.ts';
import { addJobRoutes } from './jobroutes.ts';
import type { JobRouteParts } from './jobroutes.ts';
import { addOperatorRoutes } from './operatorroutes.ts';
import type { OperatorRouteParts } from './operatorroutes.ts';
import { addRequestRoutes } from './requestroutes.ts';
import type { RequestRouteParts } from './requestroutes.ts';
import type { WebEnv } from './webcontext.ts';

/** What the web application needs of the daemon. */
export interface AppParts
  extends RequestRouteParts, JobRouteParts, ConfigRouteParts, OperatorRouteParts {
  auth: Authenticator;
  isDraining: () => boolean;
  metrics: Metrics;
  logger: Logger;
}

// Paths come from callers, so only these become tags.
const knownRoutes = new Set(['services', 'jobs', 'accounts', 'config', 'workers', 'instances']);
const operatorPaths = ['/v1/config', '/v1/config/*', '/v1/instances', '/v1/dump', '/v1/drain'];
const operatorOnly = [...operatorPaths, '/v1/workers', '/v1/report'];

/** Counts each answer by its route, its error kind and what it says about the work. */
function createAnswerCounter(metrics: Metrics): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    await next();
    const { res } = context;
    const route = context.req.path.split('/')[2] ?? '';
    const code = findFaultCode(res) ?? 'none';
    const outcome = res.headers.get('x-outcome') ?? 'answered';
    const tags = { route: knownRoutes.has(route) ? route : 'other', code, outcome };
    metrics.count('http.answers', 1, tags);
  };
}

function createAuthGate(auth: Authenticator): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    const caller = auth.findCaller(context.req.header('authorization'));
    if (caller === undefined) {
      const message = 'header authorization must hold a valid bearer token';
      return createFaultResponse(createFault(FaultCode.Unauthorized, message));
    }
    context.set('caller', caller);
    await next();
    return undefined;
  };
}

function createOperatorGate(): MiddlewareHandler<WebEnv> {
  return async (context, next) => {
    if (!context.get('caller').isOperator) {
      const message = 'only an operator may do this';
      return createFaultResponse(createFault(FaultCode.Forbidden, message));
    }
    await next();
    return undefined;
  };
}

/** Answer when a request cannot be handed to the application, for example for its host header. */
export function createListenerFault(error: unknown, logger: Logger): Response {
  if (error instanceof RequestError) {
    return createFaultResponse(createFault(FaultCode.BadRequest, error.message));
  }
  const reason = error instanceof Error ? error.message : String(error);
  logger.error('http_listener_failed', { reason });
  return createFaultResponse(createFault(FaultCode.Internal, 'internal error'));
}

/** Builds the HTTP interface for callers and operators. */
export function createApp(parts: AppParts): Hono<WebEnv> {
  const app = new Hono<WebEnv>();
  app.get('/v1/health', () => {
    const isDraining = parts.isDraining();
    const isReady = !isDraining && parts.getConfig() !== undefined;
    const state = isDraining ? 'draining' : isReady ? 'ready' : 'no_config';
    return createJsonResponse({ state }, isReady ? 200 : 503);
  });
  app.use('/v1/*', createAnswerCounter(parts.metrics));
  app.use('/v1/*', createAuthGate(parts.auth));
  for (const path of operatorOnly) app.use(path, createOperatorGate());
  addRequestRoutes(app, parts);
  addJobRoutes(app, parts);
  addConfigRoutes(app, parts);
  addOperatorRoutes(app, parts);
  app.notFound((context) => {
    const message = `${context.req.method} ${context.req.path} does not exist`;
    return createFaultResponse(createFault(FaultCode.NotFound, message));
  });
  app.onError((error) => {
    parts.logger.error('http_handler_failed', { reason: error.message, stack: error.stack });
    return createFaultResponse(createFault(FaultCode.Internal, 'internal error'));
  });
  return app;
}
