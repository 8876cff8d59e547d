import { EventEmitter } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setImmediate as waitTurn } from 'node:timers/promises';
import { test } from 'node:test';
import { Feed, createMemoryBudget } from '@bergamotreach/hosting';
import type { FeedPage } from '@bergamotreach/hosting';
import {
  FaultCode,
  MessageType,
  RelayOperation,
  createFrameReader,
  createManualClock,
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  encodeFrame,
  handleUncaughtErrors,
} from '@bergamotreach/protocol';
import type { Fault, PeerMessage, RelayAnswerMessage } from '@bergamotreach/protocol';
import { JobState } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import fc from 'fast-check';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createStep } from '../../scheduling/tests/samples.ts';
import { createTableReplica, createRelay, startRelayListener } from '../src/index.ts';
import type { JobService, TableReplica } from '../src/index.ts';
import { answerRelayedCall } from '../src/relayedjobs.ts';
import { createWorld } from './world.ts';

const logger = createNullLogger();
const metrics = createNullMetrics();
const seed = 20261204;
const step = createStep({ taskCount: 2 });
const call = {
  type: MessageType.RelayCall,
  operation: RelayOperation.Submit,
  host: 'h',
  path: '/p/1',
  key: 'k',
  jobId: '1',
  job: JSON.stringify({ id: '1', payload: 'x', steps: [step] }),
  deadlineMs: 3000,
};

/** Sends messages on one connection and waits for as many answers. */
function sendAll(port: number, messages: readonly unknown[]): Promise<RelayAnswerMessage[]> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1');
    const reader = createFrameReader();
    const answers: RelayAnswerMessage[] = [];
    socket.on('error', reject);
    socket.on('data', (chunk: Buffer) => {
      answers.push(...(reader.readChunk(chunk).unwrap() as RelayAnswerMessage[]));
      if (answers.length < messages.length) return;
      socket.destroy();
      resolve(answers);
    });
    for (const message of messages) socket.write(encodeFrame(message as PeerMessage));
  });
}

/** Creates a job service that accepts everything and records what it accepted. */
function createFakeJobs(): { jobs: JobService; accepted: unknown[] } {
  const accepted: unknown[] = [];
  const jobs = {
    admit: () => Promise.resolve(Ok({})),
    submit(_admission: unknown, request: unknown) {
      accepted.push(request);
      return Promise.resolve(Ok(undefined));
    },
    getState: () => Promise.resolve(Ok(undefined)),
    cancel: () => Promise.resolve(Ok(false)),
  } as unknown as JobService;
  return { jobs, accepted };
}

async function runWithListener(
  handle: Parameters<typeof startRelayListener>[0]['handle'],
  run: (port: number) => Promise<void>,
): Promise<void> {
  const clock = createSystemClock();
  const server = await startRelayListener({
    address: '127.0.0.1:0',
    budget: createMemoryBudget({ clock, maxBytes: Infinity }),
    clock,
    logger,
    metrics: createNullMetrics(),
    handle,
  });
  try {
    await run((server.address() as AddressInfo).port);
  } finally {
    server.close();
  }
}

// Guards against an error in one relayed call that ends the whole process.
test('after an error in one relayed call its outcome is unknown and the next call is served', async () => {
  let calls = 0;
  const { jobs } = createFakeJobs();
  await runWithListener(
    (message) => {
      calls += 1;
      return calls === 1 ? Promise.reject(new Error('broken')) : answerRelayedCall(jobs, message);
    },
    async (port) => {
      const [first] = await sendAll(port, [call]);
      const [second] = await sendAll(port, [call]);
      expect([first?.faultCode, second?.faultCode]).toEqual([FaultCode.UnknownOutcome, '']);
    },
  );
});

// Guards against unchecked fields of a relayed call that reach the store or end the process.
test('a mutated relayed call is refused or carried out as it would be for a caller', async () => {
  const { jobs, accepted } = createFakeJobs();
  const fields = Object.keys(call).filter((name) => name !== 'type');
  const junk = fc.oneof(
    fc.constant(undefined),
    fc.anything({ maxDepth: 1, withNullPrototype: false }),
  );
  await runWithListener(
    (message) => answerRelayedCall(jobs, message),
    async (port) => {
      await fc.assert(
        fc.asyncProperty(fc.constantFrom(...fields), junk, async (field, value) => {
          const [answer] = await sendAll(port, [{ ...call, [field]: value }]);
          expect(answer?.type).toEqual(MessageType.RelayAnswer);
        }),
        { seed, numRuns: 150 },
      );
      const [answer] = await sendAll(port, [call]);
      expect(answer?.faultCode).toEqual('');
    },
  );
  for (const request of accepted) expect(JSON.stringify(request)).toEqual(call.job);
});

// Guards against a field of the wrong type that is passed to a store call or a timer.
test('a relayed call with a field of the wrong type is refused', async () => {
  const { jobs, accepted } = createFakeJobs();
  const broken = [
    { ...call, deadlineMs: 'soon' },
    { ...call, operation: 'erase' },
    { ...call, key: 7 },
    { ...call, jobId: '' },
    { type: MessageType.Hello },
    { type: 'unheard of' },
  ];
  await runWithListener(
    (message) => answerRelayedCall(jobs, message),
    async (port) => {
      const answers = await sendAll(port, broken);
      const codes = new Set(answers.map(({ faultCode }) => faultCode));
      expect([...codes]).toEqual([FaultCode.Protocol]);
    },
  );
  expect(accepted).toEqual([]);
});

// Guards against a relayed job that no caller could have submitted.
test('a relayed job is checked like a submitted one', async () => {
  const { jobs, accepted } = createFakeJobs();
  const broken = [
    'no json',
    'null',
    '{}',
    JSON.stringify({ id: '1', payload: 'x', steps: [] }),
    JSON.stringify({ id: '1', payload: 'x'.repeat(4001), steps: [step] }),
    JSON.stringify({ id: '1', payload: 'x', steps: [{ ...step, taskCount: 0 }] }),
    JSON.stringify({ id: '1', payload: 'x', steps: [{ ...step, dependsOn: [0] }] }),
    JSON.stringify({ id: '1', payload: 'x', steps: [{ ...step, demand: { accelerators: -1 } }] }),
  ];
  for (const job of broken) {
    const answer = await answerRelayedCall(jobs, { ...call, job } as never);
    expect(answer.faultCode).toEqual(FaultCode.BadRequest);
  }
  expect(accepted).toEqual([]);
});

// Guards against a malformed answer of a peer that counts as success.
test('a malformed answer of a peer leaves the outcome unknown', async () => {
  const handle = () => Promise.resolve({ type: MessageType.RelayAnswer, value: 'done' } as never);
  await runWithListener(handle, async (port) => {
    const peer = { name: 'p', relayAddress: `127.0.0.1:${port}`, dataCentre: 'd1' };
    const clock = createSystemClock();
    const relay = createRelay({
      clock,
      logger,
      metrics,
      dataCentre: 'd1',
      listPeers: () => [peer],
    });
    const answer = await relay.call(call as never);
    expect(answer?.faultCode).toEqual(FaultCode.UnknownOutcome);
  });
});

interface ScriptedReplica {
  replica: TableReplica<string>;
  seen: string[];
  send: (page: FeedPage<string>) => Promise<void>;
  sendRefresh: (page: FeedPage<string>) => Promise<void>;
}

/** Starts a replica whose pages are sent by the test; `handle` may throw. */
async function startScriptedReplica(
  handle: (key: string) => void = () => undefined,
): Promise<ScriptedReplica> {
  const open: ((page: Result<FeedPage<string>, Fault>) => void)[] = [];
  class ScriptedFeed extends Feed<string> {
    load(): Promise<Result<FeedPage<string>, Fault>> {
      return new Promise((resolve) => open.push(resolve));
    }
    wait(): Promise<Result<FeedPage<string>, Fault>> {
      return this.load();
    }
  }
  const seen: string[] = [];
  const replica = createTableReplica<string>({
    feed: new ScriptedFeed(),
    name: 'test',
    clock: createManualClock(),
    logger,
    metrics,
    onChange(key, value) {
      seen.push(`${key}=${value ?? 'gone'}`);
      handle(key);
    },
  });
  replica.start();
  await waitTurn();
  const answer = async (index: number, page: FeedPage<string>): Promise<void> => {
    const [resolve] = open.splice(index, 1);
    resolve?.(Ok(page));
    await waitTurn();
  };
  return {
    replica,
    seen,
    send: (page) => answer(0, page),
    async sendRefresh(page) {
      void replica.refresh();
      await waitTurn();
      await answer(open.length - 1, page);
    },
  };
}

// Guards against a change handler that throws for one row and thereby hides all later rows or ends
// the process.
test('a change handler that throws does not stop the replica', async () => {
  const script = await startScriptedReplica((key) => {
    if (key === 'a') throw new Error('broken');
  });
  const items = [
    { key: 'a', version: 1, value: 'x' },
    { key: 'b', version: 2, value: 'y' },
  ];
  await script.send({ items, isSnapshot: true, position: 2 });
  await script.send({
    items: [{ key: 'c', version: 3, value: 'z' }],
    isSnapshot: false,
    position: 3,
  });
  expect(script.seen).toEqual(['a=x', 'b=y', 'c=z']);
});

// Guards against a deleted row, such as that of a worker that has left, which a late answer
// restores.
test('an answer from before a snapshot does not restore a deleted row', async () => {
  const script = await startScriptedReplica();
  await script.send({
    items: [{ key: 'a', version: 4, value: 'x' }],
    isSnapshot: true,
    position: 5,
  });
  // The long poll is still open when the store drops its history; its answer arrives afterwards.
  await script.sendRefresh({ items: [], isSnapshot: true, position: 20 });
  const late = [
    { key: 'a', version: 6, value: 'changed' },
    { key: 'b', version: 7, value: 'created' },
  ];
  await script.send({ items: late, isSnapshot: false, position: 8 });
  expect(script.replica.list()).toEqual([]);
});

// Guards against losing the last valid configuration when the store drops its history.
test('a row that keeps its last valid value survives a snapshot', async () => {
  const script = await startScriptedReplica();
  await script.send({
    items: [{ key: 'a', version: 4, value: 'x' }],
    isSnapshot: true,
    position: 5,
  });
  await script.send({ items: [], unreadableKeys: ['a'], isSnapshot: true, position: 20 });
  expect(script.replica.find('a')).toEqual('x');
});

// Guards against a stored row that cannot be decoded and blocks all other jobs.
test('a job whose progress cannot be decoded is not scheduled', async () => {
  const world = createWorld();
  world.submit('a', [{ taskCount: 1 }]);
  world.submit('b', [{ taskCount: 1 }]);
  const key = 'progress/a.0.0';
  const conditions = [{ key, version: 0 }];
  const writes = [{ key, value: { tasks: 'none' } }];
  world.store.apply({ operationId: 'x', conditions, writes }, 't', 0);
  world.addCandidate('one');
  await world.clock.advance(5000);
  expect([world.getState('a'), world.getState('b')]).toEqual([JobState.Queued, JobState.Completed]);
});

// Guards against a worker that loses its link, and thus its lease, because one report call threw.
test('an error in one report ends neither the link nor the process', async () => {
  const world = createWorld();
  const { runner } = world.addCandidate('one');
  const report = runner.report.bind(runner);
  let hasFailed = false;
  runner.report = async (worker, request) => {
    if (hasFailed || world.clock.getNowMs() < 2000) return report(worker, request);
    hasFailed = true;
    throw new Error('broken');
  };
  world.submit('a', [{ taskCount: 4 }]);
  await world.clock.advance(6000);
  world.submit('b', [{ taskCount: 8 }]);
  await world.clock.advance(8000);
  expect(hasFailed).toEqual(true);
  expect([world.getState('a'), world.getState('b')]).toEqual([
    JobState.Completed,
    JobState.Completed,
  ]);
});

// Guards against a task that waits for ever because its start threw.
test('a task whose start threw is started again', async () => {
  const world = createWorld(1);
  const { runner } = world.addCandidate('one');
  const start = runner.start.bind(runner);
  let hasFailed = false;
  runner.start = async (worker, order) => {
    if (hasFailed) return start(worker, order);
    hasFailed = true;
    throw new TypeError('Invalid URL');
  };
  world.submit('a', [{ taskCount: 1 }]);
  await world.clock.advance(12_000);
  expect([hasFailed, world.getState('a')]).toEqual([true, JobState.Completed]);
});

for (const task of ['a.0.0.0', undefined]) {
  // Guards against starting a run a second time because its entry in a report cannot be read.
  test(`a run hidden by an odd entry that names ${task ?? 'no task'} is not repeated`, async () => {
    const world = createWorld(2, 6000);
    world.addCandidate('one');
    world.submit('a', [{ taskCount: 1 }]);
    await world.clock.advance(2000);
    const [started] = world.listStartedRuns();
    const worker = world.workers.get(started?.worker ?? '');
    if (worker === undefined) throw new Error('no run');
    const report = worker.report.bind(worker);
    let isOdd = true;
    worker.report = (request) =>
      report(request).map((known) => {
        if (!isOdd) return known;
        const entry = { reason: 'odd', isRun: true, ...(task === undefined ? {} : { task }) };
        return { ...known, runs: [], skippedEntries: [entry] };
      });
    await world.clock.advance(4000);
    isOdd = false;
    await world.clock.advance(8000);
    expect(world.listStartedRuns().length).toEqual(1);
    expect(world.getState('a')).toEqual(JobState.Completed);
  });
}

// Guards against an unexpected error that ends the process at once while it still holds its lease.
test('an unexpected error shuts the process down in order, once', () => {
  const source = new EventEmitter();
  let endings = 0;
  handleUncaughtErrors({ logger, source, onFailure: () => (endings += 1) });
  source.emit('uncaughtException', new Error('broken'));
  source.emit('unhandledRejection', 'broken again');
  expect(endings).toEqual(1);
});
