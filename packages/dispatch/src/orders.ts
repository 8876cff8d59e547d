import { waitFor } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';
import { OrderStatus, RefusalReason } from './taskrunner.ts';
import type { OrderReply, TaskRunner } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** What is certain about a start. */
export enum StartFate {
  Started = 'started',
  /** It did not begin and never will. */
  NotStarted = 'not_started',
  /** It may have begun or may still begin until the end of its window. */
  Undecided = 'undecided',
}

/** Result of a start order. */
export interface StartResult {
  fate: StartFate;
  reason: RefusalReason;
  /** The worker's clock when it confirmed the start. */
  clockMs: number;
  /** End of the window on the worker's clock. */
  windowUntilMs: number;
  /** A copy of the order got no answer and may be carried out later, also by a new life. */
  hasLostCopy: boolean;
}

/** A run to be started or stopped. */
export interface RunName {
  task: string;
  run: number;
}

/** What a start carries. */
export interface StartInput {
  payload: string;
  checkpoint: string;
  ticket?: string;
  /** Asked before each repetition. */
  isWanted: () => boolean;
}

/** Options of the sender of orders. */
export interface OrderSenderOptions {
  runner: TaskRunner;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Whether this process may give orders now; asked right before each one. */
  isHolding: () => boolean;
  onFenced: () => void;
}

/** Sends orders to workers until their fate is known or their window has passed. */
export interface OrderSender {
  start(link: WorkerLink, name: RunName, input: StartInput): Promise<StartResult>;
  /** Repeats a stop while `isWanted`. */
  stop(link: WorkerLink, name: RunName, isWanted: () => boolean): Promise<void>;
}

/**
 * A start begins within this time or never. It covers two lost answers, and lies below the time
 * that the members of a gang wait for each other.
 */
const startWindowMs = 2000;
const retryMs = 60;
/** A stop takes the worker up to a second; then the order is taken for lost. */
const stopRepeatMs = 1200;
/** A refused stop did nothing; a worker that refuses has many to refuse. */
const stopRefusedMs = 250;

/** Creates the sender of an owner. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const { runner, clock, logger, metrics, isHolding } = options;

  function createResult(
    fate: StartFate,
    reason: RefusalReason,
    windowUntilMs: number,
    clockMs = 0,
  ): StartResult {
    return { fate, reason, windowUntilMs, clockMs, hasLostCopy: false };
  }

  /** The next life of a worker refuses orders to the one before; that says nothing of the owner. */
  function noteFence(link: WorkerLink): void {
    if (link.getState() !== LinkState.Lapsed) options.onFenced();
  }

  /**
   * A refusal, also one for being late, decides only when no earlier copy of the order may have been
   * carried out or may still be on its way.
   */
  function decideRefusal(reason: RefusalReason, hasLostCopy: boolean): StartFate {
    // An earlier copy may have run and ended; the worker's report tells.
    if (reason === RefusalReason.OldRun) return StartFate.Undecided;
    return hasLostCopy ? StartFate.Undecided : StartFate.NotStarted;
  }

  /** Pause after a stop with this answer; without one the stop was not sent. */
  function getStopPauseMs(status: OrderStatus | undefined): number {
    if (status === undefined || status === OrderStatus.Unknown) return retryMs;
    return status === OrderStatus.Refused ? stopRefusedMs : stopRepeatMs;
  }

  async function sendStop(link: WorkerLink, name: RunName): Promise<OrderStatus> {
    const sentMs = clock.getNowMs();
    const { status, reason } = await runner.stop(link.getEntry(), {
      ...name,
      fence: link.getFence(),
    });
    logger.info('stop_sent', {
      task: name.task,
      run: name.run,
      worker: link.id,
      status,
      reason,
      tookMs: Math.round(clock.getNowMs() - sentMs),
    });
    if (status === OrderStatus.Fenced) noteFence(link);
    if (status === OrderStatus.Unknown) metrics.count('orders.lost', 1, { kind: 'stop' });
    return status;
  }

  return {
    async start(link, name, input) {
      const estimate = link.getClock().estimate(clock.getNowMs());
      if (estimate === undefined) {
        return createResult(StartFate.NotStarted, RefusalReason.None, 0);
      }
      const windowUntilMs = Math.floor(estimate + startWindowMs);
      const endMs = clock.getNowMs() + startWindowMs;
      let hasLostCopy = false;
      while (clock.getNowMs() < endMs) {
        if (!isHolding() || !input.isWanted()) break;
        link.getClock().noteLease(windowUntilMs);
        const { payload, checkpoint, ticket } = input;
        const order = { ...name, payload, checkpoint, ...(ticket === undefined ? {} : { ticket }) };
        const reply = await runner.start(link.getEntry(), {
          ...order,
          leaseUntilMs: windowUntilMs,
          fence: link.getFence(),
        });
        if (reply.clockMs !== undefined) link.getClock().note(reply.clockMs, clock.getNowMs());
        if (reply.status === OrderStatus.Fenced) noteFence(link);
        const decided = decideStart(reply, hasLostCopy, windowUntilMs);
        if (decided !== undefined) return { ...decided, hasLostCopy };
        hasLostCopy = true;
        metrics.count('orders.lost', 1, { kind: 'start' });
        logger.warn('start_unanswered', { task: name.task, run: name.run, worker: link.id });
        await waitFor(clock, retryMs);
      }
      const fate = hasLostCopy ? StartFate.Undecided : StartFate.NotStarted;
      return { ...createResult(fate, RefusalReason.None, windowUntilMs), hasLostCopy };
    },
    async stop(link, name, isWanted) {
      while (isWanted()) {
        const status = isHolding() ? await sendStop(link, name) : undefined;
        await waitFor(clock, getStopPauseMs(status));
      }
    },
  };

  function decideStart(
    reply: OrderReply,
    hasLostCopy: boolean,
    windowUntilMs: number,
  ): StartResult | undefined {
    return match(reply.status)
      .with(OrderStatus.Accepted, () =>
        createResult(StartFate.Started, RefusalReason.None, windowUntilMs, reply.clockMs),
      )
      .with(OrderStatus.Refused, () =>
        createResult(decideRefusal(reply.reason, hasLostCopy), reply.reason, windowUntilMs),
      )
      .with(OrderStatus.Fenced, () => {
        const fate = hasLostCopy ? StartFate.Undecided : StartFate.NotStarted;
        return createResult(fate, RefusalReason.None, windowUntilMs);
      })
      .with(OrderStatus.OtherLife, () => {
        const fate = hasLostCopy ? StartFate.Undecided : StartFate.NotStarted;
        return createResult(fate, RefusalReason.None, windowUntilMs);
      })
      .with(OrderStatus.Unknown, () => undefined)
      .exhaustive();
  }
}
