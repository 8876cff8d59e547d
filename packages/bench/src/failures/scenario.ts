import { setTimeout as sleep } from 'node:timers/promises';
import { waitUntil } from '../cluster/index.ts';
import { runLoad } from '../demo/load.ts';
import type { LoadResult } from '../demo/load.ts';
import { faultActions } from './faults.ts';
import { watchGang } from './gangtiming.ts';
import type { GangTiming } from './gangtiming.ts';
import { countRuns, loadJobState, startContext, submitGang, tokens } from './context.ts';
import type { ScenarioContext } from './context.ts';

/** Result of a scenario. */
export interface ScenarioResult {
  name: string;
  seed: number;
  /** Violated invariants; empty if the scenario passed. */
  violations: string[];
  /** Measured values, in the order in which they are printed. */
  figures: Record<string, string | number>;
}

const gangRunMs = 8000;
const longGangRunMs = 90_000;
const requestCount = 400;
const concurrency = 48;
const loadPauseMs = 100;
const jobTimeoutMs = 150_000;
const maxOffsetMs = 1500;
const slotsPerEndpoint = 8;
// The retry budget also limits retries of idempotent requests, so an unknown outcome is allowed.
const unknownIdempotent = 'unknown although idempotent';
// Task lease plus margin plus the interval of lease checks: the remaining members of a gang can run
// alone until their leases expire.
const maxPartialMs = 33_000;

/** Runs the named faults, each after a random delay from the seed. */
async function runFaults(context: ScenarioContext, names: readonly string[]): Promise<void> {
  const offsets = names.map(() => Math.floor(context.random() * maxOffsetMs));
  await Promise.all(
    names.map(async (name, index) => {
      await sleep(offsets[index]);
      await faultActions[name]?.(context);
    }),
  );
}

/** Sends rounds of load until the faults are over, then one more round. */
async function runLoadDuringFaults(
  context: ScenarioContext,
  faults: Promise<void>,
): Promise<LoadResult> {
  const { cluster, service } = context;
  const run = async () => runLoad({ cluster, service, tokens, count: requestCount, concurrency });
  const state = { isOver: false };
  const faultsDone = faults.finally(() => (state.isOver = true));
  // Awaited below. Without this handler, an earlier rejection would end this process and leave its
  // daemons running.
  faultsDone.catch(() => undefined);
  const total = await run();
  do {
    addLoad(total, await run());
    await sleep(loadPauseMs);
  } while (!state.isOver);
  addLoad(total, await run());
  await faultsDone;
  return total;
}

function addLoad(total: LoadResult, more: LoadResult): void {
  total.sent += more.sent;
  total.answered += more.answered;
  total.unknown += more.unknown;
  total.retries += more.retries;
  total.failures.push(...more.failures);
  total.nonIdempotentIds.push(...more.nonIdempotentIds);
}

/** Whether the design allows this failure of a request. */
function isAllowed(text: string, names: readonly string[]): boolean {
  if (text.endsWith(unknownIdempotent)) return true;
  // The load retries a refused request for only 10 s, less than a long outage.
  return names.includes('storeDownLong') && text.includes('"store_unavailable"');
}

function checkLoad(context: ScenarioContext, load: LoadResult, names: readonly string[]): string[] {
  const ranTwice = load.nonIdempotentIds.filter((id) => countRuns(context, id) > 1);
  const peak = getPeakSlots(context);
  const failures = load.failures.filter((text) => !isAllowed(text, names));
  return [
    ...failures.slice(0, 1).map((text) => `request: ${text} (${failures.length} in all)`),
    ...ranTwice.slice(0, 1).map((id) => `request ${id} ran twice (${ranTwice.length} in all)`),
    ...(peak > slotsPerEndpoint ? [`${peak} of ${slotsPerEndpoint} slots in use`] : []),
  ];
}

function getPeakSlots(context: ScenarioContext): number {
  const endpoints = [...context.cluster.platform.endpoints.values()];
  return Math.max(...endpoints.map((one) => one.getStats().peakInProgress));
}

function checkGang(gang: GangTiming, jobState: string): string[] {
  return [
    ...(jobState === 'done' ? [] : [`job ended as "${jobState}"`]),
    ...(gang.overlapMs > 0 ? [`two attempts ran at once for ${gang.overlapMs.toFixed(0)} ms`] : []),
    ...(gang.partialMs > maxPartialMs
      ? [`a part of the gang ran alone for ${gang.partialMs.toFixed(0)} ms`]
      : []),
  ];
}

async function waitForJob(context: ScenarioContext): Promise<string> {
  const isEnded = (state: string) => ['done', 'failed', 'cancelled'].includes(state);
  return waitUntil('end of the job', jobTimeoutMs, async () => {
    const state = await loadJobState(context);
    return isEnded(state) ? state : undefined;
  }).catch(async () => loadJobState(context));
}

async function runInContext(
  context: ScenarioContext,
  name: string,
  seed: number,
): Promise<ScenarioResult> {
  const names = name.split('+');
  const watch = watchGang(context);
  const isLong = names.some((fault) => fault === 'storeDownLong' || fault === 'workerCut');
  await submitGang(context, isLong ? longGangRunMs : gangRunMs);
  await sleep(1500);
  const load = await runLoadDuringFaults(context, runFaults(context, names));
  const jobState = await waitForJob(context);
  const gang = watch.stop();
  return {
    name,
    seed,
    violations: [
      ...context.violations,
      ...checkLoad(context, load, names),
      ...checkGang(gang, jobState),
    ],
    figures: {
      answered: `${load.answered}/${load.sent}`,
      unknown: load.unknown,
      unknownIdempotent: load.failures.filter((text) => text.endsWith(unknownIdempotent)).length,
      refused: load.failures.filter((text) => text.includes('"store_unavailable"')).length,
      repeated: load.retries,
      job: jobState,
      attempts: gang.attempts,
      partialMs: gang.partialMs.toFixed(0),
      peakSlots: getPeakSlots(context),
    },
  };
}

/** Injects the faults joined by `+` in `name` while requests and a gang job are running. */
export async function runScenario(name: string, seed: number): Promise<ScenarioResult> {
  const unknown = name.split('+').find((one) => faultActions[one] === undefined);
  if (unknown !== undefined) {
    const known = Object.keys(faultActions).join(', ');
    return { name, seed, violations: [`no fault "${unknown}"; known: ${known}`], figures: {} };
  }
  const startMs = performance.now();
  const context = await startContext(seed);
  try {
    const result = await runInContext(context, name, seed);
    result.figures.seconds = ((performance.now() - startMs) / 1000).toFixed(0);
    return result;
  } finally {
    await context.cluster.stop();
  }
}
