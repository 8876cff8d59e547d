import { computeHash } from '@bergamotreach/protocol';
import type { Commit, CommandBatch, Instance } from '@bergamotreach/hosting';
import { Hono } from 'hono';
import type { Context, MiddlewareHandler } from 'hono';
import type { EndpointFault } from './endpoint.ts';
import type { FaultSwitches } from './faults.ts';
import type { PlatformParts } from './platform.ts';
import { findCommitError } from './store.ts';

// A hung store holds calls for this long; clients time out well before.
const hangMs = 60_000;
const defaultPageRows = 500;

/** Delays or fails calls to the table and the object store as the fault switches say. */
function createStoreFaultInjector(parts: PlatformParts): MiddlewareHandler {
  return async (context, next) => {
    const { faults, clock } = parts;
    const delayMs = faults.isStoreHung ? hangMs : faults.storeDelayMs;
    if (delayMs > 0) await new Promise<void>((resolve) => clock.setTimer(delayMs, resolve));
    if (faults.isStoreDown || faults.isStoreHung) return context.json({ error: 'down' }, 503);
    await next();
    return undefined;
  };
}

function handleCommit(parts: PlatformParts, context: Context, commit: Commit): Response {
  const result = parts.store.commit(commit);
  parts.stats.countCommit(commit.writes.length, result.isCommitted);
  if (parts.random() < parts.faults.lostReplyShare) return context.text('reply lost', 502);
  if (!result.isCommitted) return context.json({ conflicts: result.conflicts }, 409);
  return context.json({ versions: result.versions });
}

function addTableRoutes(app: Hono, parts: PlatformParts): void {
  app.use('/table/*', createStoreFaultInjector(parts));
  app.get('/table/row', (context) => {
    parts.stats.countRead();
    const row = parts.store.getRow(context.req.query('key') ?? '');
    return row === undefined ? context.json({ error: 'absent' }, 404) : context.json(row);
  });
  app.get('/table/rows', (context) => {
    parts.stats.countRead();
    const { prefix = '', after = '', limit = String(defaultPageRows) } = context.req.query();
    return context.json(parts.store.listRows(prefix, after, Number(limit)));
  });
  app.post('/table/commit', async (context) => {
    const body = await context.req.json<Commit>();
    const error = findCommitError(body);
    if (error !== undefined) return context.json({ error }, 400);
    return handleCommit(parts, context, body);
  });
}

function addObjectRoutes(app: Hono, parts: PlatformParts): void {
  app.use('/objects/*', createStoreFaultInjector(parts));
  app.put('/objects/:hash', async (context) => {
    const content = await context.req.text();
    const hash = computeHash(content);
    if (hash !== context.req.param('hash')) return context.json({ error: 'hash mismatch' }, 400);
    parts.stats.countObject(true);
    parts.objects.set(hash, content);
    return context.json({ hash });
  });
  app.get('/objects/:hash', (context) => {
    parts.stats.countObject(false);
    const content = parts.objects.get(context.req.param('hash'));
    return content === undefined ? context.json({ error: 'absent' }, 404) : context.text(content);
  });
}

function addInstanceRoutes(app: Hono, parts: PlatformParts): void {
  app.get('/instances', (context) => {
    if (parts.faults.isListDown) return context.json({ error: 'down' }, 503);
    return context.json({ instances: parts.registry.listVisible() });
  });
  app.post('/instances', async (context) => {
    parts.registry.putInstance(await context.req.json<Instance>());
    return context.json({});
  });
  app.delete('/instances/:id', (context) => {
    parts.registry.removeInstance(context.req.param('id'));
    return context.json({});
  });
  app.post('/instances/:id/leaving', (context) =>
    parts.registry.setLeaving(context.req.param('id'))
      ? context.json({})
      : context.json({ error: 'absent' }, 404),
  );
}

function addWorkerRoutes(app: Hono, parts: PlatformParts): void {
  app.use('/workers/:id/*', async (context, next) => {
    const id = context.req.param('id');
    if (parts.unreachableWorkers.has(id) || !parts.agents.has(id)) {
      return context.json({ error: 'unreachable' }, 504);
    }
    await next();
    return undefined;
  });
  app.post('/workers/:id/commands', async (context) => {
    const batch = await context.req.json<CommandBatch>();
    const results = parts.agents.get(context.req.param('id'))?.handleBatch(batch);
    if (results === undefined) return context.json({ error: 'stale_epoch' }, 409);
    return context.json({ results });
  });
  app.get('/workers/:id/tasks', (context) => {
    const agent = parts.agents.get(context.req.param('id'));
    if (agent === undefined) return context.json({ error: 'absent' }, 404);
    const { stream, since } = context.req.query();
    if (stream === undefined || since === undefined) return context.json(agent.listTasks());
    return context.json(agent.listTasks({ stream, revision: Number(since) }));
  });
}

interface EndpointFaultRequest {
  ids: string[];
  fault: EndpointFault;
}

interface WorkerFaultRequest {
  ids: string[];
  isBroken?: boolean;
  isUnreachable?: boolean;
  isRestarted?: boolean;
}

function applyWorkerFault(parts: PlatformParts, request: WorkerFaultRequest): void {
  for (const id of request.ids) {
    if (request.isBroken !== undefined) parts.agents.get(id)?.setBroken(request.isBroken);
    if (request.isUnreachable === true) parts.unreachableWorkers.add(id);
    if (request.isUnreachable === false) parts.unreachableWorkers.delete(id);
    if (request.isRestarted === true) parts.agents.get(id)?.restart();
  }
}

function addFaultRoutes(app: Hono, parts: PlatformParts): void {
  app.post('/faults', async (context) => {
    Object.assign(parts.faults, await context.req.json<Partial<FaultSwitches>>());
    return context.json(parts.faults);
  });
  app.post('/faults/endpoints', async (context) => {
    const { ids, fault } = await context.req.json<EndpointFaultRequest>();
    for (const id of ids) parts.endpoints.get(id)?.setFault(fault);
    return context.json({});
  });
  app.post('/faults/endpoints/:id/kill', async (context) => {
    await parts.endpoints.get(context.req.param('id'))?.kill();
    return context.json({});
  });
  app.post('/faults/workers', async (context) => {
    applyWorkerFault(parts, await context.req.json<WorkerFaultRequest>());
    return context.json({});
  });
}

function addStatsRoutes(app: Hono, parts: PlatformParts): void {
  app.get('/stats/store', (context) => context.json(parts.stats.getCounts()));
  app.post('/stats/store/reset', (context) => {
    parts.stats.reset();
    return context.json({});
  });
  app.get('/stats/endpoints', (context) =>
    context.json([...parts.endpoints.values()].map((endpoint) => endpoint.getStats())),
  );
  app.get('/stats/workers', (context) =>
    context.json([...parts.agents].map(([id, agent]) => ({ id, records: agent.listRecords() }))),
  );
}

/** Creates the HTTP API of a stand-in: platform services, fault switches and statistics. */
export function createPlatformApp(parts: PlatformParts): Hono {
  const app = new Hono();
  addTableRoutes(app, parts);
  addObjectRoutes(app, parts);
  addInstanceRoutes(app, parts);
  addWorkerRoutes(app, parts);
  addFaultRoutes(app, parts);
  addStatsRoutes(app, parts);
  return app;
}
