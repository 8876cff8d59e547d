/** Counts operations in flight that a shutdown must wait for. */
export interface InFlightCounter {
  add(): void;
  remove(): void;
  count(): number;
  /** Resolves when the count is 0. */
  waitIdle(): Promise<void>;
}

/** Creates a counter that starts at 0. */
export function createInFlightCounter(): InFlightCounter {
  let inFlight = 0;
  let waiters: (() => void)[] = [];
  return {
    add: () => {
      inFlight += 1;
    },
    remove: () => {
      inFlight -= 1;
      if (inFlight > 0) return;
      const ready = waiters;
      waiters = [];
      for (const resolve of ready) resolve();
    },
    count: () => inFlight,
    waitIdle: () =>
      inFlight === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.push(resolve);
          }),
  };
}
