/** Bounds how many asynchronous calls run at once; the others wait in order. */
export interface Limiter {
  run<T>(call: () => Promise<T>): Promise<T>;
  getWaiting(): number;
}

/** Creates a limiter of `maxRunning` calls. */
export function createLimiter(maxRunning: number): Limiter {
  const waiting: (() => void)[] = [];
  let running = 0;

  async function takeSlot(): Promise<void> {
    if (running < maxRunning) {
      running += 1;
      return;
    }
    // The slot is handed over by the call that ends, so `running` stays the same.
    await new Promise<void>((resolve) => waiting.push(resolve));
  }

  function releaseSlot(): void {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  }

  return {
    async run(call) {
      await takeSlot();
      try {
        return await call();
      } finally {
        releaseSlot();
      }
    },
    getWaiting: () => waiting.length,
  };
}
