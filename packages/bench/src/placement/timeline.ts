/** Items by due time; items of the same time come out in the order they were added. */
export interface Timeline<T> {
  add: (atMs: number, item: T) => void;
  getNextMs: () => number | undefined;
  /** Takes out the next item. */
  take: () => T | undefined;
}

interface Entry<T> {
  atMs: number;
  sequence: number;
  item: T;
}

function isBefore<T>(a: Entry<T>, b: Entry<T>): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/** Creates an empty timeline, kept as a binary heap. */
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
  const sink = (from: number): void => {
    let index = from;
    for (;;) {
      let least = index;
      if (isAhead(2 * index + 1, least)) least = 2 * index + 1;
      if (isAhead(2 * index + 2, least)) least = 2 * index + 2;
      if (least === index) return;
      swap(index, least);
      index = least;
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
    take: () => {
      const [top] = heap;
      const last = heap.pop();
      if (last !== undefined && heap.length > 0) {
        heap[0] = last;
        sink(0);
      }
      return top?.item;
    },
  };
}
