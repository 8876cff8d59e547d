/** Counts work that a shutdown must wait for. */
export interface OpenWork {
  addOne(): void;
  removeOne(): void;
  count(): number;
  /** Resolves when nothing is open. */
  waitIdle(): Promise<void>;
}

/** Creates a count of 0. */
export function createOpenWork(): OpenWork {
  let open = 0;
  let waiters: (() => void)[] = [];
  return {
    addOne: () => {
      open += 1;
    },
    removeOne: () => {
      open -= 1;
      if (open > 0) return;
      const ready = waiters;
      waiters = [];
      for (const resolve of ready) resolve();
    },
    count: () => open,
    waitIdle: () =>
      open === 0
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.push(resolve);
          }),
  };
}
