import { test } from 'node:test';
import { MemberState, MessageType } from '@bergamotreach/protocol';
import type { HeartbeatMessage, MemberAddress } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createMemberTable, localHeartbeatMs } from '../src/index.ts';
import type { Member, MemberTable } from '../src/index.ts';

function createAddress(id: string, dataCentre = 'noord-1'): MemberAddress {
  return { id, region: 'noord', dataCentre, peerAddress: `127.0.0.1:${id}` };
}

function createHeartbeat(heard: string[], state = MemberState.Live): HeartbeatMessage {
  return {
    type: MessageType.Heartbeat,
    sequence: 1,
    state,
    configRevision: 3,
    heard,
  };
}

function findMember(table: MemberTable, id: string, nowMs: number): Member | undefined {
  return table.updateView(nowMs).members.find((member) => member.id === id);
}

// Guards against a one-way link that counts as working.
test('member is two-way only when it reports hearing this daemon', () => {
  const table = createMemberTable(createAddress('a'));
  table.putAddress(createAddress('b'), 0);
  table.applyHeartbeat('b', createHeartbeat([]), 10);
  expect(findMember(table, 'b', 20)?.isHeard).toEqual(true);
  expect(findMember(table, 'b', 20)?.isTwoWay).toEqual(false);
  table.applyHeartbeat('b', createHeartbeat(['a']), 30);
  expect(findMember(table, 'b', 40)?.isHeard).toEqual(true);
  expect(findMember(table, 'b', 40)?.isTwoWay).toEqual(true);
});

// Guards against a paused or partitioned member that stays in the view as live.
test('member is not heard after four missed heartbeats', () => {
  const table = createMemberTable(createAddress('a'));
  table.putAddress(createAddress('b'), 0);
  table.applyHeartbeat('b', createHeartbeat(['a']), 0);
  expect(findMember(table, 'b', 4 * localHeartbeatMs)?.isHeard).toEqual(true);
  expect(findMember(table, 'b', 4 * localHeartbeatMs + 1)?.isHeard).toEqual(false);
  expect(findMember(table, 'b', 4 * localHeartbeatMs + 1)?.isGone).toEqual(false);
});

// Guards against capacity that stays reserved for a dead process until the lagging list drops it.
test('refused connection marks a member as gone at once', () => {
  const table = createMemberTable(createAddress('a'));
  table.putAddress(createAddress('b'), 0);
  table.applyHeartbeat('b', createHeartbeat(['a']), 0);
  table.setConnectionRefused('b', true);
  expect(findMember(table, 'b', 1)?.isHeard).toEqual(false);
  expect(findMember(table, 'b', 1)?.isGone).toEqual(true);
});

// Guards against a lagging list that removes a member that still sends heartbeats.
test('member dropped from the list but heard is not gone', () => {
  const table = createMemberTable(createAddress('a'));
  table.applyList([createAddress('b')], [], 0);
  table.applyHeartbeat('b', createHeartbeat(['a']), 100);
  table.applyList([], [], 200);
  expect(findMember(table, 'b', 300)?.isGone).toEqual(false);
  expect(findMember(table, 'b', 5000)?.isGone).toEqual(true);
});

// Guards against listeners that run on every heartbeat instead of on view changes.
test('view version changes only with the view', () => {
  const table = createMemberTable(createAddress('a'));
  table.putAddress(createAddress('b'), 0);
  table.applyHeartbeat('b', createHeartbeat(['a']), 0);
  const first = table.updateView(1).version;
  table.applyHeartbeat('b', createHeartbeat(['a']), 500);
  expect(table.updateView(501).version).toEqual(first);
  table.applyLeaving(['b']);
  expect(table.updateView(502).version).toEqual(first + 1);
});

// Guards against links and state that accumulate with each replaced instance.
test('member that is not listed or heard for long is removed', () => {
  const table = createMemberTable(createAddress('a'));
  table.applyList([createAddress('b')], [], 0);
  table.applyList([], [], 1000);
  expect(table.removeExpired(500_000)).toEqual([]);
  expect(table.removeExpired(700_000)).toEqual(['b']);
  expect(table.updateView(700_001).members.length).toEqual(1);
});
