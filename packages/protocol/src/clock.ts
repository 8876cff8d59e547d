/** Stops a timer; calling it twice or after the timer fired has no effect. */
export type CancelTimer = () => void;

/** Source of monotonic time and timers. Every task takes one, so that tests can drive time. */
export abstract class Clock {
  /** Monotonic time in milliseconds from an arbitrary start; unaffected by wall-clock changes. */
  abstract getNowMs(): number;
  /** Runs `action` once after `delayMs` milliseconds. */
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

/** Creates the clock of a running process. */
export function createSystemClock(): Clock {
  return new SystemClock();
}

/**
 * Clock that never runs slower than real time, for deadlines of one's own. The steady clock stands
 * still while a machine is suspended, and the time of day may step back, so each reading advances
 * by the larger of the two differences. It may run ahead.
 */
class AdvancingClock extends Clock {
  private lastSteadyMs: number;
  private lastWallMs: number;
  private nowMs = 0;

  constructor(
    private readonly steady: Clock,
    private readonly getWallMs: () => number,
  ) {
    super();
    this.lastSteadyMs = steady.getNowMs();
    this.lastWallMs = getWallMs();
  }

  getNowMs(): number {
    const steadyMs = this.steady.getNowMs();
    const wallMs = this.getWallMs();
    this.nowMs += Math.max(steadyMs - this.lastSteadyMs, wallMs - this.lastWallMs, 0);
    this.lastSteadyMs = steadyMs;
    this.lastWallMs = wallMs;
    return this.nowMs;
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    return this.steady.setTimer(delayMs, action);
  }
}

/** Creates a clock that counts the time for which the process was suspended. */
export function createAdvancingClock(
  steady: Clock,
  getWallMs: () => number = () => Date.now(),
): Clock {
  return new AdvancingClock(steady, getWallMs);
}

/** Runs `action` every `periodMs` until cancelled. The next run is planned after the action returns. */
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

/** Resolves after `delayMs` of the clock's time. */
export async function waitFor(clock: Clock, delayMs: number): Promise<void> {
  await new Promise<void>((resolve) => {
    clock.setTimer(delayMs, resolve);
  });
}
