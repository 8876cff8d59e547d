import { test } from 'node:test';
import { waitForPromises } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { ClaimStatus, TransactionStatus, WritePriority, createClaims } from '../src/index.ts';
import type { TransactionReply } from '../src/index.ts';
import { FakeObjects } from './fakeobjects.ts';
import { TableFault } from './faketable.ts';
import { createNode, createState } from './setup.ts';

const seed = 20261204;

const action = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('write' as const),
      node: fc.nat(1),
      keys: fc.uniqueArray(fc.nat(5), { minLength: 1, maxLength: 3 }),
      priority: fc.constantFrom(WritePriority.Lease, WritePriority.Outcome, WritePriority.NewWork),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.integer({ max: 3_000 }) }),
  },
  fc.record({
    do: fc.constant('fault' as const),
    fault: fc.constantFrom(TableFault.None, ...Object.values(TableFault)),
  }),
  fc.record({ do: fc.constant('latency' as const), ms: fc.constantFrom(0, 40, 900) }),
);

// Guards against writes that are lost, repeated or reported as failed although applied, when two
// committers write the same rows to a table that loses requests and replies.
test('group commit neither loses nor repeats writes', async () => {
  const actions = fc.array(action, { minLength: 5, maxLength: 50 });
  await fc.assert(
    fc.asyncProperty(actions, async (steps) => {
      const { clock, state } = createState();
      const nodes = ['d1', 'd2'].map((id) => createNode(state, id));
      const replies: Promise<TransactionReply>[] = [];
      const submitWrite = (node: number, keys: number[], priority: WritePriority): void => {
        // The value identifies the transaction, so that its effects can be counted.
        const value = replies.length;
        const names = keys.map((key) => `k${key}`);
        const versions = names.map((key) => state.rows.get(key)?.version ?? 0);
        const conditions = names.map((key, index) => ({ key, version: versions[index] ?? 0 }));
        const writes = names.map((key) => ({ key, value }));
        replies.push(nodes[node]!.committer.submit({ conditions, writes, priority }));
      };
      for (const step of steps) {
        if (step.do === 'write') submitWrite(step.node, step.keys, step.priority);
        else if (step.do === 'advance') await clock.advance(Math.max(1, step.ms));
        else if (step.do === 'fault') state.fault = step.fault;
        else state.latencyMs = step.ms;
      }
      state.fault = TableFault.None;
      await clock.advance(30_000);
      const results = await Promise.all(replies);
      const effects = state.accepted.flatMap((commit) => [
        ...new Set(commit.writes.map((write) => write.value)),
      ]);
      for (const [value, { status }] of results.entries()) {
        const count = effects.filter((effect) => effect === value).length;
        const allowed: number[] = [];
        if (status !== TransactionStatus.Committed) allowed.push(0);
        if (status === TransactionStatus.Committed || status === TransactionStatus.Unknown) {
          allowed.push(1);
        }
        expect(allowed.includes(count)).toEqual(true);
      }
    }),
    { seed, numRuns: 300 },
  );
});

// Guards against two daemons dispatching the same non-idempotent request.
test('a claim is acquired at most once under faults', async () => {
  const steps = fc.array(
    fc.record({
      node: fc.nat(1),
      id: fc.nat(2),
      fault: fc.constantFrom(...Object.values(TableFault)),
    }),
    { minLength: 3, maxLength: 20 },
  );
  await fc.assert(
    fc.asyncProperty(steps, async (calls) => {
      const { clock, state } = createState();
      const daemons = ['d1', 'd2'].map((daemon) => {
        const { table, committer } = createNode(state, daemon);
        return createClaims({ table, committer, objects: new FakeObjects(), daemon });
      });
      const acquired: number[] = [];
      for (const { node, id, fault } of calls) {
        state.fault = fault;
        const key = { account: 'a', requestId: `r${id}`, digest: 'x' };
        void daemons[node]!.claim(key).then((reply) => {
          if (reply.isOk() && reply.value.status === ClaimStatus.Acquired) acquired.push(id);
        });
        await waitForPromises();
        await clock.advance(fault === TableFault.None ? 400 : 100);
      }
      state.fault = TableFault.None;
      await clock.advance(20_000);
      expect(new Set(acquired).size).toEqual(acquired.length);
    }),
    { seed, numRuns: 200 },
  );
});
