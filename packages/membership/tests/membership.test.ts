import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import {
  MessageType,
  createNullLogger,
  createNullMetrics,
  createSystemClock,
} from '@bergamotreach/protocol';
import { expect } from 'earl';
import { startMembership } from '../src/index.ts';
import type { MembershipTask } from '../src/index.ts';

const emptySource = { configRevision: 0 };

async function startMember(
  id: string,
  seeds: string[],
  secret = 'shared',
): Promise<MembershipTask> {
  return startMembership({
    clock: createSystemClock(),
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    id,
    region: 'noord',
    dataCentre: 'noord-1',
    peerAddress: '127.0.0.1:0',
    seeds,
    secret,
    getHeartbeatPayload: () => emptySource,
  });
}

async function waitForTwoWay(task: MembershipTask, ids: string[]): Promise<void> {
  const isReady = (): boolean =>
    ids.every((id) => task.getView().members.some((member) => member.id === id && member.isTwoWay));
  while (!isReady()) await new Promise((resolve) => setTimeout(resolve, 20));
}

// Guards against a daemon that finds no members while the instance list is unavailable.
test('members find each other through one seed', async () => {
  const a = await startMember('a', []);
  const b = await startMember('b', [a.address]);
  const c = await startMember('c', [a.address]);
  await Promise.all([
    waitForTwoWay(a, ['b', 'c']),
    waitForTwoWay(b, ['a', 'c']),
    waitForTwoWay(c, ['a', 'b']),
  ]);
  const received = new Promise<string>((resolve) => {
    c.addHandler(MessageType.JobsChanged, (from, message) => {
      resolve(`${from}:${message.jobIds.join()}`);
    });
  });
  expect(b.send('c', { type: MessageType.JobsChanged, region: 'noord', jobIds: ['j'] })).toEqual(
    true,
  );
  expect(await received).toEqual('b:j');
  for (const task of [a, b, c]) task.stop();
});

// Guards against another deployment or an unrelated client that joins the members.
test('peer with another secret is refused', async () => {
  const a = await startMember('a', []);
  const stranger = await startMember('s', [a.address], 'other');
  const probe = await startMember('p', [a.address]);
  await waitForTwoWay(probe, ['a']);
  expect(a.getView().members.map((member) => member.id)).toEqual(['a', 'p']);
  for (const task of [a, stranger, probe]) task.stop();
});

// Guards against a dead process, whose port refuses connections, that counts as only paused.
test('closed address is reported as gone', async () => {
  const server = createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const a = await startMember('a', []);
  a.applyInstances([
    {
      id: 'dead',
      kind: 'daemon' as never,
      address: `127.0.0.1:${port}`,
      region: 'noord',
      dataCentre: 'noord-1',
      rack: '',
      service: '',
      state: 'live' as never,
      capacity: { accelerators: 0, cores: 0, memoryMb: 0, slots: 0, connections: 0 },
    },
  ]);
  const isGone = (): boolean =>
    a.getView().members.some((member) => member.id === 'dead' && member.isGone);
  while (!isGone()) await new Promise((resolve) => setTimeout(resolve, 20));
  a.stop();
});
