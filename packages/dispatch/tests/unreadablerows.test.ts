import { test } from 'node:test';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createWorld } from './world.ts';

// Guards against one job's row that another writer has changed and that cannot be read: the owner reads it again without
// end after the conflict, and stores nothing for any other job meanwhile.
test('a row that cannot be read after a conflict holds up no other job', async () => {
  const world = createWorld(2, 3000);
  world.addCandidate('a');
  await world.clock.advance(1000);
  world.submit('j1', [{}, { dependsOn: [0] }]);
  await world.clock.advance(1500);
  const key = 'state/j1';
  const version = world.store.rows.get(key)?.version ?? 0;
  const writes = [{ key, value: { odd: true } }];
  const commit = { operationId: 'odd', conditions: [{ key, version }], writes };
  world.store.unreadableKeys.add(key);
  world.store.apply(commit, 'other', world.clock.getNowMs());
  world.submit('j2', [{}]);
  await world.clock.advance(15_000);
  expect(world.getState('j2')).toEqual(JobState.Completed);
});
