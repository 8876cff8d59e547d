import { setTimeout as sleep } from 'node:timers/promises';
import { EndpointFault, setEndpointFault } from '@bergamotreach/standin';
import type { FaultSwitches } from '@bergamotreach/standin';
import { waitUntil } from '../cluster/index.ts';
import type { DaemonProcess } from '../cluster/index.ts';
import { cancelBatch, checkFailingJobs, runJobBurst } from './jobs.ts';
import { runOperatorRace } from './operators.ts';
import { countRuns, region, sendRequest } from './context.ts';
import type { ScenarioContext } from './context.ts';

/** Injects a fault and, unless it is permanent, clears it after some time. */
export type FaultAction = (context: ScenarioContext) => Promise<void>;

const pauseMs = 6000;
const outageMs = 6000;
// Exceeds the task lease of 30 s plus its margin.
const longOutageMs = 45_000;
const probeCount = 5;
const takeoverTimeoutMs = 15_000;

async function findOwner(context: ScenarioContext): Promise<DaemonProcess> {
  return waitUntil('an owner', takeoverTimeoutMs, async () => context.cluster.findOwner(region));
}

async function findNonOwner(context: ScenarioContext): Promise<DaemonProcess> {
  const owner = await findOwner(context);
  const nonOwner = context.cluster.daemons.find((one) => one !== owner && !one.hasExited());
  if (nonOwner === undefined) throw new Error('no daemon besides the owner is running');
  return nonOwner;
}

async function killDaemon(daemon: DaemonProcess): Promise<void> {
  daemon.sendSignal('SIGKILL');
  await daemon.exited;
}

async function pauseDaemon(daemon: DaemonProcess): Promise<void> {
  daemon.sendSignal('SIGSTOP');
  await sleep(pauseMs);
  daemon.sendSignal('SIGCONT');
}

/** Sets fault switches of the stand-in platform for `durationMs`, then restores them. */
async function applyFaults(
  context: ScenarioContext,
  faults: Partial<FaultSwitches>,
  durationMs: number,
): Promise<void> {
  const { faults: switches } = context.cluster.platform;
  const previous = { ...switches };
  Object.assign(switches, faults);
  await sleep(durationMs);
  for (const key of Object.keys(faults) as (keyof FaultSwitches)[]) {
    Object.assign(switches, { [key]: previous[key] });
  }
}

/**
 * Checks that non-idempotent requests during a store outage end as `not_run` or `unknown`, and that
 * none that was answered `not_run` ran.
 */
async function checkRefusals(context: ScenarioContext): Promise<void> {
  await sleep(2000);
  for (let index = 0; index < probeCount; index += 1) {
    const id = `probe-${index}`;
    const response = await sendRequest(context, id, false).catch(() => undefined);
    // A paused daemon can respond after the outage; that response says nothing about the outage.
    if (!context.cluster.platform.faults.isStoreDown) return;
    const outcome = response?.headers['x-outcome'];
    if (outcome !== 'not_run' && outcome !== 'unknown') {
      context.violations.push(
        `${id} in an outage: ${response?.status ?? 'reset'} ${String(outcome)}`,
      );
    }
    await sleep(200);
    const isWrong = outcome === 'not_run' && countRuns(context, id) > 0;
    if (isWrong) context.violations.push(`${id} was answered not_run and ran`);
  }
}

/** Id of a worker that has run a member of the gang; empty if there is none. */
function findGangWorker(context: ScenarioContext): string {
  const { agents } = context.cluster.platform;
  const hasGangTask = ([, agent]: [string, { listRecords(): { spec: { jobId: string } }[] }]) =>
    agent.listRecords().some((record) => record.spec.jobId === context.jobId);
  return [...agents].find(hasGangTask)?.[0] ?? '';
}

function listEndpointIds(context: ScenarioContext, count: number): string[] {
  return [...context.cluster.platform.endpoints.keys()].slice(0, count);
}

async function applyEndpointFault(context: ScenarioContext, fault: EndpointFault): Promise<void> {
  const ids = listEndpointIds(context, 3);
  setEndpointFault(context.cluster.platform, ids, fault);
  await sleep(outageMs);
  setEndpointFault(context.cluster.platform, ids, EndpointFault.None);
}

/** Fault actions by their names on the command line. */
export const faultActions: Record<string, FaultAction> = {
  killOwner: async (context) => killDaemon(await findOwner(context)),
  killRouter: async (context) => killDaemon(await findNonOwner(context)),
  pauseOwner: async (context) => pauseDaemon(await findOwner(context)),
  pauseRouter: async (context) => pauseDaemon(await findNonOwner(context)),
  drainRouter: async (context) => {
    const daemon = await findNonOwner(context);
    daemon.sendSignal('SIGTERM');
    const code = await daemon.exited;
    if (code !== 0) context.violations.push(`planned stop ended with ${code}`);
  },
  storeDown: async (context) => {
    await Promise.all([
      applyFaults(context, { isStoreDown: true }, outageMs),
      checkRefusals(context),
    ]);
  },
  storeHung: async (context) => applyFaults(context, { isStoreHung: true }, outageMs),
  storeSlow: async (context) => applyFaults(context, { storeDelayMs: 700 }, outageMs),
  storeDownLong: async (context) => applyFaults(context, { isStoreDown: true }, longOutageMs),
  lostReplies: async (context) => applyFaults(context, { lostReplyShare: 0.5 }, outageMs),
  listLag: async (context) => applyFaults(context, { listLagMs: 10_000 }, outageMs),
  listDown: async (context) => applyFaults(context, { isListDown: true }, outageMs),
  workerLost: async (context) => {
    context.cluster.platform.agents.get(findGangWorker(context))?.restart();
    return Promise.resolve();
  },
  workerCut: async (context) => {
    const worker = findGangWorker(context);
    context.cluster.platform.unreachableWorkers.add(worker);
    await sleep(longOutageMs);
    context.cluster.platform.unreachableWorkers.delete(worker);
  },
  workerBroken: async (context) => {
    const worker = findGangWorker(context);
    context.cluster.platform.agents.get(worker)?.setBroken(true);
    context.cluster.platform.agents.get(worker)?.restart();
    return Promise.resolve();
  },
  endpointKilled: async (context) => {
    const ids = listEndpointIds(context, 2);
    for (const id of ids) await context.cluster.platform.endpoints.get(id)?.kill();
  },
  endpointStall: async (context) => applyEndpointFault(context, EndpointFault.Stall),
  endpointReset: async (context) => applyEndpointFault(context, EndpointFault.ResetAfter),
  endpointTruncate: async (context) => applyEndpointFault(context, EndpointFault.Truncate),
  endpointLeaving: async (context) => applyEndpointFault(context, EndpointFault.Leaving),
  operatorsRace: runOperatorRace,
  jobBurst: runJobBurst,
  cancelBatch,
  hopelessJobs: checkFailingJobs,
};
