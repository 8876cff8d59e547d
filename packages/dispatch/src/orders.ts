import { waitFor } from '@bergamotreach/protocol';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';
import { OrderStatus, RefusalReason } from './taskrunner.ts';
import type { OrderReply, TaskRunner } from './taskrunner.ts';
import { LinkState } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** What is known about a start after its order was sent. */
export enum StartOutcome {
  Started = 'started',
  /** The run did not begin and never will. */
  NotStarted = 'not_started',
  /** The run may have begun, or may begin until the end of its start window. */
  Undecided = 'undecided',
}

/** Result of a start order. */
export interface StartResult {
  outcome: StartOutcome;
  reason: RefusalReason;
  /** The worker's clock when it confirmed the start. */
  clockMs: number;
  /** End of the start window on the worker's clock. */
  windowEndMs: number;
  /**
   * An attempt got no answer and may take effect later, even in the next incarnation of the worker.
   */
  hasUnansweredAttempt: boolean;
}

/** Identifies a run to be started or stopped. */
export interface RunName {
  task: string;
  run: number;
}

/** Content of a start order. */
export interface StartInput {
  payload: string;
  checkpoint: string;
  ticket?: string;
  /** Checked before each attempt. */
  isWanted: () => boolean;
}

/** Options of an order sender. */
export interface OrderSenderOptions {
  runner: TaskRunner;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Whether this process may send orders now; checked right before each one. */
  isHolding: () => boolean;
  onFenced: () => void;
}

/**
 * Sends orders to workers, and retries until the outcome is known or the start window has passed.
 */
export interface OrderSender {
  start(link: WorkerLink, name: RunName, input: StartInput): Promise<StartResult>;
  /** Repeats a stop as long as `isWanted` returns true. */
  stop(link: WorkerLink, name: RunName, isWanted: () => boolean): Promise<void>;
}

/**
 * A run begins within this time or never. Covers two lost answers and is shorter than the time that
 * the members of a gang wait for each other.
 */
export const startWindowMs = 2000;
const retryMs = 60;
/** A stop takes a worker up to a second; after this time it counts as lost. */
const stopRetryMs = 1200;
/**
 * A refused stop had no effect and is retried sooner, but a worker that refuses usually has many to
 * refuse.
 */
const refusedStopRetryMs = 250;

/** Creates an order sender. */
export function createOrderSender(options: OrderSenderOptions): OrderSender {
  const { runner, clock, logger, metrics, isHolding } = options;

  function createResult(
    outcome: StartOutcome,
    reason: RefusalReason,
    windowEndMs: number,
    clockMs = 0,
  ): StartResult {
    return { outcome, reason, windowEndMs, clockMs, hasUnansweredAttempt: false };
  }

  /**
   * Reports a newer owner. The next incarnation of a worker also rejects orders for the previous
   * one, which says nothing about the owner.
   */
  function handleFenced(link: WorkerLink): void {
    if (link.getState() !== LinkState.Lapsed) options.onFenced();
  }

  /**
   * A refusal, even for being late, is final only if no earlier attempt may have taken effect or
   * may still be in flight.
   */
  function decideRefusal(reason: RefusalReason, hasUnansweredAttempt: boolean): StartOutcome {
    // An earlier attempt may have run and ended; the worker's report will tell.
    if (reason === RefusalReason.OldRun) return StartOutcome.Undecided;
    return hasUnansweredAttempt ? StartOutcome.Undecided : StartOutcome.NotStarted;
  }

  /** Pause after the answer to a stop; `undefined` means that the stop was not sent. */
  function getStopPauseMs(status: OrderStatus | undefined): number {
    if (status === undefined || status === OrderStatus.Unknown) return retryMs;
    return status === OrderStatus.Refused ? refusedStopRetryMs : stopRetryMs;
  }

  async function sendStop(link: WorkerLink, name: RunName): Promise<OrderStatus> {
    const sentMs = clock.getNowMs();
    const { status, reason } = await runner.stop(link.getEntry(), {
      ...name,
      fencingToken: link.getFencingToken(),
    });
    logger.info('stop_sent', {
      task: name.task,
      run: name.run,
      worker: link.id,
      status,
      reason,
      tookMs: Math.round(clock.getNowMs() - sentMs),
    });
    if (status === OrderStatus.Fenced) handleFenced(link);
    if (status === OrderStatus.Unknown) metrics.count('orders.lost', 1, { kind: 'stop' });
    return status;
  }

  return {
    async start(link, name, input) {
      const estimate = link.getClock().estimate(clock.getNowMs());
      if (estimate === undefined) {
        return createResult(StartOutcome.NotStarted, RefusalReason.None, 0);
      }
      const windowEndMs = Math.floor(estimate + startWindowMs);
      const endMs = clock.getNowMs() + startWindowMs;
      let hasUnansweredAttempt = false;
      while (clock.getNowMs() < endMs) {
        if (!isHolding() || !input.isWanted()) break;
        link.getClock().recordLease(windowEndMs);
        const { payload, checkpoint, ticket } = input;
        const order = { ...name, payload, checkpoint, ...(ticket === undefined ? {} : { ticket }) };
        const reply = await runner.start(link.getEntry(), {
          ...order,
          leaseUntilMs: windowEndMs,
          fencingToken: link.getFencingToken(),
        });
        if (reply.clockMs !== undefined)
          link.getClock().recordReading(reply.clockMs, clock.getNowMs());
        if (reply.status === OrderStatus.Fenced) handleFenced(link);
        const decided = decideStart(reply, hasUnansweredAttempt, windowEndMs);
        if (decided !== undefined) return { ...decided, hasUnansweredAttempt };
        hasUnansweredAttempt = true;
        metrics.count('orders.lost', 1, { kind: 'start' });
        logger.warn('start_unanswered', { task: name.task, run: name.run, worker: link.id });
        await waitFor(clock, retryMs);
      }
      const outcome = hasUnansweredAttempt ? StartOutcome.Undecided : StartOutcome.NotStarted;
      return { ...createResult(outcome, RefusalReason.None, windowEndMs), hasUnansweredAttempt };
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
    hasUnansweredAttempt: boolean,
    windowEndMs: number,
  ): StartResult | undefined {
    return match(reply.status)
      .with(OrderStatus.Accepted, () =>
        createResult(StartOutcome.Started, RefusalReason.None, windowEndMs, reply.clockMs),
      )
      .with(OrderStatus.Refused, () =>
        createResult(decideRefusal(reply.reason, hasUnansweredAttempt), reply.reason, windowEndMs),
      )
      .with(OrderStatus.Fenced, () => {
        const outcome = hasUnansweredAttempt ? StartOutcome.Undecided : StartOutcome.NotStarted;
        return createResult(outcome, RefusalReason.None, windowEndMs);
      })
      .with(OrderStatus.OtherIncarnation, () => {
        const outcome = hasUnansweredAttempt ? StartOutcome.Undecided : StartOutcome.NotStarted;
        return createResult(outcome, RefusalReason.None, windowEndMs);
      })
      .with(OrderStatus.Unknown, () => undefined)
      .exhaustive();
  }
}
