import { test } from 'node:test';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { Err, Ok } from 'ts-results-es';
import { createPartLoad } from '../src/index.ts';

const pagesPerPart = 3;

/** A load of two parts, whose reads fail as long as `isFailing` says so. */
function createLoad(isFailing: (page: string) => boolean) {
  const reads: string[] = [];
  const clock = { nowMs: 0 };
  const partLoad = createPartLoad<{ part: string; index: number }>({
    parts: ['a', 'b'],
    readPage(part, previous) {
      const page = { part, index: (previous?.index ?? 0) + 1 };
      const name = `${part}${page.index}`;
      reads.push(name);
      const fault = createFault(FaultCode.StoreUnavailable, name);
      return Promise.resolve(isFailing(name) ? Err(fault) : Ok(page));
    },
    isLast: ({ index }) => index === pagesPerPart,
    getNowMs: () => clock.nowMs,
  });
  return { load: () => partLoad.load(), reads, clock };
}

// Guards against a load that never ends because each failed page makes it begin again from nothing.
test('a load goes on from the pages that have arrived', async () => {
  let failures = 2;
  const { load, reads } = createLoad((page) => page === 'b2' && (failures -= 1) >= 0);
  expect((await load()).isErr()).toEqual(true);
  expect((await load()).isErr()).toEqual(true);
  const pages = (await load()).unwrap().pages.map(({ part, index }) => `${part}${index}`);
  expect(pages).toEqual(['a1', 'a2', 'a3', 'b1', 'b2', 'b3']);
  expect(reads.sort()).toEqual(['a1', 'a2', 'a3', 'b1', 'b2', 'b2', 'b2', 'b3']);
});

// Guards against a snapshot with pages from before the history that the feed can still repeat.
test('old pages are read again', async () => {
  let isFailing = true;
  const { load, reads, clock } = createLoad((page) => page === 'b1' && isFailing);
  expect((await load()).isErr()).toEqual(true);
  isFailing = false;
  clock.nowMs = 11_000;
  expect((await load()).isOk()).toEqual(true);
  expect(reads.filter((page) => page === 'a1').length).toEqual(2);
});

// Guards against a snapshot that seems newer than the oldest of its pages, which an earlier call has read.
test('a load that goes on is dated by its first try', async () => {
  let isFailing = true;
  const { load, clock } = createLoad((page) => page === 'b2' && isFailing);
  clock.nowMs = 1000;
  await load();
  isFailing = false;
  clock.nowMs = 4000;
  expect((await load()).unwrap().startedMs).toEqual(1000);
  expect((await load()).unwrap().startedMs).toEqual(4000);
});

// Guards against a second load that returns the pages of the first.
test('a load after a complete one begins anew', async () => {
  const { load, reads } = createLoad(() => false);
  await load();
  await load();
  expect(reads.length).toEqual(4 * pagesPerPart);
});

// Guards against a second load beside the first that returns no pages (soak seed 10001).
test('loads at the same time return the same pages', async () => {
  const { load, reads } = createLoad(() => false);
  const [first, second] = await Promise.all([load(), load()]);
  expect(first.unwrap().pages.length).toEqual(2 * pagesPerPart);
  expect(second.unwrap()).toEqual(first.unwrap());
  expect(reads.length).toEqual(2 * pagesPerPart);
});
