import { test } from 'node:test';
import { createNullLogger, createNullMetrics, createSystemClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { OrderStatus, RefusalReason } from '../src/index.ts';
import type { OrderReply, TaskRunner } from '../src/index.ts';
import { StartOutcome, createOrderSender } from '../src/orders.ts';
import { createWorkerClock } from '../src/workerclock.ts';
import { LinkState } from '../src/workerlink.ts';
import type { WorkerLink } from '../src/workerlink.ts';

const lost: OrderReply = { status: OrderStatus.Unknown, reason: RefusalReason.None };

function createRefusal(reason: RefusalReason): OrderReply {
  return { status: OrderStatus.Refused, reason, clockMs: 100 };
}

interface Sent {
  outcome: StartOutcome;
  isOwnerFenced: boolean;
}

/** Sends one start to a worker that gives these answers in turn. */
async function sendStart(...replies: OrderReply[]): Promise<StartOutcome> {
  return (await sendOnLink(LinkState.Live, replies)).outcome;
}

async function sendOnLink(state: LinkState, replies: OrderReply[]): Promise<Sent> {
  let isOwnerFenced = false;
  const clock = createSystemClock();
  const workerClock = createWorkerClock();
  workerClock.recordReading(0, clock.getNowMs());
  const link = {
    id: 'w1',
    getClock: () => workerClock,
    getEntry: () => ({}),
    getFencingToken: () => 1,
    getState: () => state,
  };
  const runner = { start: () => Promise.resolve(replies.shift() ?? lost) };
  const sender = createOrderSender({
    runner: runner as unknown as TaskRunner,
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    isHolding: () => true,
    onFenced: () => {
      isOwnerFenced = true;
    },
  });
  const input = { payload: '', checkpoint: '', isWanted: () => true };
  const name = { task: 'j.0.0.0', run: 1 };
  const { outcome } = await sender.start(link as unknown as WorkerLink, name, input);
  return { outcome, isOwnerFenced };
}

// Guards against a task that runs twice: the refusal of a retry hid that the first attempt, whose
// answer was lost, had taken effect.
test('a refusal is final only if no attempt was lost', async () => {
  for (const reason of [RefusalReason.TooLate, RefusalReason.NoRoom, RefusalReason.Unhealthy]) {
    expect(await sendStart(createRefusal(reason))).toEqual(StartOutcome.NotStarted);
    expect(await sendStart(lost, createRefusal(reason))).toEqual(StartOutcome.Undecided);
  }
  expect(await sendStart(createRefusal(RefusalReason.OldRun))).toEqual(StartOutcome.Undecided);
});

// Guards against an owner that gives up because a restarted worker rejects a late retry for its
// previous incarnation: it knows the higher token that the same owner gave it.
test('only the current incarnation of a worker fences its owner', async () => {
  const fenced: OrderReply = { status: OrderStatus.Fenced, reason: RefusalReason.None };
  const current = await sendOnLink(LinkState.Live, [fenced]);
  const previous = await sendOnLink(LinkState.Lapsed, [lost, fenced]);
  expect(current).toEqual({ outcome: StartOutcome.NotStarted, isOwnerFenced: true });
  expect(previous).toEqual({ outcome: StartOutcome.Undecided, isOwnerFenced: false });
});
