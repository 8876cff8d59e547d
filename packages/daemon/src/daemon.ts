import { getRequestListener } from '@hono/node-server';
import type { EffectiveConfig } from '@bergamotreach/config';
import { createMemoryBudget } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import { createScheduler } from '@bergamotreach/placement';
import type { JobSpec } from '@bergamotreach/placement';
import { MessageType, waitFor } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { callerHeaders, createApp, createListenerErrorResponse } from './app.ts';
import { createAuthenticator } from './auth.ts';
import { createBodyReader } from './body.ts';
import { countLinkRestarts, startGauges } from './gauges.ts';
import type { GaugeValues } from './gauges.ts';
import { startHttpServer } from './httpserver.ts';
import type { HttpServer } from './httpserver.ts';
import { startInstancePoller } from './instancepoller.ts';
import { createJobService } from './jobservice.ts';
import { createMeasuredClients } from './platformclients.ts';
import { createQueueLimit } from './queuelimit.ts';
import { listConfigRegions, listWorkerSpecs, selectRegionPlacement } from './regionplacement.ts';
import { createRegionReports } from './regionreports.ts';
import type { RegionReport } from './regionreports.ts';
import { buildRoutingConfig } from './routingconfig.ts';
import { createComponents } from './components.ts';
import type { DaemonComponents, DaemonOptions } from './components.ts';

/** A running daemon. */
export interface Daemon {
  /** `ip:port` of the HTTP listener for callers and operators. */
  httpAddress: string;
  /** Starts a graceful shutdown; `finished` resolves when it is complete. */
  startDraining(): void;
  /** Resolves when the drain is complete and the process can exit. */
  finished: Promise<void>;
  /** State of every component as plain JSON data. */
  getDump(): unknown;
  /** Stops immediately, without draining. */
  stop(): void;
}

// Total size of buffered request bodies, and of all that callers make a daemon hold; it has 64 MB of
// memory, and 2,000 idle connections take 16 MB.
const bodyBudgetBytes = 8 * 1024 * 1024;
const callerBudgetBytes = 24 * 1024 * 1024;
/** Largest part of a configuration change or a submission besides its payload. */
const maxEnvelopeBytes = 2 * 1024 * 1024;
// Time for load balancers and peers to notice the drain before new work is refused.
const drainNoticeMs = 2000;

interface DaemonState {
  config: EffectiveConfig | undefined;
  isDraining: boolean;
  /** Whether new work is refused; set once load balancers have had time to notice the drain. */
  isRefusingWork: boolean;
  isStopped: boolean;
  /** `undefined` until the listener is open. */
  server: HttpServer | undefined;
}

function createOwnReport(
  options: DaemonOptions,
  components: DaemonComponents,
): RegionReport | undefined {
  if (!components.owner.isOwner()) return undefined;
  const usage = components.owner
    .listUsage()
    .map(({ account, inUse, queued }) => [account, { inUse, queued }] as const);
  return {
    region: options.settings.region,
    guarantees: components.owner.listGuarantees(),
    usage: Object.fromEntries(usage),
    quarantined: components.owner.listQuarantined(),
  };
}

/** Notifies all daemons of a region, including this one, that job rows changed. */
function publishJobChange(
  options: DaemonOptions,
  components: DaemonComponents,
  region: string,
  jobIds: string[],
): void {
  if (region === options.settings.region) components.owner.refreshJobs(jobIds);
  for (const member of components.membership.getView().members) {
    if (member.region !== region || member.id === options.settings.id) continue;
    components.membership.send(member.id, { type: MessageType.JobsChanged, region, jobIds });
  }
}

/** Starts all components of a daemon. Rejects when it cannot listen on an address. */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { settings, clock, logger, metrics } = options;
  const clients = createMeasuredClients(options);
  const state: DaemonState = {
    config: undefined,
    isDraining: false,
    isRefusingWork: false,
    isStopped: false,
    server: undefined,
  };
  const components = await createComponents({ ...options, clients }, applyConfig);
  const auth = createAuthenticator(settings.operatorTokenHash);
  const budget = createMemoryBudget({
    clock,
    maxBytes: callerBudgetBytes,
    maxBodyBytes: bodyBudgetBytes,
  });
  const bodyReader = createBodyReader({ budget });
  let finish: () => void = () => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });

  /** Largest body that any route takes; each checks its own limit. */
  function getMaxBodyBytes(): number {
    // The first configuration may come in chunks, without a declared length.
    if (state.config === undefined) return maxEnvelopeBytes;
    const { limits, services } = state.config;
    const sizes = Object.values(services).map(({ maxBodyBytes }) => maxBodyBytes);
    return Math.max(limits.maxBodyBytes, limits.maxPayloadBytes + maxEnvelopeBytes, ...sizes);
  }

  function checkJob(region: string, spec: JobSpec): Result<void, Fault> {
    if (region === settings.region || state.config === undefined)
      return components.owner.checkJob(spec);
    const workers = listWorkerSpecs(poller.getInstances(), region);
    return createScheduler(selectRegionPlacement(state.config, region), workers).checkJob(spec);
  }

  function applyConfig(config: EffectiveConfig): void {
    state.config = config;
    auth.applyConfig(config);
    state.server?.applyLimits(config.limits);
    components.router.applyConfig(buildRoutingConfig(config, settings.region));
    components.owner.applyConfig(selectRegionPlacement(config, settings.region));
  }

  function applyInstances(instances: readonly Instance[]): void {
    components.membership.applyInstances(instances);
    components.router.applyInstances([...instances]);
    components.owner.applyInstances(instances);
  }

  function getGaugeValues(): GaugeValues {
    const router = components.router.getDump();
    const waiting = Object.entries(router.services).map(([name, service]) => [
      name,
      service.waiting,
    ]);
    const usage = components.owner.listUsage().map(({ account, queued }) => [account, queued]);
    return {
      waitingRequests: Object.fromEntries(waiting) as Record<string, number>,
      openRequests: router.open,
      queuedWrites: components.committer.getDump().queued.reduce((sum, count) => sum + count, 0),
      queuedJobs: Object.fromEntries(usage) as Record<string, number>,
      bodyBytes: bodyReader.getUsedBytes(),
      connections: server.countOpen().connections,
      instanceListAgeMs: poller.getAgeMs(),
    };
  }

  function getDump(): unknown {
    return {
      settings: { ...settings, peerSecret: '***', operatorTokenHash: '***' },
      isDraining: state.isDraining,
      config: components.configSync.getStatus(),
      membership: components.membership.getDump(),
      committer: components.committer.getDump(),
      router: components.router.getDump(),
      owner: components.owner.getDump(),
      instanceList: { ageMs: poller.getAgeMs(), instances: poller.getInstances().length },
      bodyBytes: bodyReader.getUsedBytes(),
      memory: process.memoryUsage(),
    };
  }

  async function runDrain(): Promise<void> {
    const startMs = clock.getNowMs();
    state.isDraining = true;
    logger.info('drain_started');
    components.membership.startDraining();
    state.server?.startDraining();
    await components.owner.stop();
    await waitFor(clock, drainNoticeMs);
    state.isRefusingWork = true;
    components.router.startDraining();
    const closed = state.server?.close();
    await components.router.waitIdle();
    await closed;
    const durationMs = Math.round(clock.getNowMs() - startMs);
    metrics.reportTiming('drain.duration', durationMs);
    logger.info('drain_finished', { durationMs });
    stop();
  }

  function startDraining(): void {
    if (state.isDraining) return;
    void runDrain().then(finish);
  }

  function stop(): void {
    if (state.isStopped) return;
    state.isStopped = true;
    poller.stop();
    stopGauges();
    void components.owner.stop();
    components.configSync.stop();
    components.router.close();
    components.committer.close();
    components.membership.stop();
    state.server?.closeNow();
    void clients.close();
    metrics.close();
  }

  const listRegions = (): string[] => listConfigRegions(state.config);
  const reports = createRegionReports({
    clock,
    membership: components.membership,
    listRegions,
    getOwnReport: () => createOwnReport(options, components),
  });
  const queueLimit = createQueueLimit(clock, reports);
  const jobs = createJobService({
    ownRegion: settings.region,
    listRegions,
    openStore: components.openJobStore,
    checkJob,
    checkQueue: (region, account) =>
      queueLimit.checkQueue(region, account, state.config?.limits.maxQueuedJobs ?? Infinity),
    onJobChange: (region, jobIds) => {
      publishJobChange(options, components, region, jobIds);
    },
  });
  const app = createApp({
    auth,
    logger,
    bodyReader,
    jobs,
    reports,
    router: components.router,
    configStore: components.configStore,
    configSync: components.configSync,
    ownRegion: settings.region,
    isDraining: () => state.isDraining,
    metrics,
    isRefusingWork: () => state.isRefusingWork,
    getConfig: () => state.config,
    getInstances: () => poller.getInstances(),
    getDump,
    startDraining,
  });
  const listener = getRequestListener(app.fetch, {
    errorHandler: (error) => createListenerErrorResponse(error, logger),
  });
  const server = await startHttpServer({
    address: settings.httpAddress,
    name: 'callers',
    usedHeaders: callerHeaders,
    budget,
    logger,
    metrics,
    handler(request, response) {
      bodyReader.start(request, response, getMaxBodyBytes());
      void listener(request, response);
    },
  });
  state.server = server;
  const poller = startInstancePoller({
    list: clients.instanceList,
    clock,
    logger,
    onInstances: applyInstances,
  });
  countLinkRestarts(components.membership, metrics);
  const stopGauges = startGauges({ clock, metrics, getValues: getGaugeValues });
  components.configSync.start();
  components.owner.start();
  logger.info('daemon_ready', { http: server.address, peer: components.membership.address });
  return { httpAddress: server.address, startDraining, finished, getDump, stop };
}
