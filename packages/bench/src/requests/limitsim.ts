import { createRandom } from '../random.ts';
import { computePercentile } from './statistics.ts';
import { SimClock } from './simclock.ts';

/** Result of a fixed or adaptive concurrency limit at one endpoint. */
export interface LimitResult {
  isAdaptive: boolean;
  /** Concurrency up to which the endpoint does not slow down. */
  trueSlots: number;
  /** Completed requests as a share of the endpoint's capacity. */
  goodput: number;
  p99Ms: number;
  meanLimit: number;
}

const declaredSlots = 8;
const serviceMs = 20;
const durationMs = 30_000;
const load = 1.5;
const deadlineMs = 500;

/** Slowdown of an endpoint that thrashes: it grows faster than the number of excess requests. */
function computeSlowdown(running: number, trueSlots: number): number {
  return Math.max(1, running / trueSlots) ** 1.5;
}

interface ConcurrencyLimit {
  get(): number;
  addSample(latencyMs: number): void;
}

/** Gradient limit: decreases while recent latency is well above the long-term average. */
function createAdaptiveLimit(): ConcurrencyLimit {
  let limit = declaredSlots;
  let longAverageMs = serviceMs;
  let shortAverageMs = serviceMs;
  return {
    get: () => Math.max(1, Math.floor(limit)),
    addSample: (latencyMs) => {
      longAverageMs += 0.002 * (latencyMs - longAverageMs);
      shortAverageMs += 0.05 * (latencyMs - shortAverageMs);
      const gradient = Math.min(1, Math.max(0.5, (1.5 * longAverageMs) / shortAverageMs));
      const next = Math.min(declaredSlots, limit * gradient + 1);
      limit += 0.2 * (next - limit);
    },
  };
}

/** Simulates one endpoint at 1.5 times its capacity with a fixed or an adaptive limit. */
export function runLimit(isAdaptive: boolean, trueSlots: number, seed: number): LimitResult {
  const clock = new SimClock();
  const random = createRandom(seed);
  const fixed: ConcurrencyLimit = { get: () => declaredSlots, addSample: () => undefined };
  const limit = isAdaptive ? createAdaptiveLimit() : fixed;
  const queue: number[] = [];
  const latencies: number[] = [];
  let running = 0;
  let limitSum = 0;

  function startNext(): void {
    while (running < limit.get()) {
      const arrivedMs = queue.shift();
      if (arrivedMs === undefined) return;
      if (clock.getNowMs() - arrivedMs > deadlineMs) continue;
      running += 1;
      const startMs = clock.getNowMs();
      const slowdown = computeSlowdown(running, trueSlots);
      clock.setTimer(random.getExponential(serviceMs) * slowdown, () => {
        running -= 1;
        limitSum += limit.get();
        latencies.push(clock.getNowMs() - arrivedMs);
        limit.addSample(clock.getNowMs() - startMs);
        startNext();
      });
    }
  }

  const perMs = trueSlots / serviceMs;
  function addArrival(): void {
    queue.push(clock.getNowMs());
    startNext();
    clock.setTimer(random.getExponential(1 / (perMs * load)), addArrival);
  }
  addArrival();
  clock.run(durationMs);
  return {
    isAdaptive,
    trueSlots,
    goodput: latencies.length / (perMs * durationMs),
    p99Ms: computePercentile(latencies, 99),
    meanLimit: limitSum / Math.max(1, latencies.length),
  };
}
