import { test } from 'node:test';
import { AdvicePurpose } from '@bergamotreach/scheduling';
import type { AdviceRequest } from '@bergamotreach/scheduling';
import { expect } from 'earl';
import { createSingle } from '../../scheduling/tests/samples.ts';
import {
  countUndecidedToName,
  getMaxNamed,
  getSlowness,
  noRecord,
  recordCall,
} from '../src/advicesize.ts';
import { rankRequests } from '../src/adviceturns.ts';
import type { AdviceTurn } from '../src/adviceturns.ts';

const nowMs = 100_000;

function createTurn(changes: Partial<AdviceTurn> = {}): AdviceTurn {
  return { neededAtMs: nowMs - 100, renewals: 0, hasMore: false, ...changes };
}

/** Names of requests, given in planning order as priority and turn, in the order of their turns. */
function rankTurns(turns: Record<string, [priority: number, turn: AdviceTurn]>): string[] {
  const requests = Object.entries(turns).map(([id, [priority]]): AdviceRequest => {
    const purpose = id.startsWith('plan') ? AdvicePurpose.Decision : AdvicePurpose.Start;
    return { group: createSingle(id, priority), purpose, workerIds: [] };
  });
  const getTurn = ({ group }: AdviceRequest): AdviceTurn =>
    turns[group.job.id]?.[1] ?? createTurn();
  return rankRequests(requests, getTurn, nowMs).map(({ group }) => group.job.id);
}

// Guards against a step that is asked for again and again before steps that had no call yet.
test('steps without a call come before those that had one', () => {
  const asked = createTurn({ calledAtMs: nowMs - 200 });
  expect(rankTurns({ asked: [1, asked], fresh: [1, createTurn()] })).toEqual(['fresh', 'asked']);
});

// Guards against urgent work that waits for its turn behind other work.
test('urgent steps come first', () => {
  const late = createTurn({ neededAtMs: nowMs - 9000 });
  expect(rankTurns({ late: [1, late], urgent: [0, createTurn()] })).toEqual(['urgent', 'late']);
});

// Guards against an urgent step whose calls bring no start and that takes all calls.
test('an urgent step that never starts lets others go first', () => {
  const renewed = createTurn({ calledAtMs: nowMs - 2500, renewals: 5 });
  expect(rankTurns({ urgent: [0, renewed], fresh: [1, createTurn()] })).toEqual([
    'fresh',
    'urgent',
  ]);
});

// Guards against a step that never gets a turn while others keep arriving.
test('a step that has waited long goes before newer ones, oldest first', () => {
  const old = createTurn({ neededAtMs: nowMs - 3500 });
  const older = createTurn({ calledAtMs: nowMs - 4000 });
  const turns: Record<string, [number, AdviceTurn]> = { fresh: [1, createTurn()] };
  expect(rankTurns({ ...turns, old: [1, old], older: [1, older] })).toEqual([
    'older',
    'old',
    'fresh',
  ]);
});

// Guards against calls without end for a step whose calls bring no start.
test('renewals without a start wait for twice as long each time', () => {
  const listDue = (sinceMs: number): number[] =>
    [1, 2, 3, 4, 5, 6, 20].filter((renewals) => {
      const turn = createTurn({ calledAtMs: nowMs - sinceMs, renewals });
      return rankTurns({ step: [1, turn] }).length > 0;
    });
  expect(listDue(0)).toEqual([1]);
  expect(listDue(600)).toEqual([1, 2, 3]);
  expect(listDue(2000)).toEqual([1, 2, 3, 4, 5, 6, 20]);
});

// Guards against a gang whose first tickets run out while others have their turns.
test('a gang that needs several calls keeps its turn', () => {
  const partial = createTurn({ calledAtMs: nowMs, renewals: 2, hasMore: true });
  expect(rankTurns({ fresh: [0, createTurn()], gang: [1, partial] })).toEqual(['gang', 'fresh']);
});

// Guards against calls for work that cannot start yet before calls for work that can.
test('decisions to plan ahead come last', () => {
  const asked = createTurn({ calledAtMs: nowMs - 200 });
  expect(rankTurns({ plan: [1, createTurn()], start: [1, asked] })).toEqual(['start', 'plan']);
});

// Guards against fewer workers in a call the longer the decision takes, which does not depend on them.
test('a long decision narrows no call', () => {
  const validityMs = 3000;
  expect(getMaxNamed({ decisionMs: 2500, perWorkerMs: 5 }, validityMs, noRecord)).toEqual(30);
  expect(getMaxNamed({ decisionMs: 400, perWorkerMs: 100 }, validityMs, noRecord)).toEqual(8);
  expect(getMaxNamed({ decisionMs: 9000, perWorkerMs: 10 }, validityMs, noRecord)).toEqual(1);
});

// Guards against one late answer that makes an advisor count as slow.
test('the quickest of the latest calls tells how slow an advisor is', () => {
  const rules = { decisionMs: 100, perWorkerMs: 10 };
  const recordAll = (...tookMs: number[]): number =>
    getSlowness(
      tookMs.reduce(
        (record, ms) =>
          recordCall(record, rules, { workers: 10, tookMs: ms, decided: 0, admitted: 0 }),
        noRecord,
      ),
    );
  expect(recordAll(4000)).toEqual(1);
  expect(recordAll(4000, 220)).toEqual(1.1);
  expect(recordAll(800, 600, 900)).toEqual(3);
});

// Guards against calls that name too few workers of a queue whose policy admits few.
test('more undecided workers are named where few are admitted', () => {
  const record = { slowness: [], decided: 96, admitted: 8 };
  expect(countUndecidedToName(0, noRecord)).toEqual(0);
  expect(countUndecidedToName(2, noRecord)).toEqual(6);
  expect(countUndecidedToName(2, record)).toEqual(30);
});
