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
import { createOpenWork } from './openwork.ts';
import { createByteCounter } from './regionchoice.ts';
import { AnswerKind, createFaultAnswer } from './request.ts';
import type { CallerAnswer, CallerRequest } from './request.ts';
import { createRetryBudget } from './retrybudget.ts';
import type { TicketHandlers } from './settlement.ts';
import { createTicket } from './ticket.ts';
import type { Ticket } from './ticket.ts';

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

const checkPeriodMs = 250;
/** Creates the router task of a daemon. */
export function createRouter(options: RouterOptions): Router {
  let config = createRoutingConfig();
  let isDraining = false;
  let lastOut = new Set<string>();
  const work = createOpenWork();
  const claimFlow = createClaimFlow({ ...options, work });
  const dispatchers = new Map<string, Dispatcher>();
  const endpoints = createEndpointSet();
  const credits = createSlotCredits({
    ...options,
    endpoints,
    getLimits: () => config.limits,
    computeWanted: (endpoint, nowMs) =>
      getDispatcher(endpoint.instance.service).computeWanted(endpoint, nowMs),
    handleCredit: startAllWaiting,
    // Also unique across restarts; numbers grow by a few per second only.
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
    work,
  };

  const handlers: TicketHandlers = {
    handleRefusal(ticket, fault) {
      claimFlow.refuse(ticket, fault);
    },
    handleAnswer(ticket, answer) {
      claimFlow.storeAnswer(ticket, answer);
    },
    handleLoss(ticket, fault) {
      ticket.answer(createFaultAnswer(fault));
    },
    handleLeaving(endpointId) {
      if (!endpoints.setLeaving(endpointId, options.clock.getNowMs())) return;
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
    if (!isKnown) return createFault(FaultCode.NotFound, `no service ${request.service}`);
    if (request.deadlineMs > 0) return undefined;
    return createFault(FaultCode.DeadlineExceeded, 'the deadline has passed');
  }

  async function startClaimed(ticket: Ticket): Promise<void> {
    if (!(await claimFlow.takeClaim(ticket))) return;
    if (ticket.isAnswered || ticket.isCallerGone) {
      claimFlow.refuse(ticket, createFault(FaultCode.DeadlineExceeded, 'claimed too late'));
      return;
    }
    getDispatcher(ticket.request.service).addTicket(ticket);
  }

  function handleCallerGone(ticket: Ticket): void {
    ticket.isCallerGone = true;
    if (getDispatcher(ticket.request.service).removeTicket(ticket)) {
      handlers.handleRefusal(
        ticket,
        createFault(FaultCode.DeadlineExceeded, 'the caller has gone'),
      );
    } else if (ticket.request.isIdempotent) ticket.exchange?.stop('caller_gone');
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
    work.addOne();
    const handleAbort = (): void => {
      handleCallerGone(ticket);
    };
    const ticket = createTicket(request, nowMs, config.limits.maxRequestMs, (answer) => {
      request.signal?.removeEventListener('abort', handleAbort);
      reportAnswer(request, answer, nowMs);
      resolve(answer);
      work.removeOne();
    });
    request.signal?.addEventListener('abort', handleAbort, { once: true });
    context.retryBudget.addRequest(request.account);
    if (request.signal?.aborted === true) handleAbort();
    if (ticket.isCallerGone) {
      claimFlow.refuse(ticket, createFault(FaultCode.DeadlineExceeded, 'the caller has gone'));
    } else if (request.isIdempotent) getDispatcher(request.service).addTicket(ticket);
    else void startClaimed(ticket);
  }

  function startAllWaiting(): void {
    for (const dispatcher of dispatchers.values()) dispatcher.startWaiting();
  }

  function checkEndpoints(): void {
    const nowMs = options.clock.getNowMs();
    const out = new Set<string>();
    for (const endpoint of endpoints.listEndpoints()) {
      const { id } = endpoint.instance;
      if (isStalled(endpoint, nowMs, config.limits.stallMs)) endpoint.health.reportStall(nowMs);
      if (endpoint.health.getState(nowMs) === HealthState.Out) out.add(id);
    }
    for (const dispatcher of dispatchers.values()) dispatcher.stopStalled(nowMs);
    reportOut(out);
    startAllWaiting();
  }

  /** Tells the peers about endpoints that went out of service since the last check. */
  function reportOut(out: Set<string>): void {
    const unhealthy = [...out].filter((id) => !lastOut.has(id));
    lastOut = out;
    if (unhealthy.length === 0) return;
    options.logger.warn('endpoints_out', { endpoints: unhealthy.join(',') });
    options.membership.sendAll({ type: MessageType.Hint, unhealthy });
  }

  options.membership.addHandler(MessageType.Leaving, (_from, message) => {
    const nowMs = options.clock.getNowMs();
    for (const id of message.instances) endpoints.setLeaving(id, nowMs);
  });
  options.membership.addHandler(MessageType.Hint, (_from, message) => {
    const nowMs = options.clock.getNowMs();
    for (const id of message.unhealthy) endpoints.getEndpoint(id)?.health.applyHint(nowMs);
  });
  const stopChecks = runEvery(options.clock, checkPeriodMs, checkEndpoints);

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
      open: work.count(),
      services: Object.fromEntries([...dispatchers].map(([name, one]) => [name, one.getDump()])),
      endpoints: Object.fromEntries(endpoints) as RouterDump['endpoints'],
      retryTokens: context.retryBudget.getDump(),
      crossRegionBytes: context.byteCounter.getDump(),
      credits: credits.getDump(),
    };
  }

  return {
    applyConfig: (next) => {
      config = next;
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
    waitIdle: () => work.waitIdle(),
    getDump,
    close: () => {
      stopChecks();
      credits.close();
      context.endpoints.close();
    },
  };
}
