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

/** One measured phase. */
export interface LiveRow {
  phase: string;
  /** Offered load as a part of the nominal capacity. */
  load: number;
  sentPerSecond: number;
  goodPerSecond: number;
  /** Good answers as a part of what the nominal capacity or the offered load allows. */
  goodput: number;
  p50: number;
  p99: number;
  p999: number;
  /** CPU of all measured daemons per request sent, in milliseconds. */
  cpuMsPerRequest: number;
  residentMb: number;
  slowestRefusalMs: number;
  /** Good answers in each second. */
  series: number[];
  other: Record<string, number>;
}

interface PhaseOptions {
  phase: string;
  load: number;
  isDirect?: boolean;
  /** Loads both regions, so that no requests go to idle endpoints of the other one. */
  isBoth?: boolean;
  isIdempotent?: boolean;
  /** Runs while the load is on; gets the bed. */
  disturb?: (bed: Testbed) => Promise<void>;
  durationMs?: number;
}

const deadlineMs = 1000;
const phaseMs = 6000;
const disturbAfterMs = 1500;

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
  return nominalPerSecond * (options.isBoth === true ? 2 : 1);
}

function createRow(options: PhaseOptions, result: LoadResult): Omit<LiveRow, 'cpuMsPerRequest'> {
  const [stream] = result.streams;
  if (stream === undefined) throw new Error('the load has no stream');
  const seconds = result.durationMs / 1000;
  const goodPerSecond = stream.good / seconds;
  const possible = Math.min(stream.sent / seconds, getCapacity(options));
  return {
    phase: options.phase,
    load: options.load,
    sentPerSecond: stream.sent / seconds,
    goodPerSecond,
    goodput: goodPerSecond / possible,
    ...stream.latency,
    residentMb: 0,
    slowestRefusalMs: stream.slowestRefusalMs,
    series: stream.goodPerSecond,
    other: stream.other,
  };
}

/** Runs one phase of load and measures it. */
export async function runPhase(bed: Testbed, options: PhaseOptions): Promise<LiveRow> {
  const daemons = options.isBoth === true ? bed.cluster.daemons : bed.daemons;
  const isDirect = options.isDirect === true;
  const targets = isDirect ? listDirectTargets(bed) : listDaemonTargets(bed, daemons);
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
  if (options.disturb !== undefined) {
    await sleep(disturbAfterMs);
    await options.disturb(bed);
  }
  const result = await running;
  const after = await sumUsage(daemons);
  const row = createRow(options, result);
  const sent = result.streams.reduce((sum, stream) => sum + stream.sent, 0);
  const cpuMsPerRequest = Math.max(0, after.cpuMs - before.cpuMs) / Math.max(1, sent);
  return { ...row, cpuMsPerRequest, residentMb: after.residentMb };
}

function setFault(bed: Testbed, id: string, fault: EndpointFault): void {
  bed.cluster.platform.endpoints.get(id)?.setFault(fault);
}

async function failEndpoint(bed: Testbed): Promise<void> {
  setFault(bed, 'noord-1-e0', EndpointFault.Stall);
  await sleep(2500);
  setFault(bed, 'noord-1-e0', EndpointFault.None);
}

async function stopStore(bed: Testbed): Promise<void> {
  bed.cluster.platform.faults.isStoreDown = true;
  await sleep(3000);
  bed.cluster.platform.faults.isStoreDown = false;
}

/** The other region's daemons are paused, as if its link were cut, then resumed. */
async function pauseRegion(bed: Testbed): Promise<void> {
  for (const daemon of bed.others) daemon.sendSignal('SIGSTOP');
  await sleep(4000);
  for (const daemon of bed.others) daemon.sendSignal('SIGCONT');
}

async function killDaemon(bed: Testbed): Promise<void> {
  bed.daemons[1]?.sendSignal('SIGKILL');
  await bed.daemons[1]?.exited;
}

/** Phases in order; the last one leaves one daemon in the measured region. */
const phases: PhaseOptions[] = [
  { phase: 'direct', load: 0.5, isDirect: true },
  { phase: 'routed', load: 0.5 },
  { phase: 'both regions', load: 0.9, isBoth: true },
  { phase: 'both regions', load: 1.5, isBoth: true },
  { phase: 'both regions', load: 3, isBoth: true },
  { phase: 'non-idempotent', load: 0.3, isIdempotent: false },
  { phase: 'endpoint stalls', load: 0.5, disturb: failEndpoint },
  { phase: 'store away', load: 0.5, disturb: stopStore },
  { phase: 'region cut', load: 0.5, disturb: pauseRegion },
  { phase: 'daemon killed', load: 0.5, disturb: killDaemon, durationMs: 9000 },
];

/** Runs all phases, or those whose name contains `filter`. */
export async function runLive(filter: string, showRow: (row: LiveRow) => void): Promise<LiveRow[]> {
  const bed = await startTestbed();
  const rows: LiveRow[] = [];
  try {
    await runPhase(bed, { phase: 'warm-up', load: 0.4, durationMs: 3000 });
    await runPhase(bed, { phase: 'warm-up', load: 0.4, isDirect: true, durationMs: 2000 });
    for (const options of phases) {
      if (!options.phase.includes(filter)) continue;
      const row = await runPhase(bed, options);
      rows.push(row);
      showRow(row);
      await sleep(1000);
    }
  } finally {
    await bed.stop();
  }
  return rows;
}
