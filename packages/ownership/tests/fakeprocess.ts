import { Clock, waitForPromises, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, ManualClock } from '@bergamotreach/protocol';

/**
 * A process under test. While paused, its timers and replies are held back; once killed, they are
 * dropped. Calls that it sent before still take effect.
 */
export class FakeProcess extends Clock {
  private isPaused = false;
  private isDead = false;
  private backlog: (() => void)[] = [];
  /** Number of calls to the store and to workers so far. */
  callCount = 0;
  /** Call at which the process crashes: `n` before the effect of call n, `n + 0.5` after it. */
  crashAtCall = Infinity;
  /** Call at which the process pauses: its effect happens, but its reply waits for `resume`. */
  pauseAtCall = Infinity;

  constructor(
    readonly id: string,
    private readonly manualClock: ManualClock,
  ) {
    super();
  }

  getNowMs(): number {
    return this.manualClock.getNowMs();
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const cancelTimer = this.manualClock.setTimer(delayMs, () => {
      this.run(() => {
        if (!isCancelled) action();
      });
    });
    return () => {
      isCancelled = true;
      cancelTimer();
    };
  }

  pause(): void {
    this.isPaused = true;
  }

  async resume(): Promise<void> {
    this.isPaused = false;
    for (const action of this.backlog.splice(0)) {
      action();
      await waitForPromises();
    }
  }

  kill(): void {
    this.isDead = true;
    this.backlog = [];
  }

  isAlive(): boolean {
    return !this.isDead;
  }

  /** Runs an external call: its effect after half of `latencyMs`, the reply after all. */
  async call<T>(effect: () => T, latencyMs = 0): Promise<T> {
    this.callCount += 1;
    if (this.callCount === this.crashAtCall) this.kill();
    if (this.callCount === this.pauseAtCall) this.pause();
    if (this.isDead) return this.waitForReply(undefined as T);
    if (latencyMs > 0) await waitFor(this.manualClock, latencyMs / 2);
    const reply = effect();
    if (this.callCount + 0.5 === this.crashAtCall) this.kill();
    if (latencyMs > 0) await waitFor(this.manualClock, latencyMs / 2);
    return this.waitForReply(reply);
  }

  private async waitForReply<T>(reply: T): Promise<T> {
    await new Promise<void>((resolve) => {
      this.run(resolve);
    });
    return reply;
  }

  private run(action: () => void): void {
    if (this.isDead) return;
    if (this.isPaused) this.backlog.push(action);
    else action();
  }
}
