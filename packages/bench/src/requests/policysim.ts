import { createGrantedPolicy } from './grantedpolicy.ts';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';
import { computeMean, computePercentile } from './statistics.ts';
import { SimClock } from './simclock.ts';

/** Routing policies that are compared. */
export enum Policy {
  Random = 'random',
  RoundRobin = 'round_robin',
  LeastOutstanding = 'least_outstanding',
  TwoChoices = 'two_choices',
  GrantedSlots = 'granted_slots',
  Central = 'central_queue',
}

/** Size and timing of a simulation. */
export interface SimSize {
  routers: number;
  endpoints: number;
  slots: number;
  serviceMs: number;
  durationMs: number;
  deadlineMs: number;
  /** Factor by which the first endpoint is slower. */
  slowFactor: number;
}

/** A simulated request; `router` is the index of the router that receives it. */
export interface SimRequest {
  router: number;
  arrivedMs: number;
  serviceMs: number;
}

/** The simulation as seen by a policy. */
export interface SimContext {
  clock: SimClock;
  random: Random;
  size: SimSize;
  /** Starts a request at an endpoint; calls `finish` when it ends. */
  runAt(endpoint: number, request: SimRequest, finish: () => void): void;
}

/** Assigns requests to endpoints. */
export interface SimPolicy {
  handleRequest(request: SimRequest): void;
}

/** Result of one policy at one load. */
export interface PolicyResult {
  policy: Policy;
  load: number;
  slowFactor: number;
  meanMs: number;
  p99Ms: number;
  /** Share of the requests that completed within the deadline. */
  good: number;
  /** Share of the slot time in use. */
  utilisation: number;
}

/** Routers forward requests immediately; each endpoint queues those beyond its slots. */
function createPushPolicy(context: SimContext, policy: Policy): SimPolicy {
  const { size, random } = context;
  const queues = Array.from({ length: size.endpoints }, () => [] as SimRequest[]);
  const running = new Array<number>(size.endpoints).fill(0);
  const outstanding = Array.from({ length: size.routers }, () =>
    new Array<number>(size.endpoints).fill(0),
  );
  const turns = new Array<number>(size.routers).fill(0);

  function chooseLessLoaded(router: number, left: number, right: number): number {
    const counts = outstanding[router] ?? [];
    return (counts[left] ?? 0) <= (counts[right] ?? 0) ? left : right;
  }

  function chooseEndpoint(router: number): number {
    const turn = (turns[router] = (turns[router] ?? 0) + 1) % size.endpoints;
    if (policy === Policy.Random) return random.getIndex(size.endpoints);
    if (policy === Policy.RoundRobin) return turn;
    if (policy === Policy.TwoChoices) {
      return chooseLessLoaded(
        router,
        random.getIndex(size.endpoints),
        random.getIndex(size.endpoints),
      );
    }
    let best = turn;
    for (let index = 0; index < size.endpoints; index += 1)
      best = chooseLessLoaded(router, best, index);
    return best;
  }

  function addOutstanding(request: SimRequest, endpoint: number, amount: number): void {
    const counts = outstanding[request.router];
    if (counts !== undefined) counts[endpoint] = (counts[endpoint] ?? 0) + amount;
  }

  function startNext(endpoint: number): void {
    if ((running[endpoint] ?? 0) >= size.slots) return;
    const request = queues[endpoint]?.shift();
    if (request === undefined) return;
    running[endpoint] = (running[endpoint] ?? 0) + 1;
    context.runAt(endpoint, request, () => {
      running[endpoint] = (running[endpoint] ?? 0) - 1;
      addOutstanding(request, endpoint, -1);
      startNext(endpoint);
    });
  }

  return {
    handleRequest: (request) => {
      const endpoint = chooseEndpoint(request.router);
      addOutstanding(request, endpoint, 1);
      queues[endpoint]?.push(request);
      startNext(endpoint);
    },
  };
}

/** One queue for all routers and endpoints; no distributed policy can do much better. */
function createCentralPolicy(context: SimContext): SimPolicy {
  const { size } = context;
  const queue: SimRequest[] = [];
  const running = new Array<number>(size.endpoints).fill(0);

  function startNext(): void {
    const least = Math.min(...running);
    if (least >= size.slots) return;
    const request = queue.shift();
    if (request === undefined) return;
    const endpoint = running.indexOf(least);
    running[endpoint] = least + 1;
    context.runAt(endpoint, request, () => {
      running[endpoint] = (running[endpoint] ?? 0) - 1;
      startNext();
    });
  }

  return {
    handleRequest: (request) => {
      queue.push(request);
      startNext();
    },
  };
}

function createPolicy(context: SimContext, policy: Policy): SimPolicy {
  if (policy === Policy.Central) return createCentralPolicy(context);
  if (policy === Policy.GrantedSlots) return createGrantedPolicy(context);
  return createPushPolicy(context, policy);
}

/**
 * Half of the requests go to the first router and the rest to a random one: callers are not spread
 * evenly.
 */
function chooseRouter(random: Random, routers: number): number {
  return random.getUniform() < 0.5 ? 0 : random.getIndex(routers);
}

/** Simulates one policy at one load with one seed. */
export function runPolicy(policy: Policy, load: number, size: SimSize, seed: number): PolicyResult {
  const clock = new SimClock();
  const random = createRandom(seed);
  const latencies: number[] = [];
  let busyMs = 0;
  let good = 0;
  let sent = 0;
  const context: SimContext = {
    clock,
    random,
    size,
    runAt: (endpoint, request, finish) => {
      const workMs = request.serviceMs * (endpoint === 0 ? size.slowFactor : 1);
      busyMs += workMs;
      clock.setTimer(workMs, () => {
        const latencyMs = clock.getNowMs() - request.arrivedMs;
        latencies.push(latencyMs);
        if (latencyMs <= size.deadlineMs) good += 1;
        finish();
      });
    },
  };
  const simPolicy = createPolicy(context, policy);
  const slots = size.endpoints * size.slots;
  const meanIntervalMs = size.serviceMs / (slots * load);
  // The grantors need some time to distribute the first slots.
  const warmUpMs = 2000;
  function addArrival(): void {
    if (clock.getNowMs() > warmUpMs + size.durationMs) return;
    sent += 1;
    const serviceMs = random.getExponential(size.serviceMs);
    const router = chooseRouter(random, size.routers);
    simPolicy.handleRequest({ router, arrivedMs: clock.getNowMs(), serviceMs });
    clock.setTimer(random.getExponential(meanIntervalMs), addArrival);
  }
  clock.setTimer(warmUpMs, addArrival);
  clock.run(warmUpMs + size.durationMs);
  return {
    policy,
    load,
    slowFactor: size.slowFactor,
    meanMs: computeMean(latencies),
    p99Ms: computePercentile(latencies, 99),
    good: good / Math.max(1, sent),
    utilisation: busyMs / (slots * size.durationMs),
  };
}
