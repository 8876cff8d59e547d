import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** Faults of the platform services that can be switched on at run time. */
export interface FaultSwitches {
  /** Table and object store answer 503. */
  isStoreDown: boolean;
  /** Table and object store accept requests and hold them until the client times out. */
  isStoreHung: boolean;
  /** Latency added to each store call, in milliseconds. */
  storeDelayMs: number;
  /** Fraction of commits, 0 to 1, whose reply is lost after the commit was processed. */
  lostReplyShare: number;
  /** The instance list answers 503. */
  isListDown: boolean;
  /** Delay until a change appears in the instance list, in milliseconds. */
  listLagMs: number;
}

/** Creates the switches with every fault off and an instance list that lags by 2 s. */
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

/** Creates a seeded source of random numbers in [0, 1). */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
