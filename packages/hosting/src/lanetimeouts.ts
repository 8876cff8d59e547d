import { createAdaptiveTimeout } from './adaptivetimeout.ts';
import type { AdaptiveTimeout, AdaptiveTimeoutLimits } from './adaptivetimeout.ts';

/**
 * Adaptive timeouts of the kinds of exchange with one service. Each lane backs off by itself: answers to other
 * kinds of exchange do not show that its own would be quick enough.
 */
export interface LaneTimeouts {
  recordResponse(lane: string, responseMs: number): void;
  recordTimeout(lane: string): void;
  /** Ends the backoff of a lane, for a response whose time is not measured. */
  resetBackoff(lane: string): void;
  getTimeoutMs(lane: string): number;
  /** Returns the time within which the service answers while it works, by the answers of all lanes. */
  getExpectedMs(): number;
}

/** Creates the timeouts. A lane without responses uses the estimate of all lanes. */
export function createLaneTimeouts(limits: AdaptiveTimeoutLimits): LaneTimeouts {
  const allLanes = createAdaptiveTimeout(limits);
  const lanes = new Map<string, AdaptiveTimeout>();

  function getLane(lane: string): AdaptiveTimeout {
    const known = lanes.get(lane);
    if (known !== undefined) return known;
    const created = createAdaptiveTimeout(limits, allLanes);
    lanes.set(lane, created);
    return created;
  }

  return {
    recordResponse(lane, responseMs) {
      allLanes.recordResponse(responseMs);
      getLane(lane).recordResponse(responseMs);
    },
    recordTimeout(lane) {
      getLane(lane).recordTimeout();
    },
    resetBackoff(lane) {
      getLane(lane).resetBackoff();
    },
    getTimeoutMs: (lane) => getLane(lane).getTimeoutMs(),
    getExpectedMs: () => allLanes.getExpectedMs(),
  };
}
