import { test } from 'node:test';
import { expect } from 'earl';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { createWorld } from './world.ts';

// Guards against store traffic above the platform's limits of several hundred writes and 2,000
// reads per second. Prints the rates of each phase, which docs/notes/ownership.md quotes.
test('store traffic stays within the budget in each phase', async () => {
  const world = createWorld({ workers: 30, accelerators: 8 });
  const { clock, state, fleet } = world;
  const first = world.startDaemon('d1');
  for (const id of ['d2', 'd3']) world.startDaemon(id, id === 'd2');
  await clock.advance(5_000);

  async function measure(phase: string, seconds: number): Promise<void> {
    const before = { commits: state.commits, reads: state.reads, calls: fleet.calls };
    const rows = state.accepted.reduce((sum, commit) => sum + commit.writes.length, 0);
    await clock.advance(seconds * 1_000);
    const rowsAfter = state.accepted.reduce((sum, commit) => sum + commit.writes.length, 0);
    const computeRate = (count: number): number => Math.round((count / seconds) * 10) / 10;
    const commits = computeRate(state.commits - before.commits);
    const reads = computeRate(state.reads - before.reads);
    const workerCalls = computeRate(fleet.calls - before.calls);
    const written = computeRate(rowsAfter - rows);
    console.log(JSON.stringify({ phase, seconds, commits, rows: written, reads, workerCalls }));
    expect(commits <= 3 * 40).toEqual(true);
    expect(reads <= 2_000).toEqual(true);
  }

  await measure('idle', 60);
  for (let n = 0; n < 200; n += 1) void world.startSubmit(`j${n}`, 2, 600_000);
  await measure('200 jobs submitted at once', 5);
  await measure('120 gangs of 2 running', 60);
  for (let n = 0; n < 100; n += 1) void world.startCancel(`j${n}`);
  await measure('100 jobs cancelled at once', 5);
  first.process.kill();
  await measure('takeover', 10);
  state.fault = TableFault.Down;
  await measure('outage', 60);
  state.fault = TableFault.None;
  await measure('after the outage', 10);
  expect(
    world.daemons.filter(({ process, owner }) => process.isAlive() && owner.isOwner()).length,
  ).toEqual(1);
});
