import { createGrantedPolicy } from './grantedpolicy.ts';
import { createRandom } from '../random.ts';
import type { Random } from '../random.ts';
import { computeMean, computePercentile } from './statistics.ts';
import { SimClock } from './simclock.ts';

/** Policies compared. */
export enum Policy {
  Random = 'random',
  RoundRobin = 'round_robin',
  LeastOutstanding = 'least_outstanding',
  TwoChoices = 'two_choices',
  GrantedSlots = 'granted_slots',
  Central = 'central_queue',
}

/** Sizes of a simulation. */
export interface PolicySize {
  routers: number;
  endpoints: number;
  slots: number;
  serviceMs: number;
  durationMs: number;
  deadlineMs: number;
  /** Factor by which the first endpoint is slower. */
  slowFactor: number;
}

/** A request of a simulation. */
export interface SimRequest {
  router: number;
  arrivedMs: number;
  serviceMs: number;
}

/** What a policy needs of the simulation. */
export interface SimContext {
  clock: SimClock;
  draws: Random;
  size: PolicySize;
  /** Runs a request at an endpoint now; `finish` is called at its end. */
  runAt(endpoint: number, request: SimRequest, finish: () => void): void;
}

/** A way to pass requests to endpoints. */
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
  /** Part of the requests answered within the deadline. */
  good: number;
  /** Part of the slot time in use. */
  utilisation: number;
}

/** Each router sends at once; an endpoint queues what exceeds its slots. */
function createPushPolicy(context: SimContext, policy: Policy): SimPolicy {
  const { size, draws } = context;
  const queues = Array.from({ length: size.endpoints }, () => [] as SimRequest[]);
  const running = new Array<number>(size.endpoints).fill(0);
  const outstanding = Array.from({ length: size.routers }, () =>
    new Array<number>(size.endpoints).fill(0),
  );
  const turns = new Array<number>(size.routers).fill(0);

  function chooseLess(router: number, left: number, right: number): number {
    const counts = outstanding[router] ?? [];
    return (counts[left] ?? 0) <= (counts[right] ?? 0) ? left : right;
  }

  function chooseFor(router: number): number {
    const turn = (turns[router] = (turns[router] ?? 0) + 1) % size.endpoints;
    if (policy === Policy.Random) return draws.getIndex(size.endpoints);
    if (policy === Policy.RoundRobin) return turn;
    if (policy === Policy.TwoChoices) {
      return chooseLess(router, draws.getIndex(size.endpoints), draws.getIndex(size.endpoints));
    }
    let best = turn;
    for (let index = 0; index < size.endpoints; index += 1) best = chooseLess(router, best, index);
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
      const endpoint = chooseFor(request.router);
      addOutstanding(request, endpoint, 1);
      queues[endpoint]?.push(request);
      startNext(endpoint);
    },
  };
}

/** One queue for all routers and endpoints: what no distributed policy can beat by much. */
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

/** Half of the load comes in at the first router, as callers do not spread evenly. */
function pickRouter(draws: Random, routers: number): number {
  return draws.getUniform() < 0.5 ? 0 : draws.getIndex(routers);
}

/** Simulates one policy at one load from one seed. */
export function runPolicy(
  policy: Policy,
  load: number,
  size: PolicySize,
  seed: number,
): PolicyResult {
  const clock = new SimClock();
  const draws = createRandom(seed);
  const latencies: number[] = [];
  let busyMs = 0;
  let good = 0;
  let sent = 0;
  const context: SimContext = {
    clock,
    draws,
    size,
    runAt: (endpoint, request, finish) => {
      const workMs = request.serviceMs * (endpoint === 0 ? size.slowFactor : 1);
      busyMs += workMs;
      clock.setTimer(workMs, () => {
        const tookMs = clock.getNowMs() - request.arrivedMs;
        latencies.push(tookMs);
        if (tookMs <= size.deadlineMs) good += 1;
        finish();
      });
    },
  };
  const instance = createPolicy(context, policy);
  const slots = size.endpoints * size.slots;
  const gapMs = size.serviceMs / (slots * load);
  // The grantors need a moment to share out the first slots.
  const warmUpMs = 2000;
  function addArrival(): void {
    if (clock.getNowMs() > warmUpMs + size.durationMs) return;
    sent += 1;
    const serviceMs = draws.getExponential(size.serviceMs);
    const router = pickRouter(draws, size.routers);
    instance.handleRequest({ router, arrivedMs: clock.getNowMs(), serviceMs });
    clock.setTimer(draws.getExponential(gapMs), addArrival);
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
