import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** Fault switches of the stand-in. All are off by default. */
export interface FaultSwitches {
  /** Table and object store answer 503. */
  isStoreDown: boolean;
  /** Table and object store accept connections and never answer. */
  isStoreHung: boolean;
  /** Added to each store call, in milliseconds. */
  storeDelayMs: number;
  /** Share of commits, 0 to 1, whose reply is dropped after the write took effect. */
  lostReplyShare: number;
  /** The instance list answers 503. */
  isListDown: boolean;
  /** Time until a change shows in the instance list, in milliseconds. */
  listLagMs: number;
}

/** Switches of a stand-in without faults; the list lags 2 s. */
export function createFaultSwitches(): FaultSwitches {
  return {
    isStoreDown: false,
    isStoreHung: false,
    storeDelayMs: 0,
    lostReplyShare: 0,
    isListDown: false,
    listLagMs: 2000,
  };
}

/** Draws numbers in [0, 1) from a seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
