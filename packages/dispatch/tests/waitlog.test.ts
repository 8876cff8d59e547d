import { test } from 'node:test';
import { createManualClock } from '@bergamotreach/protocol';
import type { Logger } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createSingle, createWorker, runOn } from '../../scheduling/tests/samples.ts';
import { createWaitLog } from '../src/waitlog.ts';

interface Line {
  event: string;
  fields: Record<string, unknown> | undefined;
}

function createRecordingLogger(lines: Line[]): Logger {
  const write = (event: string, fields?: Record<string, unknown>): void => {
    lines.push({ event, fields });
  };
  return { debug: write, info: write, warn: write, error: write };
}

function createCase() {
  const lines: Line[] = [];
  const clock = createManualClock();
  const log = createWaitLog(clock, createRecordingLogger(lines));
  const group = createSingle('j', 1, { isGang: true, taskCount: 8 });
  const worker = createWorker('w1');
  runOn(worker, createSingle('busy', 2, { taskCount: 4 }));
  const reportWait = (ageMs: number, isPreempting = false): void => {
    log.reportWaits([{ group, ageMs, ahead: 2, isPreempting }], [worker]);
  };
  return { lines, clock, reportWait, log, worker };
}

// Guards against a log line for every plan while the reason stays the same.
test('a reason is logged once until it changes', async () => {
  const { lines, clock, reportWait } = createCase();
  reportWait(500);
  for (let round = 0; round < 30; round += 1) {
    await clock.advance(200);
    reportWait(700 + round * 200);
  }
  expect(lines.map(({ fields }) => fields?.reason)).toEqual(['no_room']);
  await clock.advance(1000);
  reportWait(9000, true);
  expect(lines.map(({ fields }) => fields?.reason)).toEqual(['no_room', 'preempting']);
});

// Guards against log lines for jobs that only wait until their order is sent.
test('a short wait is not logged', () => {
  const { lines, reportWait } = createCase();
  reportWait(100);
  expect(lines).toEqual([]);
});

// Guards against plans that take long because many jobs wait, and against jobs that are never
// logged.
test('only a few groups are checked after each plan, and all eventually', async () => {
  const { lines, clock, log, worker } = createCase();
  const waits = Array.from({ length: 25 }, (_, index) => ({
    group: createSingle(`j${index}`, 1, { isGang: true, taskCount: 8 }),
    ageMs: 1000,
    ahead: index,
    isPreempting: false,
  }));
  log.reportWaits(waits, [worker]);
  expect(lines.length).toEqual(10);
  await clock.advance(15);
  log.reportWaits(waits, [worker]);
  await clock.advance(15);
  log.reportWaits(waits, [worker]);
  expect(lines.length).toEqual(25);
});
