import type { Socket } from 'node:net';

/** Bounds the work of one turn of the event loop. */
export interface TurnLimit {
  /** Takes part of the limit of this turn; false if nothing is left of it. */
  take(amount: number): boolean;
  /** Calls `action` in a later turn that has something left, in the order of the calls. */
  queue(action: () => void): void;
}

/** Creates a limit of `maxAmount` a turn; the last part of a turn may exceed it. */
export function createTurnLimit(maxAmount: number): TurnLimit {
  const waiting: (() => void)[] = [];
  let left = maxAmount;
  let isScheduled = false;

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      left = maxAmount;
      runWaiting();
    });
  }

  function runWaiting(): void {
    if (left <= 0) return;
    const action = waiting.shift();
    if (action === undefined) return;
    if (waiting.length > 0) schedule();
    action();
    // Sockets resume in the next tick, which takes from the limit before the next action is due.
    process.nextTick(runWaiting);
  }

  return {
    take(amount) {
      if (left <= 0) return false;
      left -= amount;
      schedule();
      return true;
    },
    queue(action) {
      waiting.push(action);
      schedule();
    },
  };
}

/** How the bytes of a socket are taken. */
export interface SliceOptions {
  turnLimit: TurnLimit;
  /** Largest part that is handed over at once. */
  sliceBytes: number;
  handleSlice: (slice: Buffer) => void;
}

/**
 * Hands over what a socket receives in slices, as far as the limit of the turn allows, and nothing more once the
 * socket is closed. Buffers of a closed socket are freed only after the turn, so a turn must not receive
 * without bound. A socket that is paused elsewhere stays paused.
 */
export function readInSlices(socket: Socket, options: SliceOptions): void {
  const { turnLimit, sliceBytes, handleSlice } = options;
  socket.on('data', (chunk: Buffer) => {
    for (let from = 0; from < chunk.length && !socket.destroyed; from += sliceBytes) {
      if (socket.isPaused()) {
        socket.unshift(chunk.subarray(from));
        return;
      }
      const slice = chunk.subarray(from, from + sliceBytes);
      if (!turnLimit.take(slice.length)) {
        socket.pause().unshift(chunk.subarray(from));
        turnLimit.queue(() => socket.resume());
        return;
      }
      handleSlice(slice);
    }
  });
}
