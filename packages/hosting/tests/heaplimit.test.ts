import { test } from 'node:test';
import { createManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startHeapLimit } from '../src/index.ts';

// Guards against garbage that takes the rest of a small machine's memory, and against frequent collections where
// there is room.
test('the heap grows slowly only while much of the memory is in use', async () => {
  const clock = createManualClock();
  const percents: number[] = [];
  let residentBytes = 100;
  let collections = 0;
  startHeapLimit({
    clock,
    memoryBytes: 1000,
    getResidentBytes: () => residentBytes,
    setGrowthPercent: (percent) => percents.push(percent),
    collectGarbage: () => {
      collections += 1;
      // A growth that is set after the collection would take effect only after the next one.
      expect(percents.at(-1)).not.toEqual(0);
    },
  });
  for (const bytes of [390, 410, 900, 350, 290, 390]) {
    residentBytes = bytes;
    await clock.advance(1000);
  }
  expect(percents.map((percent) => percent > 0)).toEqual([true, false]);
  expect(collections).toEqual(1);
});

// Guards against a pause of the whole process that lasts longer than its lease allows.
test('a process that holds much does not stop to collect garbage', async () => {
  const clock = createManualClock();
  const percents: number[] = [];
  let collections = 0;
  startHeapLimit({
    clock,
    memoryBytes: 2 ** 32,
    getResidentBytes: () => 2 ** 31,
    setGrowthPercent: (percent) => percents.push(percent),
    collectGarbage: () => {
      collections += 1;
    },
  });
  await clock.advance(1000);
  expect(percents.map((percent) => percent > 0)).toEqual([true]);
  expect(collections).toEqual(0);
});
