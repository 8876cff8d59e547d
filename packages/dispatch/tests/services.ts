import { createServiceContact } from '@bergamotreach/hosting';
import { createGroupCommitter } from '@bergamotreach/ownership';
import { createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { FakeTable } from '../../ownership/tests/faketable.ts';
import { createJobService, createOperatorRows, createTableReplica } from '../src/index.ts';
import type { Admission, JobService, StateRow } from '../src/index.ts';
import { FakeFeed } from './world.ts';
import type { World } from './world.ts';

/** Time within which a quick store is expected to answer. */
const quickStoreMs = 300;
const logger = createNullLogger();
const metrics = createNullMetrics();
const rules = { priority: 1, maxAttempts: 2, stretch: 3, targetMs: 1000 };
export const queue = { name: 'q1', host: 'h', prefix: '/', pool: 'p1', rules, isPublic: true };
export const admission: Admission = {
  queue,
  account: { name: 'a1', keys: [], guaranteedAccelerators: 0 },
  version: 1,
  call: { host: 'h', path: '/', key: undefined },
};

/** Adds another instance's job service to a world; it expects the store to answer in `expectedStoreMs`. */
export function addService(
  world: World,
  id: string,
  expectedStoreMs = quickStoreMs,
  maxHeldBytes = Infinity,
): { jobs: JobService; process: FakeProcess } {
  const process = new FakeProcess(id, world.clock);
  const table = new FakeTable(world.store, process);
  let operations = 0;
  const committer = createGroupCommitter({
    table,
    clock: process,
    logger,
    metrics,
    createOperationId: () => `${id}/${operations++}`,
  });
  const common = { clock: process, logger, metrics };
  const states = createTableReplica<StateRow>({
    ...common,
    name: 'states',
    feed: new FakeFeed(world.store, process, 'state/'),
    getPauseMs: () => 1000,
  });
  const configs = createOperatorRows({
    ...common,
    feed: new FakeFeed(world.store, process, 'op/'),
  });
  states.start();
  configs.start();
  const getWallMs = (): number => world.clock.getNowMs();
  const jobs = createJobService({
    ...common,
    table,
    committer,
    states,
    configs,
    storeContact: createServiceContact({ clock: process, maxSilenceMs: 2500 }),
    configApplyMs: 2500,
    getWallMs,
    getExpectedStoreMs: () => expectedStoreMs,
    maxHeldBytes,
  });
  return { jobs, process };
}
