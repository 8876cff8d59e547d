import { createFault, FaultCode, MessageType, runEvery } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Instance } from '@bergamotreach/hosting';
import { createClaimFlow } from './claimflow.ts';
import { createRoutingConfig, defaultAccount } from './config.ts';
import type { RoutingConfig } from './config.ts';
import type { RouterContext, RouterOptions } from './context.ts';
import { createSlotCredits } from './credits.ts';
import { createDispatcher } from './dispatcher.ts';
import type { Dispatcher, ServiceDump } from './dispatcher.ts';
import { isStalled } from './endpoint.ts';
import { createEndpointSet } from './endpointset.ts';
import { HealthState } from './health.ts';
import { createInFlightCounter } from './inflightcounter.ts';
import { createByteCounter } from './regionchoice.ts';
import { AnswerKind, createFaultAnswer } from './request.ts';
import type { CallerAnswer, CallerRequest } from './request.ts';
import { createRetryBudget } from './retrybudget.ts';
import type { RequestHandlers } from './completion.ts';
import { createPendingRequest } from './pendingrequest.ts';
import type { PendingRequest } from './pendingrequest.ts';

/** State of a router for operators. */
export interface RouterDump {
  isDraining: boolean;
  /** Requests that have no final answer yet. */
  open: number;
  services: Record<string, ServiceDump>;
  endpoints: Record<string, { running: number; slots: number; state: string; isLeaving: boolean }>;
  retryTokens: Record<string, number>;
  crossRegionBytes: Record<string, number>;
  credits: Record<string, unknown>;
}

/** Routes caller requests to endpoints. */
export interface Router {
  applyConfig(config: RoutingConfig): void;
  applyInstances(instances: Instance[]): void;
  /** Never rejects; resolves once with the answer or the fault for the caller. */
  handleRequest(request: CallerRequest): Promise<CallerAnswer>;
  /** Refuses new requests from now on; those accepted before are finished. */
  startDraining(): void;
  /** Resolves when no request is waiting or in progress and no outcome is being stored. */
  waitIdle(): Promise<void>;
  getDump(): RouterDump;
  /** Stops timers and closes all connections. */
  close(): void;
}

const healthCheckPeriodMs = 250;

/** Creates the router task of a daemon. */
export function createRouter(options: RouterOptions): Router {
  let config = createRoutingConfig();
  let isDraining = false;
  let lastEjected = new Set<string>();
  const inFlight = createInFlightCounter();
  const claimFlow = createClaimFlow({ ...options, inFlight });
  const dispatchers = new Map<string, Dispatcher>();
  const endpoints = createEndpointSet();
  const credits = createSlotCredits({
    ...options,
    endpoints,
    getLimits: () => config.limits,
    computeWanted: (endpoint, nowMs) =>
      getDispatcher(endpoint.instance.service).computeWanted(endpoint, nowMs),
    handleCredit: startAllWaiting,
    // Exceeds the numbers of earlier processes, since they increase by only a few per second.
    firstSequence: Date.now(),
  });
  const context: RouterContext = {
    ...options,
    getConfig: () => config,
    endpoints,
    credits,
    retryBudget: createRetryBudget(() => ({
      maxRetryTokens: config.limits.maxRetryTokens,
      getRetryRatio: (account) => (config.accounts[account] ?? defaultAccount).retryRatio,
    })),
    byteCounter: createByteCounter(),
    inFlight,
  };

  const handlers: RequestHandlers = {
    handleRefusal(pending, fault) {
      claimFlow.refuse(pending, fault);
    },
    handleAnswer(pending, answer) {
      claimFlow.storeAnswer(pending, answer);
    },
    handleLoss(pending, fault) {
      pending.answer(createFaultAnswer(fault));
    },
    handleLeaving(endpointId) {
      if (!endpoints.markLeaving(endpointId, options.clock.getNowMs())) return;
      options.logger.info('endpoint_leaving', { endpoint: endpointId });
      options.membership.sendAll({ type: MessageType.Leaving, instances: [endpointId] });
    },
  };

  function getDispatcher(service: string): Dispatcher {
    let dispatcher = dispatchers.get(service);
    if (dispatcher === undefined) {
      dispatcher = createDispatcher(context, service, handlers);
      dispatchers.set(service, dispatcher);
    }
    return dispatcher;
  }

  function checkRequest(request: CallerRequest): Fault | undefined {
    if (isDraining) {
      return createFault(FaultCode.Draining, 'this daemon is shutting down', { retryAfterMs: 0 });
    }
    const { maxBodyBytes } = config.limits;
    if (request.body.length > maxBodyBytes) {
      return createFault(FaultCode.TooLarge, `body exceeds ${maxBodyBytes} bytes`);
    }
    const isKnown =
      request.service in config.services ||
      context.endpoints.listService(request.service).length > 0;
    if (!isKnown) return createFault(FaultCode.NotFound, `unknown service ${request.service}`);
    if (request.deadlineMs > 0) return undefined;
    return createFault(FaultCode.DeadlineExceeded, 'the deadline has passed');
  }

  async function startNonIdempotent(pending: PendingRequest): Promise<void> {
    if (!(await claimFlow.claimRequest(pending))) return;
    if (pending.isAnswered || pending.isCallerGone) {
      claimFlow.refuse(
        pending,
        createFault(FaultCode.DeadlineExceeded, 'the request ended before its claim was confirmed'),
      );
      return;
    }
    getDispatcher(pending.request.service).addRequest(pending);
  }

  function handleCallerGone(pending: PendingRequest): void {
    pending.isCallerGone = true;
    if (getDispatcher(pending.request.service).removeRequest(pending)) {
      handlers.handleRefusal(
        pending,
        createFault(FaultCode.DeadlineExceeded, 'the caller disconnected'),
      );
    } else if (pending.request.isIdempotent) pending.exchange?.stop('caller_gone');
  }

  function reportAnswer(request: CallerRequest, answer: CallerAnswer, startMs: number): void {
    const result = answer.kind === AnswerKind.Answer ? 'answer' : answer.fault.code;
    const tags = { service: request.service, result };
    options.metrics.count('requests.answered', 1, tags);
    options.metrics.reportTiming('requests.duration', options.clock.getNowMs() - startMs, tags);
  }

  function startRequest(request: CallerRequest, resolve: (answer: CallerAnswer) => void): void {
    const refused = checkRequest(request);
    if (refused !== undefined) {
      resolve(createFaultAnswer(refused));
      return;
    }
    const nowMs = options.clock.getNowMs();
    inFlight.add();
    const handleAbort = (): void => {
      handleCallerGone(pending);
    };
    const pending = createPendingRequest(request, nowMs, config.limits.maxRequestMs, (answer) => {
      request.signal?.removeEventListener('abort', handleAbort);
      reportAnswer(request, answer, nowMs);
      resolve(answer);
      inFlight.remove();
    });
    request.signal?.addEventListener('abort', handleAbort, { once: true });
    context.retryBudget.addRequest(request.account);
    if (request.signal?.aborted === true) handleAbort();
    if (pending.isCallerGone) {
      claimFlow.refuse(pending, createFault(FaultCode.DeadlineExceeded, 'the caller disconnected'));
    } else if (request.isIdempotent) getDispatcher(request.service).addRequest(pending);
    else void startNonIdempotent(pending);
  }

  function startAllWaiting(): void {
    for (const dispatcher of dispatchers.values()) dispatcher.startWaiting();
  }

  function checkEndpoints(): void {
    const nowMs = options.clock.getNowMs();
    const ejected = new Set<string>();
    for (const endpoint of endpoints.listEndpoints()) {
      const { id } = endpoint.instance;
      if (isStalled(endpoint, nowMs, config.limits.stallMs)) endpoint.health.startEjection(nowMs);
      if (endpoint.health.getState(nowMs) === HealthState.Ejected) ejected.add(id);
    }
    for (const dispatcher of dispatchers.values()) dispatcher.stopStalled(nowMs);
    reportEjected(ejected);
    startAllWaiting();
  }

  /** Reports endpoints that were ejected since the last check to the peers. */
  function reportEjected(ejected: Set<string>): void {
    const unhealthy = [...ejected].filter((id) => !lastEjected.has(id));
    lastEjected = ejected;
    if (unhealthy.length === 0) return;
    options.logger.warn('endpoints_out', { endpoints: unhealthy.join(',') });
    options.membership.sendAll({ type: MessageType.HealthHint, unhealthy });
  }

  options.membership.addHandler(MessageType.Leaving, (_from, message) => {
    const nowMs = options.clock.getNowMs();
    for (const id of message.instances) endpoints.markLeaving(id, nowMs);
  });
  options.membership.addHandler(MessageType.HealthHint, (_from, message) => {
    const nowMs = options.clock.getNowMs();
    for (const id of message.unhealthy) endpoints.getEndpoint(id)?.health.applyHint(nowMs);
  });
  const stopChecks = runEvery(options.clock, healthCheckPeriodMs, checkEndpoints);

  function getDump(): RouterDump {
    const nowMs = options.clock.getNowMs();
    const endpoints = context.endpoints.listEndpoints().map((endpoint) => [
      endpoint.instance.id,
      {
        running: endpoint.running.size,
        slots: context.credits.countSlots(endpoint, nowMs),
        state: endpoint.health.getState(nowMs),
        isLeaving: endpoint.isLeaving,
      },
    ]);
    return {
      isDraining,
      open: inFlight.count(),
      services: Object.fromEntries(
        [...dispatchers].map(([name, dispatcher]) => [name, dispatcher.getDump()]),
      ),
      endpoints: Object.fromEntries(endpoints) as RouterDump['endpoints'],
      retryTokens: context.retryBudget.getDump(),
      crossRegionBytes: context.byteCounter.getDump(),
      credits: credits.getDump(),
    };
  }

  return {
    applyConfig: (newConfig) => {
      config = newConfig;
      startAllWaiting();
    },
    applyInstances: (instances) => {
      context.endpoints.applyInstances(instances);
      credits.requestSlots();
    },
    handleRequest: (request) =>
      new Promise((resolve) => {
        startRequest(request, resolve);
      }),
    startDraining: () => {
      isDraining = true;
    },
    waitIdle: () => inFlight.waitIdle(),
    getDump,
    close: () => {
      stopChecks();
      credits.close();
      context.endpoints.close();
    },
  };
}
