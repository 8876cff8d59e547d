// Stand-in for the platform's store, as PROTOCOL.md describes it: rows, transactions and the change feed.
import { createServer } from 'node:http';
import { listen, readJson, sendJson, sleep } from './net.mjs';

const maxEntries = 100;
const maxCallBytes = 1_000_000;
const maxKeyBytes = 200;
const maxPageRows = 500;
const maxPageBytes = 1_000_000;
const readOnlyTables = new Set(['op', 'servers']);

/** A window of one second for the platform's rate limits. */
function createRate(perSecond) {
  let tokens = perSecond;
  let atMs = performance.now();
  return () => {
    const nowMs = performance.now();
    tokens = Math.min(perSecond, tokens + ((nowMs - atMs) * perSecond) / 1000);
    atMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
}

const formatId = ({ table, part, key }) => `${table}\n${part}\n${key}`;

/** Starts the store. `limits` are the fields under `platform` of the settings. */
export async function startStore(limits) {
  const rows = new Map();
  let log = [];
  let version = 0;
  let prunedTo = 0;
  let waiters = new Set();
  const partFreeAtMs = new Map();
  const takeWrite = createRate(limits['writes-per-s']);
  const takeRead = createRate(limits['reads-per-s']);
  const retentionMs = limits['retention-s'] * 1000;
  const answerMs = 4;
  /** Faults: `intercept(request, body)` may return a status, or 'silent'. */
  const faults = { intercept: undefined };
  const totals = { writes: 0, reads: 0, refused: {} };
  const listeners = new Set();

  function wake() {
    const released = waiters;
    waiters = new Set();
    for (const release of released) release();
  }

  function append(row) {
    log.push({ ...row, atMs: performance.now() });
    const oldestMs = performance.now() - retentionMs;
    let index = 0;
    while (index < log.length && log[index].atMs < oldestMs) index += 1;
    if (index > 0) {
      prunedTo = log[index - 1].ver;
      log = log.slice(index);
    }
  }

  function apply({ puts = [], remove = [] }) {
    version += 1;
    for (const put of puts) {
      const row = { table: put.table, part: put.part ?? '', key: put.key, value: put.value };
      rows.set(formatId(row), { ...row, ver: version });
      append({ ...row, ver: version });
    }
    for (const name of remove) {
      const row = { table: name.table, part: name.part ?? '', key: name.key };
      if (rows.delete(formatId(row))) append({ ...row, ver: version, deleted: true });
    }
    for (const listener of listeners) listener(puts);
    wake();
  }

  /** Reason to reject a transaction as malformed; `undefined` if it is well-formed. */
  function findFlaw(tx, bytes) {
    const expected = tx['expected-rev'] ?? [];
    const entries = [...expected, ...(tx.puts ?? []), ...(tx.remove ?? [])];
    if (bytes > maxCallBytes) return `call of ${bytes} bytes`;
    if (entries.length > maxEntries) return `${entries.length} entries`;
    if (new Set(entries.map(({ part }) => part ?? '')).size > 1) return 'several parts';
    for (const { table, part = '', key } of entries) {
      if ([table, part, key].some((text) => Buffer.byteLength(text) > maxKeyBytes)) return 'key';
    }
    for (const { key, value } of tx.puts ?? []) {
      const size = Buffer.from(value, 'base64').length;
      if (size > limits['row-bytes']) return `row ${key} of ${size} bytes`;
    }
    return undefined;
  }

  async function answerTransaction(body, bytes, response) {
    totals.writes += 1;
    if (!takeWrite()) return sendJson(response, 429, {});
    const tx = JSON.parse(body);
    const flaw = findFlaw(tx, bytes);
    if (flaw !== undefined) {
      totals.refused[flaw] = (totals.refused[flaw] ?? 0) + 1;
      return sendJson(response, 400, { error: flaw });
    }
    const changed = [...(tx.puts ?? []), ...(tx.remove ?? [])];
    if (changed.some(({ table }) => readOnlyTables.has(table))) return sendJson(response, 403, {});
    const part = changed[0]?.part ?? tx['expected-rev']?.[0]?.part ?? '';
    const nowMs = performance.now();
    const freeMs = Math.max(nowMs, partFreeAtMs.get(part) ?? 0);
    if (freeMs - nowMs > 1000) return sendJson(response, 429, {});
    partFreeAtMs.set(part, freeMs + limits['txn-ms']);
    await sleep(freeMs + limits['txn-ms'] - nowMs);
    const expected = tx['expected-rev'] ?? [];
    const find = (row) => rows.get(formatId({ ...row, part: row.part ?? '' }));
    const isViolated = expected.some((row) => (find(row)?.ver ?? 0) !== row.ver);
    if (isViolated) {
      const current = expected.flatMap((row) => find(row) ?? []);
      return sendJson(response, 412, { rows: current, ver: version, 'now-ms': Date.now() });
    }
    apply(tx);
    return sendJson(response, 200, { ver: version, 'now-ms': Math.round(performance.now()) });
  }

  function answerPage(query, response) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows));
    const part = query.get('part') ?? '';
    const found = [...rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === part)
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    for (const row of found) {
      bytes += row.value.length + 200;
      if (page.length >= limit || (page.length > 0 && bytes > maxPageBytes)) break;
      page.push(row);
    }
    sendJson(response, 200, {
      rows: page,
      'has-more': page.length < found.length,
      ver: version,
      'now-ms': Math.round(performance.now()),
    });
  }

  async function answerFeed(query, response) {
    const after = Number(query.get('after'));
    const table = query.get('table');
    const endMs = performance.now() + Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    const listChanges = () => {
      const newest = new Map();
      for (const row of log) {
        if (row.ver <= after || row.table !== table) continue;
        newest.delete(formatId(row));
        const { atMs: _atMs, ...change } = row;
        newest.set(formatId(row), change);
      }
      return [...newest.values()];
    };
    for (;;) {
      if (after < prunedTo) return sendJson(response, 410, {});
      const changes = listChanges();
      const leftMs = endMs - performance.now();
      if (changes.length > 0 || leftMs <= 0 || response.destroyed) {
        return sendJson(response, 200, {
          rows: changes,
          ver: version,
          'now-ms': Math.round(performance.now()),
        });
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, leftMs);
        waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  const server = createServer((request, response) => {
    const handle = async () => {
      const body = await readJson(request, true);
      const url = new URL(request.url, 'http://store');
      const fault = faults.intercept?.(request, url, body);
      if (fault === 'silent') return;
      await sleep(answerMs);
      if (typeof fault === 'number') sendJson(response, fault, {});
      else if (url.pathname === '/rows-tx') {
        await answerTransaction(body, Buffer.byteLength(body), response);
      } else if (url.pathname === '/rows-get') {
        totals.reads += 1;
        if (takeRead()) answerPage(url.searchParams, response);
        else sendJson(response, 429, {});
      } else if (url.pathname === '/rows-feed') {
        totals.reads += 1;
        if (takeRead()) await answerFeed(url.searchParams, response);
        else sendJson(response, 429, {});
      } else sendJson(response, 404, {});
    };
    handle().catch(() => response.destroy());
  });
  const address = await listen(server);
  return {
    address,
    faults,
    totals,
    /** Writes a row as the operator or a worker does. */
    put: (table, key, value) => {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      apply({ puts: [{ table, part: '', key, value: text }] });
    },
    remove: (table, key) => apply({ remove: [{ table, part: '', key }] }),
    /** Calls `listener` with the rows of each write. */
    onWrite: (listener) => listeners.add(listener),
    close: () => {
      wake();
      server.closeAllConnections();
      server.close();
    },
  };
}
