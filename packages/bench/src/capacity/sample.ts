import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';

/** Resource usage of a process over a sampling period. */
export interface Usage {
  /** Processor time, in percent of one core. */
  cpuPercent: number;
  /** Resident memory at the end, in MB (2^20 bytes). */
  residentMb: number;
  /**
   * Bytes read and written by system calls on sockets and files, log included, in KB (2^10 bytes)
   * per second.
   */
  kilobytesPerSecond: number;
}

interface Counters {
  atMs: number;
  cpuMs: number;
  bytes: number;
}

// Linux counts processor time in ticks of 10 ms on every supported platform.
const tickMs = 10;

async function readCounters(pid: number): Promise<Counters> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  // The command name can contain spaces, so fields are counted from the one after it, the state.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = await readFile(`/proc/${pid}/io`, 'utf8');
  const bytes = ['rchar', 'wchar'].map((key) => Number(new RegExp(`${key}: (\\d+)`).exec(io)?.[1]));
  return {
    atMs: performance.now(),
    cpuMs: ticks * tickMs,
    bytes: bytes.reduce((sum, count) => sum + count, 0),
  };
}

async function readResidentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024;
}

/** Measures the resource usage of a process for `durationMs`. */
export async function measureUsage(pid: number, durationMs: number): Promise<Usage> {
  const before = await readCounters(pid);
  await sleep(durationMs);
  const after = await readCounters(pid);
  const elapsedMs = after.atMs - before.atMs;
  return {
    cpuPercent: ((after.cpuMs - before.cpuMs) / elapsedMs) * 100,
    residentMb: await readResidentMb(pid),
    kilobytesPerSecond: (after.bytes - before.bytes) / 1024 / (elapsedMs / 1000),
  };
}
