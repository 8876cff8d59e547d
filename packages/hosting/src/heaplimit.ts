import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock } from '@bergamotreach/protocol';

/** Options of the heap's limit. */
export interface HeapLimitOptions {
  clock: Clock;
  /** Memory of the machine in bytes. */
  memoryBytes: number;
  getResidentBytes: () => number;
  /** Sets how far the heap may grow beyond what is in use, in percent; 0 leaves it to the runtime. */
  setGrowthPercent: (percent: number) => void;
  /** Collects all garbage now. */
  collectGarbage: () => void;
}

const checkMs = 100;
/** The heap grows slowly from the first share of the memory on, until less than the second is in use. */
const tightShare = 0.4;
const relaxedShare = 0.3;
const tightPercent = 20;
/** A collection stops the process for longer the more it holds, and a larger machine has room until the next one. */
const maxCollectedBytes = 256 * 1024 * 1024;

/**
 * Lets the heap grow slowly while much of the memory is in use. By itself the runtime lets garbage grow to the size of
 * what is in use, whatever the machine has.
 */
export function startHeapLimit(options: HeapLimitOptions): CancelTimer {
  const { clock, memoryBytes, getResidentBytes, setGrowthPercent, collectGarbage } = options;
  let isTight = false;
  return runEvery(clock, checkMs, () => {
    const residentBytes = getResidentBytes();
    const share = residentBytes / memoryBytes;
    const isTightNow = share > (isTight ? relaxedShare : tightShare);
    if (isTightNow === isTight) return;
    isTight = isTightNow;
    setGrowthPercent(isTight ? tightPercent : 0);
    // The runtime decides on the growth only after each collection; the one before may allow several times the heap.
    if (isTight && residentBytes <= maxCollectedBytes) collectGarbage();
  });
}
