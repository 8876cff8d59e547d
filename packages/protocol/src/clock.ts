/** Cancels a timer. Calling it again, or after the timer has fired, has no effect. */
export type CancelTimer = () => void;

/** Source of monotonic time and timers, injected so that tests can control time. */
export abstract class Clock {
  /** Monotonic time in milliseconds from an arbitrary start; unaffected by wall-clock changes. */
  abstract getNowMs(): number;
  /** Runs `action` once after `delayMs`. */
  abstract setTimer(delayMs: number, action: () => void): CancelTimer;
}

class SystemClock extends Clock {
  getNowMs(): number {
    return performance.now();
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    const timer = setTimeout(action, delayMs);
    return () => {
      clearTimeout(timer);
    };
  }
}

/** Creates a clock that uses the timers of the process. */
export function createSystemClock(): Clock {
  return new SystemClock();
}

/**
 * Clock that never runs slower than real time, for deadlines at which the process itself must stop.
 * The monotonic clock does not advance while the machine is suspended, and the wall clock may be set
 * back, so each reading advances by the larger of the two differences. It may run ahead of real time.
 */
class SuspendAwareClock extends Clock {
  private lastMonotonicMs: number;
  private lastWallMs: number;
  private nowMs = 0;

  constructor(
    private readonly monotonic: Clock,
    private readonly getWallMs: () => number,
  ) {
    super();
    this.lastMonotonicMs = monotonic.getNowMs();
    this.lastWallMs = getWallMs();
  }

  getNowMs(): number {
    const monotonicMs = this.monotonic.getNowMs();
    const wallMs = this.getWallMs();
    this.nowMs += Math.max(monotonicMs - this.lastMonotonicMs, wallMs - this.lastWallMs, 0);
    this.lastMonotonicMs = monotonicMs;
    this.lastWallMs = wallMs;
    return this.nowMs;
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    return this.monotonic.setTimer(delayMs, action);
  }
}

/** Creates a clock that includes the time for which the machine was suspended. */
export function createSuspendAwareClock(
  monotonic: Clock,
  getWallMs: () => number = () => Date.now(),
): Clock {
  return new SuspendAwareClock(monotonic, getWallMs);
}

/** Runs `action` every `periodMs` until cancelled. Schedules the next run after `action` returns. */
export function runEvery(clock: Clock, periodMs: number, action: () => void): CancelTimer {
  let cancelTimer: CancelTimer = () => undefined;
  let isCancelled = false;
  const runOnce = (): void => {
    action();
    if (!isCancelled) cancelTimer = clock.setTimer(periodMs, runOnce);
  };
  cancelTimer = clock.setTimer(periodMs, runOnce);
  return () => {
    isCancelled = true;
    cancelTimer();
  };
}

/** Resolves after `delayMs` on the given clock. */
export async function waitFor(clock: Clock, delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
