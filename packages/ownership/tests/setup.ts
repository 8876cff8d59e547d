import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import type { ManualClock } from '@bergamotreach/protocol';
import { createGroupCommitter, createRegionLease } from '../src/index.ts';
import type {
  GroupCommitter,
  GroupCommitterOptions,
  RegionLease,
  RegionLeaseOptions,
} from '../src/index.ts';
import { FakeProcess } from './fakeprocess.ts';
import { FakeTable, TableState } from './faketable.ts';

export const region = 'noord';

/** A process with its own table client and committer. */
export interface Node {
  process: FakeProcess;
  table: FakeTable;
  committer: GroupCommitter;
}

export function createNode(
  state: TableState,
  id: string,
  options: Partial<GroupCommitterOptions> = {},
): Node {
  const process = new FakeProcess(id, state.clock);
  const table = new FakeTable(state, process);
  let operations = 0;
  const committer = createGroupCommitter({
    table,
    clock: process,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    createOperationId: () => `${id}/${operations++}`,
    ...options,
  });
  return { process, table, committer };
}

export function createLease(node: Node, options: Partial<RegionLeaseOptions> = {}): RegionLease {
  return createRegionLease({
    table: node.table,
    committer: node.committer,
    clock: node.process,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    region,
    holder: node.process.id,
    address: '127.0.0.1:1',
    ...options,
  });
}

export function createState(): { clock: ManualClock; state: TableState } {
  const clock = createManualClock();
  return { clock, state: new TableState(clock) };
}
