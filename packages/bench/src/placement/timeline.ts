/** Priority queue of items by due time; items with equal times keep their insertion order. */
export interface Timeline<T> {
  add: (atMs: number, item: T) => void;
  getNextMs: () => number | undefined;
  /** Removes and returns the next item. */
  removeNext: () => T | undefined;
}

interface Entry<T> {
  atMs: number;
  sequence: number;
  item: T;
}

function isBefore<T>(a: Entry<T>, b: Entry<T>): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** Creates an empty timeline, stored as a binary heap. */
export function createTimeline<T>(): Timeline<T> {
  const heap: Entry<T>[] = [];
  let sequence = 0;
  const swap = (a: number, b: number): void => {
    const first = heap[a];
    const second = heap[b];
    if (first === undefined || second === undefined) return;
    heap[a] = second;
    heap[b] = first;
  };
  const isAhead = (a: number, b: number): boolean => {
    const first = heap[a];
    const second = heap[b];
    return first !== undefined && second !== undefined && isBefore(first, second);
  };
  // Moves an entry down until no child is earlier.
  const repairHeap = (from: number): void => {
    let index = from;
    for (;;) {
      let earliest = index;
      if (isAhead(2 * index + 1, earliest)) earliest = 2 * index + 1;
      if (isAhead(2 * index + 2, earliest)) earliest = 2 * index + 2;
      if (earliest === index) return;
      swap(index, earliest);
      index = earliest;
    }
  };
  return {
    add: (atMs, item) => {
      sequence += 1;
      heap.push({ atMs, sequence, item });
      let index = heap.length - 1;
      while (index > 0 && isAhead(index, (index - 1) >> 1)) {
        swap(index, (index - 1) >> 1);
        index = (index - 1) >> 1;
      }
    },
    getNextMs: () => heap[0]?.atMs,
    removeNext: () => {
      const [top] = heap;
      const last = heap.pop();
      if (last !== undefined && heap.length > 0) {
        heap[0] = last;
        repairHeap(0);
      }
      return top?.item;
    },
  };
}
