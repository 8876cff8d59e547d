import type { Clock } from '@bergamotreach/protocol';

/** What clients make a process hold. */
export enum HoldCause {
  /** A connection with its requests under way and its unread answers. */
  Connection = 'connection',
  /** A body that has not arrived as a whole, or whose request is under way. */
  Body = 'body',
}

/** Memory that one client makes the process hold. */
export interface MemoryHold {
  /** Adds or, if negative, returns bytes. False if the hold was given up for want of memory. */
  add(bytes: number): boolean;
  /** Records that the client has made progress. */
  markProgress(): void;
  /** Sets whether the client waits for the process, which does not count as a lack of progress. */
  setWaiting(isWaiting: boolean): void;
  /** Keeps the hold until it is released: its request is under way. */
  settle(): void;
  /** Returns all bytes; has no effect on a hold that was given up. */
  release(): void;
}

/** Bounds the memory that clients make a process hold, whatever they send. */
export interface MemoryBudget {
  /** Opens an empty hold; `onEvict` is called if it is given up. */
  open(cause: HoldCause, onEvict: () => void): MemoryHold;
  getUsedBytes(cause: HoldCause): number;
}

/** Options of a memory budget. */
export interface MemoryBudgetOptions {
  clock: Clock;
  /** Bound of all holds together. */
  maxBytes: number;
  /** Bound of the bodies alone; `maxBytes` if absent. */
  maxBodyBytes?: number;
}

interface Hold {
  cause: HoldCause;
  bytes: number;
  progressMs: number;
  isWaiting: boolean;
  isSettled: boolean;
  onEvict: () => void;
}

/** A client without progress for this long is given up before any other. */
const stalledAfterMs = 1000;
/** Share of a machine's memory that clients may make the process hold. */
const memoryShare = 0.1;
const bytesPerMb = 1024 * 1024;
const minBudgetMb = 16;
/** More than the callers of one instance need: 128 bodies of the largest usual size at once. */
const maxBudgetMb = 32;

/** Budget in bytes of a process on a machine with `memoryMb` megabytes. */
export function computeBudgetBytes(memoryMb: number): number {
  return Math.min(maxBudgetMb, Math.max(minBudgetMb, memoryMb * memoryShare)) * bytesPerMb;
}

/**
 * Creates a budget. When it is exceeded, the clients that it costs least to lose are given up first: those
 * without progress, then those that hold most, then the newest.
 */
export function createMemoryBudget(options: MemoryBudgetOptions): MemoryBudget {
  const { clock, maxBytes, maxBodyBytes = maxBytes } = options;
  /** In the order in which they were opened. */
  const holds = new Set<Hold>();
  const usedBytes = new Map<HoldCause, number>();
  let totalBytes = 0;

  function count(hold: Hold, bytes: number): void {
    hold.bytes += bytes;
    totalBytes += bytes;
    usedBytes.set(hold.cause, (usedBytes.get(hold.cause) ?? 0) + bytes);
  }

  function remove(hold: Hold): void {
    if (holds.delete(hold)) count(hold, -hold.bytes);
  }

  /** Whether the holds of a cause exceed a bound of their own. */
  function isOverOwnBound(cause: HoldCause): boolean {
    return cause === HoldCause.Body && (usedBytes.get(cause) ?? 0) > maxBodyBytes;
  }

  /** The hold to give up; of `cause` alone if that is what exceeds its bound. */
  function findVictim(cause?: HoldCause): Hold | undefined {
    const stalledMs = clock.getNowMs() - stalledAfterMs;
    const isWithoutProgress = ({ isWaiting, progressMs }: Hold): boolean =>
      !isWaiting && progressMs < stalledMs;
    let victim: Hold | undefined;
    for (const hold of holds) {
      if (hold.isSettled || hold.bytes <= 0) continue;
      if (cause !== undefined && hold.cause !== cause) continue;
      const isStalled = isWithoutProgress(hold);
      const isVictimStalled = victim !== undefined && isWithoutProgress(victim);
      const isWorse =
        victim === undefined ||
        (isStalled === isVictimStalled ? hold.bytes >= victim.bytes : isStalled);
      if (isWorse) victim = hold;
    }
    return victim;
  }

  return {
    open(cause, onEvict) {
      const hold: Hold = {
        ...{ cause, onEvict, bytes: 0, isWaiting: false, isSettled: false },
        progressMs: clock.getNowMs(),
      };
      holds.add(hold);
      return {
        add(bytes) {
          if (!holds.has(hold)) return false;
          count(hold, bytes);
          while (bytes > 0 && (totalBytes > maxBytes || isOverOwnBound(cause))) {
            const victim = findVictim(totalBytes > maxBytes ? undefined : cause);
            if (victim === undefined) break;
            remove(victim);
            victim.onEvict();
          }
          return holds.has(hold);
        },
        markProgress() {
          hold.progressMs = clock.getNowMs();
        },
        setWaiting(isWaiting) {
          hold.isWaiting = isWaiting;
        },
        settle() {
          hold.isSettled = true;
        },
        release() {
          remove(hold);
        },
      };
    },
    getUsedBytes: (cause) => usedBytes.get(cause) ?? 0,
  };
}
