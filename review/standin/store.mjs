// Stand-in for the platform's store: rows with conditional transactions, reads, a change feed and the
// list of workers, whose entries expire after three heartbeat intervals without a heartbeat.
import { createServer } from 'node:http';
import { json } from 'node:stream/consumers';
import { setTimeout as wait } from 'node:timers/promises';

export const heartbeatMs = 1500;
const expiryHeartbeats = 3;
const expiryCheckMs = 20;
const answerMs = 4;
const transactionMs = 5;
const maxPageRows = 500;
/** Limit of a row's value, `row-bytes` of the settings. */
const maxRowBytes = 65_536;

function formatKey({ table, part = '', key }) {
  return `${table}/${part}/${key}`;
}

/** Starts the store; `onEvent` receives a line for each change of the list of workers. */
export async function startStore(onEvent) {
  const rows = new Map();
  /** The newest change of each row, in order of version. */
  const changes = new Map();
  const heartbeats = new Map();
  const partFreeAt = new Map();
  const startedAt = performance.now();
  let version = 0;
  let waiters = [];
  /** Answers every call with this status and does nothing; 0 while the store works. */
  let refusal = 0;

  function recordChange(row) {
    const name = formatKey(row);
    changes.delete(name);
    changes.set(name, row);
  }

  function apply({ puts = [], remove = [], 'expected-rev': expected = [] }) {
    const current = (row) => rows.get(formatKey(row));
    if (expected.some((row) => (current(row)?.ver ?? 0) !== row.ver)) {
      return expected.flatMap((row) => current(row) ?? []);
    }
    version += 1;
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver: version };
      rows.set(formatKey(row), row);
      recordChange(row);
    }
    for (const { table, part = '', key } of remove) {
      rows.delete(formatKey({ table, part, key }));
      recordChange({ table, part, key, ver: version, deleted: true });
    }
    const released = waiters;
    waiters = [];
    for (const release of released) release();
    return undefined;
  }

  function reply(response, code, body) {
    const header = { ver: version, 'now-ms': Math.floor(performance.now() - startedAt) };
    response.writeHead(code, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...header, ...body }));
  }

  async function answerTransaction(request, response) {
    const transaction = await json(request);
    const entries = ['expected-rev', 'puts', 'remove'].flatMap((name) => transaction[name] ?? []);
    const parts = new Set(entries.map(({ part = '' }) => part));
    const isTooLarge = (transaction.puts ?? []).some(
      ({ value }) => Buffer.byteLength(value, 'base64') > maxRowBytes,
    );
    if (parts.size > 1 || entries.length > 100 || isTooLarge) return reply(response, 400, {});
    const [part = ''] = parts;
    const now = performance.now();
    const freeAt = Math.max(now, partFreeAt.get(part) ?? 0) + transactionMs;
    if (freeAt - now > 1000) return reply(response, 429, {});
    partFreeAt.set(part, freeAt);
    await wait(freeAt - now);
    const conflict = apply(transaction);
    return conflict === undefined
      ? reply(response, 200, {})
      : reply(response, 412, { rows: conflict });
  }

  function answerPage(query, response) {
    const limit = Math.min(maxPageRows, Number(query.get('limit') ?? maxPageRows));
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const found = [...rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    reply(response, 200, { rows: found.slice(0, limit), 'has-more': found.length > limit });
  }

  async function answerFeed(query, response) {
    const after = Number(query.get('after'));
    const endAt = performance.now() + Math.min(30_000, Number(query.get('wait-ms') ?? 0));
    const find = () =>
      [...changes.values()].filter((row) => row.table === query.get('table') && row.ver > after);
    while (find().length === 0 && performance.now() < endAt && refusal === 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, endAt - performance.now()));
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (refusal > 0) return reply(response, refusal, {});
    return reply(response, 200, { rows: find() });
  }

  async function handle(request, response) {
    const url = new URL(request.url, 'http://store');
    await wait(answerMs);
    if (refusal > 0) return reply(response, refusal, {});
    if (url.pathname === '/rows-tx') return answerTransaction(request, response);
    if (url.pathname === '/rows-feed') return answerFeed(url.searchParams, response);
    if (url.pathname === '/rows-get') return answerPage(url.searchParams, response);
    return reply(response, 404, {});
  }

  function put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    apply({ puts: [{ table, key, value: text }] });
  }

  function remove(table, key) {
    apply({ remove: [{ table, key }] });
  }

  const sweep = setInterval(() => {
    for (const [id, { at }] of heartbeats) {
      if (performance.now() - at < expiryHeartbeats * heartbeatMs) continue;
      heartbeats.delete(id);
      remove('servers', id);
      onEvent(
        `store: entry of ${id} expired, last heartbeat ${Math.round(performance.now() - at)} ms ago`,
      );
    }
  }, expiryCheckMs);

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    port: server.address().port,
    put,
    remove,
    setRefusal(code) {
      refusal = code;
    },
    /** Accepts a heartbeat. The stored entry changes when more than `sequence` changes. */
    acceptHeartbeat(id, entry, sequence) {
      if (refusal > 0) return false;
      const text = JSON.stringify(entry);
      const known = heartbeats.get(id);
      heartbeats.set(id, { at: performance.now(), text });
      if (known?.text === text) return true;
      put('servers', id, { ...entry, sequence });
      onEvent(
        `store: entry of ${id} is ${entry.state}, drain-remaining-ms ${entry['drain-remaining-ms'] ?? '-'}`,
      );
      return true;
    },
    /** Removes the entry of a worker that has left. */
    removeEntry(id) {
      heartbeats.delete(id);
      remove('servers', id);
    },
    close() {
      clearInterval(sweep);
      server.closeAllConnections();
      server.close();
    },
  };
}
