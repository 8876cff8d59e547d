/** Bounds the work of one turn of the event loop. */
export interface TurnLimit {
  /** Takes part of the limit of this turn; false if nothing is left of it. */
  take(amount: number): boolean;
  /** Calls `action` in the next turn, in the order of the calls. */
  queue(action: () => void): void;
}

/** Creates a limit of `maxAmount` a turn; the last part of a turn may exceed it. */
export function createTurnLimit(maxAmount: number): TurnLimit {
  let left = maxAmount;
  let isScheduled = false;

  return {
    take(amount) {
      if (left <= 0) return false;
      left -= amount;
      if (!isScheduled) {
        isScheduled = true;
        setImmediate(() => {
          isScheduled = false;
          left = maxAmount;
        });
      }
      return true;
    },
    queue(action) {
      setImmediate(action);
    },
  };
}
