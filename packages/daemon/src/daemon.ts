import { getRequestListener } from '@hono/node-server';
import type { EffectiveConfig } from '@bergamotreach/config';
import { createScheduler } from '@bergamotreach/placement';
import type { JobSpec } from '@bergamotreach/placement';
import type { Instance } from '@bergamotreach/hosting';
import { MessageType, waitFor } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { createApp, createListenerErrorResponse } from './app.ts';
import { createAuthenticator } from './auth.ts';
import { createBodyReader } from './body.ts';
import { countLinkRestarts, startGauges } from './gauges.ts';
import type { GaugeValues } from './gauges.ts';
import { startHttpServer } from './httpserver.ts';
import type { HttpServer } from './httpserver.ts';
import { startInstancePoller } from './instancepoller.ts';
import { createJobService } from './jobservice.ts';
import { createTasks } from './tasks.ts';
import type { DaemonOptions, DaemonTasks } from './tasks.ts';
import { createMeasuredClients } from './platformclients.ts';
import { createQueueLimit } from './queuelimit.ts';
import { listConfigRegions, listWorkerSpecs, selectRegionPlacement } from './regionplacement.ts';
import { createRegionReports } from './regionreports.ts';
import type { RegionReport } from './regionreports.ts';
import { buildRoutingConfig } from './routingconfig.ts';

/** A running daemon. */
export interface Daemon {
  /** `ip:port` of the HTTP listener for callers and operators. */
  httpAddress: string;
  /** Starts a graceful shutdown; `finished` resolves when it is complete. */
  startDraining(): void;
  /** Resolves when the drain is complete and the process can exit. */
  finished: Promise<void>;
  /** State of every task as plain JSON data. */
  getDump(): unknown;
  /** Stops immediately, without draining. */
  stop(): void;
}

// Total size of buffered request bodies; a daemon has 64 MB of memory.
const bodyBudgetBytes = 8 * 1024 * 1024;
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

function createOwnReport(options: DaemonOptions, tasks: DaemonTasks): RegionReport | undefined {
  if (!tasks.owner.isOwner()) return undefined;
  const usage = tasks.owner
    .listUsage()
    .map(({ account, inUse, queued }) => [account, { inUse, queued }] as const);
  return {
    region: options.settings.region,
    guarantees: tasks.owner.listGuarantees(),
    usage: Object.fromEntries(usage),
    quarantined: tasks.owner.listQuarantined(),
  };
}

/** Notifies all daemons of a region, including this one, that job rows changed. */
function publishJobChange(
  options: DaemonOptions,
  tasks: DaemonTasks,
  region: string,
  jobIds: string[],
): void {
  if (region === options.settings.region) tasks.owner.refreshJobs(jobIds);
  for (const member of tasks.membership.getView().members) {
    if (member.region !== region || member.id === options.settings.id) continue;
    tasks.membership.send(member.id, { type: MessageType.JobsChanged, region, jobIds });
  }
}

/** Starts all tasks of a daemon. Rejects when it cannot listen on an address. */
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
  const tasks = await createTasks({ ...options, clients }, applyConfig);
  const auth = createAuthenticator(settings.operatorTokenHash);
  const bodyReader = createBodyReader(bodyBudgetBytes);
  let finish: () => void = () => undefined;
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });

  function checkJob(region: string, spec: JobSpec): Result<void, Fault> {
    if (region === settings.region || state.config === undefined) return tasks.owner.checkJob(spec);
    const workers = listWorkerSpecs(poller.getInstances(), region);
    return createScheduler(selectRegionPlacement(state.config, region), workers).checkJob(spec);
  }

  function applyConfig(config: EffectiveConfig): void {
    state.config = config;
    auth.applyConfig(config);
    state.server?.applyLimits(config.limits);
    tasks.router.applyConfig(buildRoutingConfig(config, settings.region));
    tasks.owner.applyConfig(selectRegionPlacement(config, settings.region));
  }

  function applyInstances(instances: readonly Instance[]): void {
    tasks.membership.applyInstances(instances);
    tasks.router.applyInstances([...instances]);
    tasks.owner.applyInstances(instances);
  }

  function getGaugeValues(): GaugeValues {
    const router = tasks.router.getDump();
    const waiting = Object.entries(router.services).map(([name, service]) => [
      name,
      service.waiting,
    ]);
    const usage = tasks.owner.listUsage().map(({ account, queued }) => [account, queued]);
    return {
      waitingRequests: Object.fromEntries(waiting) as Record<string, number>,
      openRequests: router.open,
      queuedWrites: tasks.committer.getDump().queued.reduce((sum, count) => sum + count, 0),
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
      config: tasks.configTask.getStatus(),
      membership: tasks.membership.getDump(),
      committer: tasks.committer.getDump(),
      router: tasks.router.getDump(),
      owner: tasks.owner.getDump(),
      instanceList: { ageMs: poller.getAgeMs(), instances: poller.getInstances().length },
      bodyBytes: bodyReader.getUsedBytes(),
      memory: process.memoryUsage(),
    };
  }

  async function runDrain(): Promise<void> {
    const startMs = clock.getNowMs();
    state.isDraining = true;
    logger.info('drain_started');
    tasks.membership.startDraining();
    state.server?.startDraining();
    await tasks.owner.stop();
    await waitFor(clock, drainNoticeMs);
    state.isRefusingWork = true;
    tasks.router.startDraining();
    const closed = state.server?.close();
    await tasks.router.waitIdle();
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
    void tasks.owner.stop();
    tasks.configTask.stop();
    tasks.router.close();
    tasks.committer.close();
    tasks.membership.stop();
    state.server?.closeNow();
    void clients.close();
    metrics.close();
  }

  const listRegions = (): string[] => listConfigRegions(state.config);
  const reports = createRegionReports({
    clock,
    membership: tasks.membership,
    listRegions,
    getOwnReport: () => createOwnReport(options, tasks),
  });
  const queueLimit = createQueueLimit(clock, reports);
  const jobs = createJobService({
    ownRegion: settings.region,
    listRegions,
    openStore: tasks.openJobStore,
    checkJob,
    checkQueue: (region, account) =>
      queueLimit.checkQueue(region, account, state.config?.limits.maxQueuedJobs ?? Infinity),
    onJobChange: (region, jobIds) => {
      publishJobChange(options, tasks, region, jobIds);
    },
  });
  const app = createApp({
    auth,
    logger,
    bodyReader,
    jobs,
    reports,
    router: tasks.router,
    configStore: tasks.configStore,
    configTask: tasks.configTask,
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
    handler: (request, response) => void listener(request, response),
  });
  state.server = server;
  const poller = startInstancePoller({
    list: clients.instanceList,
    clock,
    logger,
    onInstances: applyInstances,
  });
  countLinkRestarts(tasks.membership, metrics);
  const stopGauges = startGauges({ clock, metrics, getValues: getGaugeValues });
  tasks.configTask.start();
  tasks.owner.start();
  logger.info('daemon_ready', { http: server.address, peer: tasks.membership.address });
  return { httpAddress: server.address, startDraining, finished, getDump, stop };
}
