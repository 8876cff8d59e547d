import type { Membership } from '@bergamotreach/membership';
import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Metrics } from '@bergamotreach/protocol';

/** Queue lengths and resource usage of a daemon, read once per reporting period. */
export interface GaugeValues {
  /** Requests waiting for an endpoint, by service. */
  waitingRequests: Record<string, number>;
  /** Requests without a final response. */
  openRequests: number;
  /** Transactions waiting to be written to the table. */
  queuedWrites: number;
  /** Queued jobs by account; empty when the daemon does not own its region. */
  queuedJobs: Record<string, number>;
  /** Request body bytes held in memory. */
  bodyBytes: number;
  /** Open HTTP connections. */
  connections: number;
  /** Age of the instance list in milliseconds; `undefined` before the first read. */
  instanceListAgeMs: number | undefined;
}

/** Options of the gauges. */
export interface GaugeOptions {
  clock: Clock;
  metrics: Metrics;
  getValues: () => GaugeValues;
}

const periodMs = 5000;

/** Reports the gauges periodically until cancelled. */
export function startGauges({ clock, metrics, getValues }: GaugeOptions): CancelTimer {
  /** Accounts reported earlier; once their queue is empty, they are reported as 0. */
  const reportedAccounts = new Set<string>();
  return runEvery(clock, periodMs, () => {
    const values = getValues();
    for (const [service, count] of Object.entries(values.waitingRequests)) {
      metrics.setGauge('requests.waiting', count, { service });
    }
    for (const account of Object.keys(values.queuedJobs)) reportedAccounts.add(account);
    for (const account of reportedAccounts) {
      metrics.setGauge('job.queued', values.queuedJobs[account] ?? 0, { account });
    }
    metrics.setGauge('requests.open', values.openRequests);
    metrics.setGauge('store.queued_writes', values.queuedWrites);
    metrics.setGauge('http.body_bytes', values.bodyBytes);
    metrics.setGauge('http.connections', values.connections);
    const ageMs = values.instanceListAgeMs;
    if (ageMs !== undefined) metrics.setGauge('instance_list.age_ms', ageMs);
  });
}

/** Counts each time a suspected member sends heartbeats again. */
export function countLinkRestarts(membership: Membership, metrics: Metrics): void {
  const alive = new Set<string>();
  const silent = new Set<string>();
  membership.addViewListener(({ members }) => {
    for (const { id, region, isHeard } of members) {
      if (isHeard && silent.delete(id)) metrics.count('links.restarted', 1, { peerRegion: region });
      if (isHeard) alive.add(id);
      else if (alive.delete(id)) silent.add(id);
    }
    const current = new Set(members.map(({ id }) => id));
    for (const id of [...alive, ...silent]) {
      if (current.has(id)) continue;
      alive.delete(id);
      silent.delete(id);
    }
  });
}
