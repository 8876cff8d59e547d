import { Clock, settlePromises, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, ManualClock } from '@bergamotreach/protocol';

/**
 * A process of a test. While paused, its timers and replies are kept back; once dead, they are
 * dropped. Calls that it sent before still take effect.
 */
export class FakeProcess extends Clock {
  private isPaused = false;
  private isDead = false;
  private backlog: (() => void)[] = [];
  /** Calls to outside systems so far. */
  steps = 0;
  /** Call before whose effect the process dies; half steps mean after its effect. */
  crashAtStep = Infinity;
  /** Call whose effect happens, but whose reply waits for `resume`. */
  pauseAtStep = Infinity;

  constructor(
    readonly id: string,
    private readonly manual: ManualClock,
  ) {
    super();
  }

  getNowMs(): number {
    return this.manual.getNowMs();
  }

  setTimer(delayMs: number, action: () => void): CancelTimer {
    let isCancelled = false;
    const cancelTimer = this.manual.setTimer(delayMs, () => {
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
      await settlePromises();
    }
  }

  kill(): void {
    this.isDead = true;
    this.backlog = [];
  }

  isAlive(): boolean {
    return !this.isDead;
  }

  /** Runs a call to an outside system: the effect happens now, the reply follows. */
  async call<T>(effect: () => T, latencyMs = 0): Promise<T> {
    this.steps += 1;
    if (this.steps === this.crashAtStep) this.kill();
    if (this.steps === this.pauseAtStep) this.pause();
    if (this.isDead) return this.waitForReply(undefined as T);
    if (latencyMs > 0) await waitFor(this.manual, latencyMs / 2);
    const reply = effect();
    if (this.steps + 0.5 === this.crashAtStep) this.kill();
    if (latencyMs > 0) await waitFor(this.manual, latencyMs / 2);
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
