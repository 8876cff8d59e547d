import { test } from 'node:test';
import { JobState } from '@bergamotreach/ownership';
import { TaskState } from '@bergamotreach/hosting';
import { expect } from 'earl';
import { createWorld } from '../../execution/tests/world.ts';
import { TableFault } from '../../ownership/tests/faketable.ts';

// Longer than the task lease of 30 s.
const outageMs = 60_000;

// Guards against a caretaker keeping an incomplete gang running while the store is down
// (RENEW_INCOMPLETE in the model).
test('a caretaker lets the leases of a gang expire when a member is lost', async () => {
  const world = createWorld();
  world.startDaemon('d1');
  await world.clock.advance(100);
  await world.submit('j1', 4, 600_000);
  world.startDaemon('d2', true);
  await world.clock.advance(2_000);
  expect(world.getJobState('j1')).toEqual(JobState.Running);
  world.state.fault = TableFault.Down;
  world.daemons[0]?.process.kill();
  const worker = [...world.fleet.workers.values()].find((candidate) => candidate.tasks.size > 0);
  worker?.tasks.clear();
  await world.clock.advance(outageMs);
  const running = world.fleet.listTasks().filter(({ task }) => task.state === TaskState.Running);
  expect(running.length).toEqual(0);
});
