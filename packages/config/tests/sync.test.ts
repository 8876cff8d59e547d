import { createManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { test } from 'node:test';
import { createConfigStore, createConfigSync, manifestEntry } from '../src/index.ts';
import type { ConfigPush } from '../src/index.ts';
import {
  FakeObjectStore,
  FakeTable,
  createRecordingLogger,
  advanceUntilDone,
  formatAccount,
} from './fakes.ts';

const seed = 20260405;

function createPlatform() {
  const table = new FakeTable();
  const objectStore = new FakeObjectStore();
  const clock = createManualClock();
  const store = createConfigStore({ table, objectStore, clock });
  let revision = 0;
  async function addRevision(): Promise<void> {
    const put = { 'a.json': formatAccount('acme', revision + 1) };
    const operationId = `op-${revision}`;
    const change = { baseRevision: revision, put, remove: [], author: 'ann', operationId };
    const result = await advanceUntilDone(clock, store.commitChange(change));
    if (result.isOk()) revision = result.value.revision;
  }
  return { table, objectStore, clock, addRevision, getHead: () => revision };
}

type Platform = ReturnType<typeof createPlatform>;

/** The configuration synchronisation of one daemon, with its outgoing messages. */
function createNode(platform: Platform) {
  const pushed: ConfigPush[] = [];
  const requested: number[] = [];
  const revisions: number[] = [];
  const logger = createRecordingLogger();
  let receive: (push: ConfigPush) => void = () => undefined;
  const task = createConfigSync({
    store: createConfigStore(platform),
    clock: platform.clock,
    logger,
    sendPush: (push) => pushed.push(push),
    addPushListener: (listener) => (receive = listener),
    sendRequest: (revision) => requested.push(revision),
    onChange: ({ revision }) => revisions.push(revision),
  });
  task.start();
  return {
    task,
    pushed,
    requested,
    revisions,
    logger,
    receive: (push: ConfigPush) => {
      receive(push);
    },
  };
}

async function loadPush(platform: Platform): Promise<ConfigPush> {
  const node = createNode(platform);
  await platform.clock.advance(1000);
  node.task.stop();
  return node.pushed.at(-1)!;
}

function findEvent(node: ReturnType<typeof createNode>, event: string) {
  return node.logger.events.find((line) => line.event === event);
}

test('a new revision is active after a poll and pushed once', async () => {
  const platform = createPlatform();
  const node = createNode(platform);
  await platform.clock.advance(1000);
  expect(node.task.getActive()).toEqual(undefined);
  await platform.addRevision();
  await platform.clock.advance(3000);
  expect(node.task.getActive()?.config.accounts.acme?.weight).toEqual(1);
  expect(node.pushed.map(({ revision }) => revision)).toEqual([1]);
  expect(node.task.buildPush(0)?.revision).toEqual(1);
  expect(node.task.buildPush(1)).toEqual(undefined);
});

test('a revision pushed by a peer is activated and not forwarded', async () => {
  const platform = createPlatform();
  await platform.addRevision();
  const older = await loadPush(platform);
  await platform.addRevision();
  const newer = await loadPush(platform);
  platform.table.isDown = true;
  const node = createNode(platform);
  node.receive(older);
  await platform.clock.advance(1000);
  node.receive(newer);
  node.receive(older);
  expect(node.revisions).toEqual([1, 2]);
  expect(node.pushed).toEqual([]);
});

test('a change committed through this daemon is active after an update', async () => {
  const platform = createPlatform();
  const node = createNode(platform);
  await platform.addRevision();
  await node.task.update();
  expect(node.task.getActive()?.revision).toEqual(1);
});

test('a push that does not match its hashes is rejected', async () => {
  const platform = createPlatform();
  await platform.addRevision();
  const push = await loadPush(platform);
  platform.table.isDown = true;
  const node = createNode(platform);
  const badFile = { ...push, files: { ...push.files, 'a.json': formatAccount('acme', 9) } };
  const badRevision = { ...push, revision: 7 };
  const badManifest = { ...push, files: { ...push.files, [manifestEntry]: '{}' } };
  const extraFile = { ...push, files: { ...push.files, 'b.json': '{}' } };
  for (const bad of [badFile, badRevision, badManifest, extraFile]) {
    node.receive(bad);
    await platform.clock.advance(1000);
    expect(node.task.getActive()).toEqual(undefined);
    expect(node.task.getStatus().lastRefusal === '').toEqual(false);
  }
});

test('an outage is reported with the active revision, and so is its end', async () => {
  const platform = createPlatform();
  await platform.addRevision();
  const node = createNode(platform);
  await platform.clock.advance(1000);
  platform.table.isDown = true;
  await platform.clock.advance(2500);
  expect(node.task.getStatus().isCutOff).toEqual(false);
  await platform.clock.advance(2000);
  expect(node.task.getStatus().isCutOff).toEqual(true);
  const report = findEvent(node, 'config_cut_off');
  expect([report?.revision, report?.reason]).toEqual([1, 'store is down']);
  expect(node.requested.length > 0).toEqual(true);
  platform.table.isDown = false;
  await platform.clock.advance(1000);
  expect(node.task.getStatus().isCutOff).toEqual(false);
  expect(findEvent(node, 'config_store_reached')?.revision).toEqual(1);
});

test('a rollback of the table does not roll back the daemon', async () => {
  const platform = createPlatform();
  await platform.addRevision();
  const old = [...platform.table.rows];
  await platform.addRevision();
  const node = createNode(platform);
  await platform.clock.advance(1000);
  for (const [key, row] of old) platform.table.rows.set(key, row);
  await platform.clock.advance(3000);
  const { revision, storeRevision } = node.task.getStatus();
  expect([revision, storeRevision]).toEqual([2, 1]);
});

// Guards against a flood of complete revisions when every heartbeat contains a higher revision.
test('a higher revision is requested from peers once per period, and only without the store', async () => {
  const platform = createPlatform();
  const node = createNode(platform);
  await platform.clock.advance(500);
  node.task.handlePeerRevision(4);
  expect(node.requested).toEqual([]);
  platform.table.isDown = true;
  await platform.clock.advance(500);
  for (const revision of [4, 5, 5]) node.task.handlePeerRevision(revision);
  expect(node.requested).toEqual([0]);
  await platform.clock.advance(1000);
  expect(node.requested).toEqual([0, 0]);
  expect(node.task.getStatus().highestKnown).toEqual(5);
});

// Guards against a daemon that restarts during an outage and activates the old revision of a peer.
test('a daemon restarted during an outage activates the highest pushed revision', async () => {
  const platform = createPlatform();
  await platform.addRevision();
  const older = await loadPush(platform);
  await platform.addRevision();
  const newer = await loadPush(platform);
  platform.table.isDown = true;
  const node = createNode(platform);
  node.task.handlePeerRevision(2);
  node.receive(older);
  await platform.clock.advance(1000);
  node.receive(newer);
  await platform.clock.advance(1000);
  expect(node.revisions).toEqual([2]);
  const alone = createNode(platform);
  alone.task.handlePeerRevision(2);
  alone.receive(older);
  await platform.clock.advance(5000);
  expect(alone.revisions).toEqual([1]);
});

interface Delivery {
  to: number;
  push: ConfigPush;
}

interface Cluster {
  platform: Platform;
  nodes: ReturnType<typeof createNode>[];
  queue: Delivery[];
}

function removeDelivery({ queue }: Cluster, pick: number): Delivery | undefined {
  return queue.splice(pick % Math.max(1, queue.length), 1)[0];
}

const actions: Record<string, (cluster: Cluster, pick: number) => void | Promise<void>> = {
  change: ({ platform }) => platform.addRevision(),
  wait: ({ platform }, pick) => platform.clock.advance(500 + pick),
  deliver: (cluster, pick) => {
    const removed = removeDelivery(cluster, pick);
    if (removed !== undefined) cluster.nodes[removed.to]!.receive(removed.push);
  },
  drop: (cluster, pick) => void removeDelivery(cluster, pick),
  restart: ({ platform, nodes }, pick) => {
    nodes[pick % nodes.length]!.task.stop();
    nodes[pick % nodes.length] = createNode(platform);
  },
  toggleTable: ({ platform }) => void (platform.table.isDown = !platform.table.isDown),
  toggleObjects: ({ platform }) =>
    void (platform.objectStore.isDown = !platform.objectStore.isDown),
};

// Late messages are the main risk of a decreasing revision, so the steps that cause them are frequent.
const frequent = ['change', 'wait', 'deliver', 'deliver'];
const step = fc.record({
  name: fc.constantFrom(...Object.keys(actions), ...frequent),
  pick: fc.nat({ max: 1000 }),
});

function listDeliveries(nodes: ReturnType<typeof createNode>[]): Delivery[] {
  return nodes.flatMap((node, from) => {
    const others = nodes.map((_, to) => to).filter((to) => to !== from);
    const pushes = node.pushed.splice(0).flatMap((push) => others.map((to) => ({ to, push })));
    const responses = node.requested.splice(0).flatMap((above) =>
      others.flatMap((other) => {
        const push = nodes[other]!.task.buildPush(above);
        return push === undefined ? [] : [{ to: from, push }];
      }),
    );
    return [...pushes, ...responses];
  });
}

function isIncreasing(revisions: readonly number[]): boolean {
  return revisions.every((revision, index) => index === 0 || revision > revisions[index - 1]!);
}

test('no revision decreases, and all daemons agree after the faults end', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 20, maxLength: 40 }), async (steps) => {
      const platform = createPlatform();
      const nodes = [0, 1, 2].map(() => createNode(platform));
      const all = [...nodes];
      const cluster: Cluster = { platform, nodes, queue: [] };
      for (const { name, pick } of steps) {
        await actions[name]!(cluster, pick);
        cluster.queue.push(...listDeliveries(nodes));
        all.push(...nodes.filter((node) => !all.includes(node)));
      }
      platform.table.isDown = false;
      platform.objectStore.isDown = false;
      await platform.clock.advance(3000);
      expect(all.every(({ revisions }) => isIncreasing(revisions))).toEqual(true);
      const served = nodes.map(({ task }) => task.getStatus().revision);
      expect(served).toEqual(nodes.map(() => platform.getHead()));
      for (const { task } of nodes) task.stop();
    }),
    { seed, numRuns: 100 },
  );
});
