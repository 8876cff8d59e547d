import { Clock } from '@bergamotreach/protocol';
import type { CancelTimer } from '@bergamotreach/protocol';

interface Entry {
  dueMs: number;
  order: number;
  action: () => void;
  isCancelled: boolean;
}

function isBefore(left: Entry, right: Entry): boolean {
  return left.dueMs < right.dueMs || (left.dueMs === right.dueMs && left.order < right.order);
}

/** Clock in virtual time: timers run in order of their due time, without waiting. */
export class SimClock extends Clock {
  private nowMs = 0;
  private order = 0;
  /** Binary heap by due time. */
  private readonly heap: Entry[] = [];

  getNowMs(): number {
    return this.nowMs;
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    const dueMs = this.nowMs + Math.max(0, delayMs);
    const entry = { dueMs, order: this.order++, action, isCancelled: false };
    this.insert(entry);
    return () => {
      entry.isCancelled = true;
    };
  }

  /** Runs all timers that are due by `endMs` and advances the clock to it. */
  run(endMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.dueMs > endMs) break;
      this.removeFirst();
      this.nowMs = next.dueMs;
      if (!next.isCancelled) next.action();
    }
    this.nowMs = endMs;
  }

  private insert(entry: Entry): void {
    const { heap } = this;
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || !isBefore(entry, above)) break;
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      const left = heap[child];
      const right = heap[child + 1];
      if (left === undefined) break;
      if (right !== undefined && isBefore(right, left)) child += 1;
      const below = heap[child];
      if (below === undefined || !isBefore(below, last)) break;
      heap[index] = below;
      index = child;
    }
    heap[index] = last;
  }
}
