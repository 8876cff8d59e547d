import type { EffectiveConfig } from '@bergamotreach/config';
import type { Instance } from '@bergamotreach/hosting';
import { InstanceKind } from '@bergamotreach/hosting';
import type { Hono } from 'hono';
import { createJsonResponse } from './answer.ts';
import type { Caller } from './auth.ts';
import type { RegionReports } from './regionreports.ts';
import type { WebEnv } from './webcontext.ts';

/** What the operators' routes need of the daemon. */
export interface OperatorRouteParts {
  getConfig: () => EffectiveConfig | undefined;
  getInstances: () => readonly Instance[];
  reports: RegionReports;
  getDump: () => unknown;
  /** Starts a graceful shutdown of this daemon. */
  startDraining: () => void;
}

function listVisibleAccounts(caller: Caller, config: EffectiveConfig | undefined): string[] {
  const all = Object.keys(config?.accounts ?? {});
  return caller.isOperator ? all : all.filter((account) => account === caller.account);
}

/** Adds the operators' routes: accounts, workers, instances, dump and drain. */
export function addOperatorRoutes(app: Hono<WebEnv>, parts: OperatorRouteParts): void {
  app.get('/v1/accounts', async (context) => {
    const config = parts.getConfig();
    const visible = listVisibleAccounts(context.get('caller'), config);
    const { guarantees, usage, unreachable } = await parts.reports.loadReports();
    const accounts = visible.map((id) => ({
      id,
      weight: config?.accounts[id]?.weight ?? 0,
      quotaAccelerators: config?.accounts[id]?.quotaAccelerators ?? 0,
      inUse: usage[id]?.inUse ?? 0,
      queued: usage[id]?.queued ?? 0,
    }));
    const shown = guarantees.filter(({ account }) => visible.includes(account));
    return createJsonResponse({ guarantees: shown, accounts, unreachableRegions: unreachable });
  });
  app.get('/v1/workers', async () => {
    const { quarantined } = await parts.reports.loadReports();
    const workers = parts
      .getInstances()
      .filter((instance) => instance.kind === InstanceKind.Worker)
      .map((worker) => ({ ...worker, isQuarantined: quarantined.includes(worker.id) }));
    return createJsonResponse({ workers });
  });
  app.get('/v1/instances', () => createJsonResponse({ instances: parts.getInstances() }));
  app.get('/v1/report', () => createJsonResponse(parts.reports.getOwnReport() ?? null));
  app.get('/v1/dump', () => createJsonResponse(parts.getDump()));
  app.post('/v1/drain', () => {
    parts.startDraining();
    return createJsonResponse({ state: 'draining' }, 202);
  });
}
