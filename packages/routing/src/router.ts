import { ClaimStatus } from '@bergamotreach/ownership';
import type { ClaimKey } from '@bergamotreach/ownership';
import { createFault, FaultCode, MessageType, runEvery } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Instance } from '@bergamotreach/platform';
import { createRoutingConfig, defaultService } from './config.ts';
import type { RoutingConfig } from './config.ts';
import type { RouterContext, RouterOptions } from './context.ts';
import { createSlotCredits } from './credits.ts';
import { createDispatcher } from './dispatcher.ts';
import type { Dispatcher, ServiceDump, TicketHandlers } from './dispatcher.ts';
import { isStalled } from './endpoint.ts';
import { createEndpointSet } from './endpointset.ts';
import { createClaimKey, createRepeatAnswer, createStoredOutcome } from './outcome.ts';
import { createByteCounter } from './regionchoice.ts';
import { createFaultAnswer } from './request.ts';
import type { CallerAnswer, CallerRequest, EndpointAnswer } from './request.ts';
import { createRetryBudget } from './retrybudget.ts';
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
/** Longest time that a refusal waits for the release of its claim, or an answer for its storage. */
const storeWaitMs = 500;

/** Creates the router task of a daemon. */
export function createRouter(options: RouterOptions): Router {
  let config = createRoutingConfig();
  let isDraining = false;
  let openCount = 0;
  let idleWaiters: (() => void)[] = [];
  const dispatchers = new Map<string, Dispatcher>();
  const context: RouterContext = {
    ...options,
    getConfig: () => config,
    endpoints: createEndpointSet(
      (service) => (config.services[service] ?? defaultService).expectedServiceMs,
    ),
    credits: createSlotCredits({
      membership: options.membership,
      getMinDaemons: () => config.limits.minDaemons,
    }),
    retryBudget: createRetryBudget(() => config.limits),
    byteCounter: createByteCounter(),
  };

  function addOpen(): void {
    openCount += 1;
  }

  function removeOpen(): void {
    openCount -= 1;
    if (openCount > 0) return;
    const waiters = idleWaiters;
    idleWaiters = [];
    for (const resolve of waiters) resolve();
  }

  /** Runs `action` at the end of `work` or after `storeWaitMs`, whichever is first. */
  function runAfter(work: Promise<unknown>, action: () => void): void {
    addOpen();
    const cancelTimer = options.clock.setTimer(storeWaitMs, action);
    void work
      .catch(() => undefined)
      .then(() => {
        cancelTimer();
        action();
        removeOpen();
      });
  }

  const handlers: TicketHandlers = {
    handleRefusal(ticket, fault) {
      const { claimKey } = ticket;
      if (claimKey === undefined) {
        ticket.answer(createFaultAnswer(fault));
        return;
      }
      delete ticket.claimKey;
      runAfter(options.claims.releaseClaim(claimKey), () => {
        ticket.answer(createFaultAnswer(fault));
      });
    },
    handleAnswer(ticket, answer) {
      if (ticket.claimKey === undefined) ticket.answer(answer);
      else storeAnswer(ticket, ticket.claimKey, answer);
    },
    handleLoss(ticket, fault) {
      ticket.answer(createFaultAnswer(fault));
    },
    handleLeaving(endpointId) {
      if (!context.endpoints.setLeaving(endpointId)) return;
      options.logger.info('endpoint_leaving', { endpoint: endpointId });
      options.membership.sendAll({ type: MessageType.Leaving, instances: [endpointId] });
    },
  };

  function storeAnswer(ticket: Ticket, key: ClaimKey, answer: EndpointAnswer): void {
    runAfter(options.claims.storeOutcome(key, createStoredOutcome(answer)), () => {
      ticket.answer(answer);
    });
  }

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

  async function takeClaim(ticket: Ticket): Promise<boolean> {
    const key = createClaimKey(ticket.request);
    ticket.cancelTimer = options.clock.setTimer(ticket.deadlineMs - ticket.arrivedMs, () => {
      // An earlier request with this id may have run, so this cannot be `not_run`.
      const fault = createFault(FaultCode.UnknownOutcome, 'the claim was not confirmed in time');
      ticket.answer(createFaultAnswer(fault));
    });
    const reply = await options.claims.claim(key);
    ticket.cancelTimer();
    if (reply.isErr()) {
      ticket.answer(createFaultAnswer(reply.error));
      return false;
    }
    if (reply.value.status === ClaimStatus.Acquired) {
      ticket.claimKey = key;
      return true;
    }
    if (reply.value.status === ClaimStatus.Stored) {
      ticket.answer(createRepeatAnswer(reply.value.outcome));
    } else if (reply.value.status === ClaimStatus.Mismatch) {
      const fault = createFault(FaultCode.DuplicateId, 'the id was used for another request');
      ticket.answer(createFaultAnswer(fault));
    } else {
      const fault = createFault(FaultCode.UnknownOutcome, 'an earlier request has this id');
      ticket.answer(createFaultAnswer(fault));
    }
    return false;
  }

  async function startClaimed(ticket: Ticket): Promise<void> {
    if (!(await takeClaim(ticket))) return;
    if (ticket.isAnswered || ticket.isCallerGone) {
      handlers.handleRefusal(ticket, createFault(FaultCode.DeadlineExceeded, 'claimed too late'));
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

  function startRequest(request: CallerRequest, resolve: (answer: CallerAnswer) => void): void {
    const refused = checkRequest(request);
    if (refused !== undefined) {
      resolve(createFaultAnswer(refused));
      return;
    }
    const nowMs = options.clock.getNowMs();
    addOpen();
    const handleAbort = (): void => {
      handleCallerGone(ticket);
    };
    const ticket = createTicket(request, nowMs, config.limits.maxRequestMs, (answer) => {
      request.signal?.removeEventListener('abort', handleAbort);
      resolve(answer);
      removeOpen();
    });
    request.signal?.addEventListener('abort', handleAbort, { once: true });
    context.retryBudget.addRequest(request.account);
    if (request.isIdempotent) getDispatcher(request.service).addTicket(ticket);
    else void startClaimed(ticket);
  }

  function startAllWaiting(): void {
    for (const dispatcher of dispatchers.values()) dispatcher.startWaiting();
  }

  function checkEndpoints(): void {
    const nowMs = options.clock.getNowMs();
    for (const endpoint of context.endpoints.listEndpoints()) {
      if (!isStalled(endpoint, nowMs, config.limits.stallMs)) continue;
      endpoint.health.reportStall(nowMs);
    }
    startAllWaiting();
  }

  options.membership.addHandler(MessageType.Leaving, (_from, message) => {
    for (const id of message.instances) context.endpoints.setLeaving(id);
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
      open: openCount,
      services: Object.fromEntries([...dispatchers].map(([name, one]) => [name, one.getDump()])),
      endpoints: Object.fromEntries(endpoints) as RouterDump['endpoints'],
      retryTokens: context.retryBudget.getDump(),
      crossRegionBytes: context.byteCounter.getDump(),
    };
  }

  return {
    applyConfig: (next) => {
      config = next;
      startAllWaiting();
    },
    applyInstances: (instances) => {
      context.endpoints.applyInstances(instances);
      startAllWaiting();
    },
    handleRequest: (request) =>
      new Promise((resolve) => {
        startRequest(request, resolve);
      }),
    startDraining: () => {
      isDraining = true;
    },
    waitIdle: () =>
      openCount === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            idleWaiters.push(resolve);
          }),
    getDump,
    close: () => {
      stopChecks();
      context.endpoints.close();
    },
  };
}
