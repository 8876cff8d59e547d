import { setTimeout as sleep } from 'node:timers/promises';
import type { DaemonProcess } from '../cluster/index.ts';
import { EndpointFault } from '@bergamotreach/standin';
import type { LoadResult, LoadSpec } from './loadspec.ts';
import {
  accountTokens,
  listDaemonTargets,
  listDirectTargets,
  nominalPerSecond,
  readUsage,
  runLoadProcess,
  startTestbed,
} from './testbed.ts';
import type { Testbed } from './testbed.ts';

/** Measurements of one phase. */
export interface LiveRow {
  phase: string;
  /** Offered load as a share of the nominal capacity. */
  load: number;
  sentPerSecond: number;
  goodPerSecond: number;
  /** Good responses as a share of the offered load or the nominal capacity, whichever is less. */
  goodput: number;
  p50: number;
  p99: number;
  p999: number;
  /** CPU of all measured daemons per request sent, in milliseconds. */
  cpuMsPerRequest: number;
  residentMb: number;
  slowestRefusalMs: number;
  /** Good responses in each second. */
  series: number[];
  other: Record<string, number>;
}

interface PhaseOptions {
  phase: string;
  load: number;
  isDirect?: boolean;
  /**
   * Loads both regions, so that requests cannot spill over to idle endpoints of the other region.
   */
  isBothRegions?: boolean;
  isIdempotent?: boolean;
  /** Runs while the load is being sent. */
  injectFault?: (testbed: Testbed) => Promise<void>;
  durationMs?: number;
}

const deadlineMs = 1000;
const phaseMs = 6000;
const faultDelayMs = 1500;

async function sumUsage(
  daemons: readonly DaemonProcess[],
): Promise<{ cpuMs: number; residentMb: number }> {
  let cpuMs = 0;
  let residentMb = 0;
  for (const daemon of daemons) {
    if (daemon.hasExited()) continue;
    const usage = await readUsage(daemon.pid);
    cpuMs += usage.cpuMs;
    residentMb = Math.max(residentMb, usage.residentMb);
  }
  return { cpuMs, residentMb };
}

/** Nominal capacity of the loaded regions in requests per second. */
function getCapacity(options: PhaseOptions): number {
  return nominalPerSecond * (options.isBothRegions === true ? 2 : 1);
}

function createRow(options: PhaseOptions, result: LoadResult): Omit<LiveRow, 'cpuMsPerRequest'> {
  const [stream] = result.streams;
  if (stream === undefined) throw new Error('the load has no stream');
  const seconds = result.durationMs / 1000;
  const goodPerSecond = stream.good / seconds;
  const achievablePerSecond = Math.min(stream.sent / seconds, getCapacity(options));
  return {
    phase: options.phase,
    load: options.load,
    sentPerSecond: stream.sent / seconds,
    goodPerSecond,
    goodput: goodPerSecond / achievablePerSecond,
    ...stream.latency,
    residentMb: 0,
    slowestRefusalMs: stream.slowestRefusalMs,
    series: stream.goodPerSecond,
    other: stream.other,
  };
}

/** Runs and measures one phase of load. */
export async function runPhase(testbed: Testbed, options: PhaseOptions): Promise<LiveRow> {
  const daemons = options.isBothRegions === true ? testbed.cluster.daemons : testbed.daemons;
  const isDirect = options.isDirect === true;
  const targets = isDirect ? listDirectTargets(testbed) : listDaemonTargets(testbed, daemons);
  const ratePerSecond = getCapacity(options) * options.load;
  const spec: LoadSpec = {
    targets,
    streams: [
      { name: options.phase.replaceAll(' ', '-'), token: accountTokens.alpha, ratePerSecond },
    ],
    durationMs: options.durationMs ?? phaseMs,
    deadlineMs,
    isIdempotent: options.isIdempotent ?? true,
    seed: 5,
  };
  const before = await sumUsage(daemons);
  const running = runLoadProcess(spec);
  if (options.injectFault !== undefined) {
    await sleep(faultDelayMs);
    await options.injectFault(testbed);
  }
  const result = await running;
  const after = await sumUsage(daemons);
  const row = createRow(options, result);
  const sent = result.streams.reduce((sum, stream) => sum + stream.sent, 0);
  const cpuMsPerRequest = Math.max(0, after.cpuMs - before.cpuMs) / Math.max(1, sent);
  return { ...row, cpuMsPerRequest, residentMb: after.residentMb };
}

function setFault(testbed: Testbed, id: string, fault: EndpointFault): void {
  testbed.cluster.platform.endpoints.get(id)?.setFault(fault);
}

async function failEndpoint(testbed: Testbed): Promise<void> {
  setFault(testbed, 'noord-1-e0', EndpointFault.Stall);
  await sleep(2500);
  setFault(testbed, 'noord-1-e0', EndpointFault.None);
}

async function stopStore(testbed: Testbed): Promise<void> {
  testbed.cluster.platform.faults.isStoreDown = true;
  await sleep(3000);
  testbed.cluster.platform.faults.isStoreDown = false;
}

/** Pauses and resumes the daemons of the other region, which simulates a cut link. */
async function pauseRegion(testbed: Testbed): Promise<void> {
  for (const daemon of testbed.otherDaemons) daemon.sendSignal('SIGSTOP');
  await sleep(4000);
  for (const daemon of testbed.otherDaemons) daemon.sendSignal('SIGCONT');
}

async function killDaemon(testbed: Testbed): Promise<void> {
  testbed.daemons[1]?.sendSignal('SIGKILL');
  await testbed.daemons[1]?.exited;
}

/** Phases in order of execution; the last one leaves a single daemon in the measured region. */
const phases: PhaseOptions[] = [
  { phase: 'direct', load: 0.5, isDirect: true },
  { phase: 'routed', load: 0.5 },
  { phase: 'both regions', load: 0.9, isBothRegions: true },
  { phase: 'both regions', load: 1.5, isBothRegions: true },
  { phase: 'both regions', load: 3, isBothRegions: true },
  { phase: 'non-idempotent', load: 0.3, isIdempotent: false },
  { phase: 'endpoint stalls', load: 0.5, injectFault: failEndpoint },
  { phase: 'store away', load: 0.5, injectFault: stopStore },
  { phase: 'region cut', load: 0.5, injectFault: pauseRegion },
  { phase: 'daemon killed', load: 0.5, injectFault: killDaemon, durationMs: 9000 },
];

/** Runs all phases, or those whose name contains `filter`. */
export async function runLive(
  filter: string,
  reportRow: (row: LiveRow) => void,
): Promise<LiveRow[]> {
  const testbed = await startTestbed();
  const rows: LiveRow[] = [];
  try {
    await runPhase(testbed, { phase: 'warm-up', load: 0.4, durationMs: 3000 });
    await runPhase(testbed, { phase: 'warm-up', load: 0.4, isDirect: true, durationMs: 2000 });
    for (const options of phases) {
      if (!options.phase.includes(filter)) continue;
      const row = await runPhase(testbed, options);
      rows.push(row);
      reportRow(row);
      await sleep(1000);
    }
  } finally {
    await testbed.stop();
  }
  return rows;
}
