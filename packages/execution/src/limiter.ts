/** Limits the number of concurrent asynchronous calls; the others wait in FIFO order. */
export interface Limiter {
  run<T>(call: () => Promise<T>): Promise<T>;
  /** Number of calls that wait for a slot. */
  getWaiting(): number;
}

/** Creates a limiter for at most `maxRunning` concurrent calls. */
export function createLimiter(maxRunning: number): Limiter {
  const waiting: (() => void)[] = [];
  let running = 0;

  async function waitForSlot(): Promise<void> {
    if (running < maxRunning) {
      running += 1;
      return;
    }
    // The call that ends hands over its slot, so `running` does not change.
    await new Promise<void>((resolve) => waiting.push(resolve));
  }

  function releaseSlot(): void {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  }

  return {
    async run(call) {
      await waitForSlot();
      try {
        return await call();
      } finally {
        releaseSlot();
      }
    },
    getWaiting: () => waiting.length,
  };
}
