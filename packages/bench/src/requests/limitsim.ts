import { createRandom } from '../random.ts';
import { computePercentile } from './statistics.ts';
import { SimClock } from './simclock.ts';

/** Result of a concurrency limit at one endpoint. */
export interface LimitResult {
  isAdaptive: boolean;
  /** Concurrency up to which the endpoint does not slow down. */
  trueSlots: number;
  /** Requests finished, as a part of what the endpoint can do. */
  goodput: number;
  p99Ms: number;
  meanLimit: number;
}

const declaredSlots = 8;
const serviceMs = 20;
const durationMs = 30_000;
const load = 1.5;
const deadlineMs = 500;

/** Slows down by more than the work added, as a thrashing endpoint does. */
function computeSlowdown(running: number, trueSlots: number): number {
  return Math.max(1, running / trueSlots) ** 1.5;
}

interface Limit {
  get(): number;
  addSample(tookMs: number): void;
}

/** Gradient limit: falls while recent latency is well above the long-term one. */
function createAdaptiveLimit(): Limit {
  let limit = declaredSlots;
  let longMs = serviceMs;
  let shortMs = serviceMs;
  return {
    get: () => Math.max(1, Math.floor(limit)),
    addSample: (tookMs) => {
      longMs += 0.002 * (tookMs - longMs);
      shortMs += 0.05 * (tookMs - shortMs);
      const gradient = Math.min(1, Math.max(0.5, (1.5 * longMs) / shortMs));
      const next = Math.min(declaredSlots, limit * gradient + 1);
      limit += 0.2 * (next - limit);
    },
  };
}

/** Simulates one endpoint at 1.5 times its load with a fixed or an adaptive limit. */
export function runLimit(isAdaptive: boolean, trueSlots: number, seed: number): LimitResult {
  const clock = new SimClock();
  const draws = createRandom(seed);
  const fixed: Limit = { get: () => declaredSlots, addSample: () => undefined };
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
      clock.setTimer(draws.getExponential(serviceMs) * slowdown, () => {
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
    clock.setTimer(draws.getExponential(1 / (perMs * load)), addArrival);
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
