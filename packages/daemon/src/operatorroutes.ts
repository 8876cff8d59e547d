import type { EffectiveConfig } from '@bergamotreach/config';
import type { Instance } from '@bergamotreach/hosting';
import { InstanceKind } from '@bergamotreach/hosting';
import type { Hono } from 'hono';
import type { Caller } from './auth.ts';
import type { RegionReports } from './regionreports.ts';
import { createJsonResponse } from './responses.ts';
import type { WebEnv } from './webcontext.ts';

/** Options of the operator routes. */
export interface OperatorRouteOptions {
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

/** Adds the operator routes: accounts, workers, instances, report, dump and drain. */
export function addOperatorRoutes(app: Hono<WebEnv>, options: OperatorRouteOptions): void {
  app.get('/v1/accounts', async (context) => {
    const config = options.getConfig();
    const visibleAccounts = listVisibleAccounts(context.get('caller'), config);
    const { guarantees, usage, unreachable } = await options.reports.loadReports();
    const accounts = visibleAccounts.map((id) => ({
      id,
      weight: config?.accounts[id]?.weight ?? 0,
      quotaAccelerators: config?.accounts[id]?.quotaAccelerators ?? 0,
      inUse: usage[id]?.inUse ?? 0,
      queued: usage[id]?.queued ?? 0,
    }));
    const visibleGuarantees = guarantees.filter(({ account }) => visibleAccounts.includes(account));
    return createJsonResponse({
      guarantees: visibleGuarantees,
      accounts,
      unreachableRegions: unreachable,
    });
  });
  app.get('/v1/workers', async () => {
    const { quarantined } = await options.reports.loadReports();
    const evacuated = options.getConfig()?.placement.evacuated ?? [];
    const workers = options
      .getInstances()
      .filter((instance) => instance.kind === InstanceKind.Worker)
      .map((worker) => ({
        ...worker,
        isQuarantined: quarantined.includes(worker.id),
        isEvacuated: evacuated.includes(worker.dataCentre),
      }));
    return createJsonResponse({ workers });
  });
  app.get('/v1/instances', () => createJsonResponse({ instances: options.getInstances() }));
  app.get('/v1/report', () => createJsonResponse(options.reports.getOwnReport() ?? null));
  app.get('/v1/dump', () => createJsonResponse(options.getDump()));
  app.post('/v1/drain', () => {
    options.startDraining();
    return createJsonResponse({ state: 'draining' }, 202);
  });
}
