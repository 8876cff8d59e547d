import { test } from 'node:test';
import { setImmediate as waitTurn } from 'node:timers/promises';
import { expect } from 'earl';
import { createTurnLimit } from '../src/turnlimit.ts';

// Guards against work of one turn without a bound, and against work that is never taken up again.
test('a turn takes no more than its limit and the next one goes on', async () => {
  const limit = createTurnLimit(100);
  const taken: string[] = [];
  const run = (name: string): void => {
    if (limit.take(60)) taken.push(name);
    else {
      limit.queue(() => {
        run(name);
      });
    }
  };
  for (const name of ['a', 'b', 'c', 'd', 'e']) run(name);
  expect(taken).toEqual(['a', 'b']);
  await waitTurn();
  expect(taken).toEqual(['a', 'b', 'c', 'd']);
  await waitTurn();
  expect(taken).toEqual(['a', 'b', 'c', 'd', 'e']);
});
