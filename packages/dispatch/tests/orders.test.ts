import { test } from 'node:test';
import { createNullLogger, createNullMetrics, createSystemClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { OrderStatus, RefusalReason } from '../src/index.ts';
import type { OrderReply, TaskRunner } from '../src/index.ts';
import { StartFate, createOrderSender } from '../src/orders.ts';
import { createWorkerClock } from '../src/workerclock.ts';
import type { WorkerLink } from '../src/workerlink.ts';

const lost: OrderReply = { status: OrderStatus.Unknown, reason: RefusalReason.None };

function createRefusal(reason: RefusalReason): OrderReply {
  return { status: OrderStatus.Refused, reason, clockMs: 100 };
}

/** Sends one start to a worker that gives these answers in turn. */
async function sendStart(...replies: OrderReply[]): Promise<StartFate> {
  const clock = createSystemClock();
  const workerClock = createWorkerClock();
  workerClock.note(0, clock.getNowMs());
  const link = { id: 'w1', getClock: () => workerClock, getEntry: () => ({}), getFence: () => 1 };
  const runner = { start: () => Promise.resolve(replies.shift() ?? lost) };
  const sender = createOrderSender({
    runner: runner as unknown as TaskRunner,
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    isHolding: () => true,
    onFenced: () => undefined,
  });
  const input = { payload: '', checkpoint: '', isWanted: () => true };
  const name = { task: 'j.0.0.0', run: 1 };
  return (await sender.start(link as unknown as WorkerLink, name, input)).fate;
}

// Guards against a task that runs twice because the refusal of a repeated order hid that the first
// copy, whose answer was lost, had been carried out.
test('refusals decide only when no copy was lost', async () => {
  for (const reason of [RefusalReason.TooLate, RefusalReason.NoRoom, RefusalReason.Unhealthy]) {
    expect(await sendStart(createRefusal(reason))).toEqual(StartFate.NotStarted);
    expect(await sendStart(lost, createRefusal(reason))).toEqual(StartFate.Undecided);
  }
  expect(await sendStart(createRefusal(RefusalReason.OldRun))).toEqual(StartFate.Undecided);
});
