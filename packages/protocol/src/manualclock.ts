import { Clock } from './clock.ts';
import type { CancelTimer } from './clock.ts';

interface PendingTimer {
  dueMs: number;
  order: number;
  action: () => void;
}

/** Clock for tests: time advances only through `advance` and `skip`. */
export class ManualClock extends Clock {
  private nowMs = 0;
  private nextOrder = 0;
  private readonly pending = new Set<PendingTimer>();

  getNowMs(): number {
    return this.nowMs;
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    const timer = { dueMs: this.nowMs + Math.max(0, delayMs), order: this.nextOrder++, action };
    this.pending.add(timer);
    return () => {
      this.pending.delete(timer);
    };
  }

  /** Advances time without running timers, as if the process had been suspended and resumed. */
  skip(durationMs: number): void {
    this.nowMs += durationMs;
  }

  /** Advances time, runs due timers in order and lets pending promise chains continue after each. */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    for (;;) {
      const next = this.findNext(endMs);
      if (next === undefined) break;
      this.pending.delete(next);
      this.nowMs = Math.max(this.nowMs, next.dueMs);
      next.action();
      await waitForPromises();
    }
    this.nowMs = Math.max(this.nowMs, endMs);
    await waitForPromises();
  }

  private findNext(endMs: number): PendingTimer | undefined {
    let next: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.dueMs > endMs) continue;
      if (next === undefined || isBefore(timer, next)) next = timer;
    }
    return next;
  }
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  if (left.dueMs !== right.dueMs) return left.dueMs < right.dueMs;
  return left.order < right.order;
}

/** Waits until every promise chain that can continue has run to its next `await`. */
export async function waitForPromises(): Promise<void> {
  for (let round = 0; round < 4; round += 1) {
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}

/** Creates a manual clock that starts at 0. */
export function createManualClock(): ManualClock {
  return new ManualClock();
}
