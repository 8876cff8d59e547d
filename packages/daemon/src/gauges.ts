import type { Membership } from '@bergamotreach/membership';
import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Metrics } from '@bergamotreach/protocol';

/** Lengths of the daemon's queues and its use of bounded resources. */
export interface QueueSizes {
  /** Requests that wait for an endpoint, by service. */
  waiting: Record<string, number>;
  /** Requests without a final answer. */
  openRequests: number;
  /** Transactions that wait for the table. */
  queuedWrites: number;
  /** Jobs that wait, by account; empty when the daemon does not own its region. */
  queuedJobs: Record<string, number>;
  bodyBytes: number;
  connections: number;
  /** Age of the instance list in milliseconds; `undefined` before the first read. */
  instanceListAgeMs: number | undefined;
}

/** Options of the gauges. */
export interface GaugeOptions {
  clock: Clock;
  metrics: Metrics;
  getSizes: () => QueueSizes;
}

const periodMs = 5000;

/** Reports queue lengths periodically until cancelled. */
export function startGauges({ clock, metrics, getSizes }: GaugeOptions): CancelTimer {
  /** Accounts reported before: a queue that has become empty is reported as 0. */
  const accounts = new Set<string>();
  return runEvery(clock, periodMs, () => {
    const sizes = getSizes();
    for (const [service, waiting] of Object.entries(sizes.waiting)) {
      metrics.setGauge('requests.waiting', waiting, { service });
    }
    for (const account of Object.keys(sizes.queuedJobs)) accounts.add(account);
    for (const account of accounts) {
      metrics.setGauge('job.queued', sizes.queuedJobs[account] ?? 0, { account });
    }
    metrics.setGauge('requests.open', sizes.openRequests);
    metrics.setGauge('store.queued_writes', sizes.queuedWrites);
    metrics.setGauge('http.body_bytes', sizes.bodyBytes);
    metrics.setGauge('http.connections', sizes.connections);
    const ageMs = sizes.instanceListAgeMs;
    if (ageMs !== undefined) metrics.setGauge('instance_list.age_ms', ageMs);
  });
}

/** Counts each time a member is heard again after it had been silent for its suspicion time. */
export function countLinkRestarts(membership: Membership, metrics: Metrics): void {
  const heard = new Set<string>();
  const silent = new Set<string>();
  membership.addViewListener(({ members }) => {
    for (const { id, region, isHeard } of members) {
      if (isHeard && silent.delete(id)) metrics.count('links.restarted', 1, { peerRegion: region });
      if (isHeard) heard.add(id);
      else if (heard.delete(id)) silent.add(id);
    }
    const known = new Set(members.map(({ id }) => id));
    for (const id of [...heard, ...silent]) {
      if (known.has(id)) continue;
      heard.delete(id);
      silent.delete(id);
    }
  });
}
