import { computeHash, FaultCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import fc from 'fast-check';
import { test } from 'node:test';
import { buildAcceptedConfig, checkFolder, maxFolderBytes, maxListedFaults } from '../src/index.ts';
import { mergeFolder } from '../src/merge.ts';
import { formatAccount } from './fakes.ts';

const seed = 20260404;

async function listMessages(files: Record<string, string>): Promise<string[]> {
  const result = await checkFolder(files);
  return result.isErr() ? result.error.map(({ message }) => message) : [];
}

test('an empty folder has all defaults', async () => {
  const config = (await checkFolder({})).unwrap();
  expect(config.placement.weights).toEqual({ completion: 1, fragmentation: 1 });
  expect(config.placement.urgentReclaimMs).toEqual(300);
  expect(config.limits.maxRequestMs).toEqual(60_000);
});

test('buildAcceptedConfig returns the same configuration as checkFolder', async () => {
  const files = {
    'a.json': formatAccount('acme', 2),
    'b.json': '{"services": {"trek": {"maxBodyBytes": 9}}, "dataCentres": {"d": {"region": "r"}}}',
  };
  expect(buildAcceptedConfig(files).unwrap()).toEqual((await checkFolder(files)).unwrap());
});

test('later files in name order replace scalars and arrays and merge objects', async () => {
  const files = {
    'b.json': '{"accounts": {"acme": {"weight": 2, "tokenHashes": []}}}',
    'a.json': `{"accounts": {"acme": {"weight": 1, "quotaAccelerators": 5, "tokenHashes": ["${'a'.repeat(64)}"]}}}`,
  };
  const account = (await checkFolder(files)).unwrap().accounts.acme!;
  expect([account.weight, account.quotaAccelerators, account.tokenHashes]).toEqual([2, 5, []]);
});

// Guards against a merge that depends on the order in which the files were read.
test('the merge does not depend on insertion order', () => {
  const file = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.jsonValue({ maxDepth: 3 }));
  const folder = fc.dictionary(fc.constantFrom('1.json', '2.json', '3.json', '10.json'), file);
  fc.assert(
    fc.property(folder, (content) => {
      const entries = Object.entries(content).map(([name, value]) => [name, JSON.stringify(value)]);
      const forward = mergeFolder(Object.fromEntries(entries) as Record<string, string>);
      const backward = mergeFolder(Object.fromEntries(entries.reverse()) as Record<string, string>);
      expect(JSON.stringify(forward.merged)).toEqual(JSON.stringify(backward.merged));
      const last = Object.keys(content).sort().at(-1) ?? '';
      const merged = forward.merged;
      for (const [key, value] of Object.entries(content[last] ?? {})) {
        const isScalar = typeof value !== 'object' || value === null;
        if (isScalar) expect(merged[key] ?? null).toEqual(value);
      }
    }),
    { seed, numRuns: 200 },
  );
});

test('all faults are reported together with file, path, found and allowed', async () => {
  const files = {
    'a.json': '{"accounts": {"acme": {"weight": -1, "wieght": 2, "quotaAccelerators": 1.5}}}',
    'b.json': '{"placement": {"weights": {"completion": "high"}}, "limits": []}',
    'c.json': '{"dataCentres": {"noord": {"racks": {"r1": {"accelerators": 8}}}}}',
    'd.json': '{ not json',
    'E.txt': '{}',
  };
  expect((await listMessages(files)).sort()).toEqual([
    expect.a(String),
    'a.json: accounts.acme.quotaAccelerators: found 1.5, allowed: integer from 0 to 1000000 (accelerators, 0 for no limit)',
    'a.json: accounts.acme.weight: found -1, allowed: number from 0.001 to 1000 (share)',
    'a.json: accounts.acme.wieght: found unknown key "wieght", allowed: weight, quotaAccelerators, guarantees, tokenHashes, isOperator, requests; nearest known: "weight"',
    'b.json: limits: found array of 0, allowed: object with maxBodyBytes, maxAnswerBytes, maxHeaderBytes, maxRequestMs, defaultRequestMs, readTimeoutMs, maxConnections, maxPayloadBytes, creditMs, stallMs, maxRetryTokens, maxQueuedJobs',
    'b.json: placement.weights.completion: found "high", allowed: number from 0 to 1000 (weight)',
    'c.json: dataCentres.noord.racks.r1.workers: found nothing, allowed: integer from 1 to 1024 (workers)',
    'c.json: dataCentres.noord.region: found nothing, allowed: region name matching ^[a-z0-9][a-z0-9-]{0,62}$',
    expect.a(String),
  ]);
});

test('the fault of an unknown name suggests the nearest known name', async () => {
  const files = {
    'a.json':
      '{"dataCentres": {"noord": {"region": "noord"}}, "accounts": {"acme": {"guarantees": [{"dataCentre": "nord", "accelerators": 8}]}}}',
  };
  const [message] = await listMessages(files);
  expect(message ?? '').toEqual(
    'a.json: accounts.acme.guarantees[0].dataCentre: found unknown name "nord", allowed: noord; nearest known: "noord"',
  );
});

test('"__proto__" and "constructor" are ordinary unknown keys', async () => {
  const messages = await listMessages({
    'a.json': '{"__proto__": {"limits": 1}, "limits": {"constructor": 1}}',
  });
  expect(messages.length).toEqual(2);
});

// Guards against printing a bearer token that was entered instead of its hash.
test('the value of a token hash is not shown', async () => {
  const token = 'demo-token-of-acme';
  const messages = await listMessages({
    'a.json': JSON.stringify({ accounts: { acme: { tokenHashes: [token] } } }),
  });
  expect(messages.length).toEqual(1);
  expect(messages.join().includes(token)).toEqual(false);
});

test('rules that involve several keys are checked', async () => {
  const hash = computeHash('t');
  const cases: [string, string][] = [
    ['{"placement": {"weights": {"completion": 0, "fragmentation": 0}}}', 'placement.weights'],
    ['{"placement": {"quarantineMs": 2000, "quarantineMaxMs": 1000}}', 'placement.quarantineMaxMs'],
    ['{"limits": {"maxRequestMs": 10}}', 'limits.defaultRequestMs'],
    [
      `{"accounts": {"a": {"tokenHashes": ["${hash}"]}, "b": {"tokenHashes": ["${hash}"]}}}`,
      'accounts.b.tokenHashes[0]',
    ],
    ['{"services": {"s": {"links": {"r": {}}}}}', 'services.s.links.r'],
    [
      '{"dataCentres": {"d": {"region": "r"}}, "accounts": {"a": {"quotaAccelerators": 4, "guarantees": [{"dataCentre": "d", "accelerators": 8}]}}}',
      'accounts.a.quotaAccelerators',
    ],
  ];
  for (const [content, place] of cases) {
    const messages = await listMessages({ 'a.json': content });
    expect(messages.map((message) => message.split(': ')[1])).toEqual([place]);
  }
});

test('the fault of an oversold guarantee names account, shape and level', async () => {
  const files = {
    'a.json': '{"dataCentres": {"noord": {"region": "noord", "racks": {"r1": {"workers": 1}}}}}',
    'b.json': JSON.stringify({
      accounts: {
        acme: { guarantees: [{ dataCentre: 'noord', accelerators: 8, within: 'worker' }] },
        bolt: { guarantees: [{ dataCentre: 'noord', accelerators: 16, within: 'rack' }] },
      },
    }),
  };
  const faults = (await checkFolder(files)).unwrapErr();
  expect(faults.map(({ code }) => code)).toEqual([FaultCode.Oversold]);
  expect(faults[0]?.path).toEqual(['b.json', 'accounts', 'bolt', 'guarantees', 0]);
  expect(faults[0]?.message ?? '').toEqual(
    'b.json: accounts.bolt.guarantees[0]: found 16 accelerators within rack (level 4) in noord guaranteed to account bolt, allowed: what the hardware of noord can satisfy; missing shapes: 1',
  );
});

test('a folder of 200 files is merged', async () => {
  const names = Array.from({ length: 200 }, (_, index) => `account-${index}`);
  const files = Object.fromEntries(names.map((id) => [`${id}.json`, formatAccount(id, 1)]));
  expect(Object.keys((await checkFolder(files)).unwrap().accounts).length).toEqual(200);
});

test('a folder larger than a push is rejected', async () => {
  const faults = (await checkFolder({ 'a.json': ' '.repeat(maxFolderBytes + 1) })).unwrapErr();
  expect(faults.map(({ code }) => code)).toEqual([FaultCode.TooLarge]);
});

// Guards against a stack overflow, and against a response that does not fit into memory.
test('deep nesting is rejected and the number of listed faults is limited', async () => {
  const deep = await listMessages({ 'a.json': '{"a":'.repeat(50_000) + '1' + '}'.repeat(50_000) });
  expect(deep).toEqual(['a.json: objects are nested more than 16 deep']);
  const keys = Array.from({ length: 20_000 }, (_, index) => [`k${index}`, 1]);
  const flood = await listMessages({ 'a.json': JSON.stringify(Object.fromEntries(keys)) });
  expect(flood.length).toEqual(maxListedFaults + 1);
});
