import { setTimeout as sleep } from 'node:timers/promises';
import { EndpointFault, setEndpointFault } from '@bergamotreach/standin';
import type { FaultSwitches } from '@bergamotreach/standin';
import { waitUntil } from '../cluster/index.ts';
import type { DaemonProcess } from '../cluster/index.ts';
import { cancelBatch, runJobBurst, submitHopelessJobs } from './jobs.ts';
import { runOperators } from './operators.ts';
import { countRuns, region, sendRequest } from './scene.ts';
import type { Scene } from './scene.ts';

/** Causes a fault, waits, and ends it where it is not permanent. */
export type FaultAction = (scene: Scene) => Promise<void>;

const pauseMs = 6000;
const outageMs = 6000;
// Longer than the task lease of 30 s with its margin.
const longOutageMs = 45_000;
const probeCount = 5;
const takeoverTimeoutMs = 15_000;

async function findOwner(scene: Scene): Promise<DaemonProcess> {
  return waitUntil('an owner', takeoverTimeoutMs, async () => scene.cluster.findOwner(region));
}

async function findOther(scene: Scene): Promise<DaemonProcess> {
  const owner = await findOwner(scene);
  const other = scene.cluster.daemons.find((one) => one !== owner && !one.hasExited());
  if (other === undefined) throw new Error('no daemon but the owner runs');
  return other;
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

/** Sets switches of the stand-in for some time. */
async function setFaults(
  scene: Scene,
  faults: Partial<FaultSwitches>,
  durationMs: number,
): Promise<void> {
  const { faults: switches } = scene.cluster.platform;
  const before = { ...switches };
  Object.assign(switches, faults);
  await sleep(durationMs);
  for (const key of Object.keys(faults) as (keyof FaultSwitches)[]) {
    Object.assign(switches, { [key]: before[key] });
  }
}

/** Non-idempotent requests in an outage must be refused as `not_run`, and must not run. */
async function checkRefusals(scene: Scene): Promise<void> {
  await sleep(2000);
  for (let index = 0; index < probeCount; index += 1) {
    const id = `probe-${index}`;
    const answer = await sendRequest(scene, id, false).catch(() => undefined);
    // A paused daemon may answer after the outage; such an answer shows nothing about it.
    if (!scene.cluster.platform.faults.isStoreDown) return;
    const outcome = answer?.headers['x-outcome'];
    if (outcome !== 'not_run' && outcome !== 'unknown') {
      scene.violations.push(`${id} in an outage: ${answer?.status ?? 'reset'} ${String(outcome)}`);
    }
    await sleep(200);
    const isWrong = outcome === 'not_run' && countRuns(scene, id) > 0;
    if (isWrong) scene.violations.push(`${id} was answered not_run and ran`);
  }
}

/** A worker that runs a member of the gang. */
function findGangWorker(scene: Scene): string {
  const { agents } = scene.cluster.platform;
  const isBusy = ([, agent]: [string, { listRecords(): { spec: { jobId: string } }[] }]) =>
    agent.listRecords().some((record) => record.spec.jobId === scene.jobId);
  return [...agents].find(isBusy)?.[0] ?? '';
}

function getEndpoints(scene: Scene, count: number): string[] {
  return [...scene.cluster.platform.endpoints.keys()].slice(0, count);
}

async function setEndpoints(scene: Scene, fault: EndpointFault): Promise<void> {
  const ids = getEndpoints(scene, 3);
  setEndpointFault(scene.cluster.platform, ids, fault);
  await sleep(outageMs);
  setEndpointFault(scene.cluster.platform, ids, EndpointFault.None);
}

/** Every single fault by name. */
export const faultActions: Record<string, FaultAction> = {
  killOwner: async (scene) => killDaemon(await findOwner(scene)),
  killRouter: async (scene) => killDaemon(await findOther(scene)),
  pauseOwner: async (scene) => pauseDaemon(await findOwner(scene)),
  pauseRouter: async (scene) => pauseDaemon(await findOther(scene)),
  drainRouter: async (scene) => {
    const daemon = await findOther(scene);
    daemon.sendSignal('SIGTERM');
    const code = await daemon.exited;
    if (code !== 0) scene.violations.push(`planned stop ended with ${code}`);
  },
  storeDown: async (scene) => {
    await Promise.all([setFaults(scene, { isStoreDown: true }, outageMs), checkRefusals(scene)]);
  },
  storeHung: async (scene) => setFaults(scene, { isStoreHung: true }, outageMs),
  storeSlow: async (scene) => setFaults(scene, { storeDelayMs: 700 }, outageMs),
  storeDownLong: async (scene) => setFaults(scene, { isStoreDown: true }, longOutageMs),
  lostReplies: async (scene) => setFaults(scene, { lostReplyShare: 0.5 }, outageMs),
  listLag: async (scene) => setFaults(scene, { listLagMs: 10_000 }, outageMs),
  listDown: async (scene) => setFaults(scene, { isListDown: true }, outageMs),
  workerLost: async (scene) => {
    scene.cluster.platform.agents.get(findGangWorker(scene))?.restart();
    return Promise.resolve();
  },
  workerCut: async (scene) => {
    const worker = findGangWorker(scene);
    scene.cluster.platform.unreachable.add(worker);
    await sleep(longOutageMs);
    scene.cluster.platform.unreachable.delete(worker);
  },
  workerBroken: async (scene) => {
    const worker = findGangWorker(scene);
    scene.cluster.platform.agents.get(worker)?.setBroken(true);
    scene.cluster.platform.agents.get(worker)?.restart();
    return Promise.resolve();
  },
  endpointKilled: async (scene) => {
    const ids = getEndpoints(scene, 2);
    for (const id of ids) await scene.cluster.platform.endpoints.get(id)?.kill();
  },
  endpointStall: async (scene) => setEndpoints(scene, EndpointFault.Stall),
  endpointReset: async (scene) => setEndpoints(scene, EndpointFault.ResetAfter),
  endpointTruncate: async (scene) => setEndpoints(scene, EndpointFault.Truncate),
  endpointLeaving: async (scene) => setEndpoints(scene, EndpointFault.Leaving),
  operatorsRace: runOperators,
  jobBurst: runJobBurst,
  cancelBatch,
  hopelessJobs: submitHopelessJobs,
};
