/** Large responses that a process receives. They share its link with all other exchanges, which they delay. */
export interface LinkLoad {
  /** Records that bytes of a response arrived, of which `receivedBytes` have arrived so far. */
  recordBytes(receivedBytes: number, nowMs: number): void;
  /** Time at which bytes of a large response last arrived, in milliseconds; `-Infinity` before the first. */
  getLastMs(): number;
}

/** Smaller responses do not delay others noticeably: 30 ms on a link of 7 Mbit/s. */
const largeResponseBytes = 26_250;

/** Creates the load of one link; all clients of a process share it. */
export function createLinkLoad(): LinkLoad {
  let lastMs = -Infinity;

  return {
    recordBytes(receivedBytes, nowMs) {
      if (receivedBytes >= largeResponseBytes) lastMs = nowMs;
    },
    getLastMs: () => lastMs,
  };
}
