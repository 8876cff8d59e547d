import { test } from 'node:test';
import { expect } from 'earl';
import { FindingKind, compareConfigs, listConfigFindings } from '../src/index.ts';
import type { QueueConfig, ServiceConfig } from '../src/index.ts';

const bounds = { maxHeaderBytes: 65_536 };

function createQueue(name: string, changes: Partial<QueueConfig> = {}): QueueConfig {
  const rules = { priority: 0, maxAttempts: 3, stretch: 3, targetMs: 0 };
  const base = { name, host: 'queue.example', prefix: `/${name}/`, pool: 'p1', isPublic: false };
  return { ...base, rules, ...changes };
}

function createConfig(changes: Partial<ServiceConfig> = {}): ServiceConfig {
  return {
    version: 1,
    queues: [createQueue('q1')],
    accounts: [{ name: 'a1', keys: ['k1'], guaranteedAccelerators: 4 }],
    limits: {
      ...{ maxHeaderBytes: 16_384, maxBodyBytes: 262_144 },
      ...{ headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    },
    ...changes,
  };
}

function listKinds(changes: Partial<ServiceConfig>): [FindingKind, string][] {
  return listConfigFindings(createConfig(changes), bounds).map(({ kind, entry }) => [kind, entry]);
}

// Guards against a check that reports what is in order, so that nobody reads it.
test('a configuration in order has no findings', () => {
  expect(listKinds({})).toEqual([]);
});

// Guards against routes that take no call, unnoticed until callers complain.
test('queues that no call can match are found', () => {
  const twin = createQueue('q2', { prefix: '/q1/' });
  expect(listKinds({ queues: [createQueue('q1'), twin] })).toEqual([
    [FindingKind.Unreachable, 'queues.q2'],
  ]);
  expect(listKinds({ queues: [createQueue('q1', { prefix: 'q1/' })] })).toEqual([
    [FindingKind.Unreachable, 'queues.q1'],
  ]);
  expect(listKinds({ accounts: [] })).toEqual([[FindingKind.Unreachable, 'queues.q1']]);
  const publicQueue = createQueue('q1', { isPublic: true });
  expect(listKinds({ queues: [publicQueue], accounts: [] })).toEqual([]);
});

// Guards against keys and guarantees that have no effect.
test('accounts that no call can use are found', () => {
  const account = { name: 'a1', keys: ['k1'], guaranteedAccelerators: 4 };
  const shared = [account, { ...account, name: 'a2', guaranteedAccelerators: 0 }];
  expect(listKinds({ accounts: shared })).toEqual([[FindingKind.Unreachable, 'accounts.a2']]);
  const rules = { priority: 1, maxAttempts: 3, stretch: 3, targetMs: 0 };
  expect(listKinds({ queues: [createQueue('q1', { rules })] })).toEqual([
    [FindingKind.Unreachable, 'accounts.a1'],
  ]);
});

// Guards against values that make every job fail or late, and limits without an effect.
test('errors and limits that contradict each other are found', () => {
  const rules = { priority: 0, maxAttempts: 0, stretch: 0, targetMs: 0 };
  expect(listKinds({ queues: [createQueue('q1', { rules })] })).toEqual([
    [FindingKind.Error, 'queues.q1'],
    [FindingKind.Contradiction, 'queues.q1'],
  ]);
  const limits = {
    ...{ maxHeaderBytes: 100_000, maxBodyBytes: 10 },
    ...{ headerTimeoutMs: 3000, idleTimeoutMs: 1000 },
  };
  expect(listKinds({ limits })).toEqual([
    [FindingKind.Contradiction, 'limits.maxHeaderBytes'],
    [FindingKind.Contradiction, 'limits.maxBodyBytes'],
  ]);
  expect(listKinds({ limits: { ...limits, idleTimeoutMs: 0 } })[0]).toEqual([
    FindingKind.Error,
    'limits.idleTimeoutMs',
  ]);
});

// Guards against a change that is sent by mistake, and against keys in the output.
test('differences name what is added, removed and changed, without keys', () => {
  const inForce = createConfig();
  const next = createConfig({
    queues: [createQueue('q2')],
    accounts: [{ name: 'a1', keys: ['secret'], guaranteedAccelerators: 8 }],
    limits: { ...inForce.limits, maxBodyBytes: 1000 },
  });
  const differences = compareConfigs(inForce, next);
  expect(differences.map(({ entry }) => entry)).toEqual([
    'queues.q1',
    'queues.q2',
    'accounts.a1',
    'accounts.a1.keys',
    'limits.maxBodyBytes',
  ]);
  expect(differences[0]?.after).toEqual(undefined);
  expect(differences[1]?.before).toEqual(undefined);
  expect(JSON.stringify(differences).includes('secret')).toEqual(false);
  expect(compareConfigs(inForce, inForce)).toEqual([]);
});
