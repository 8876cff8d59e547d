import { Pool } from 'undici';
import { waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';

/** Round-robin load balancer with health checks, like that of the platform. */
export interface Balancer {
  /** Adds a daemon; it is chosen once its health check answers 200. */
  addDaemon(daemon: DaemonProcess): void;
  /** Removes a daemon that has exited and closes its connections. */
  removeDaemon(daemon: DaemonProcess): void;
  /** The next healthy daemon in turn; `undefined` if there is none. */
  chooseDaemon(): BalancedDaemon | undefined;
  /** Resolves once the daemon has passed a health check; rejects after `timeoutMs`. */
  waitForReady(daemon: DaemonProcess, timeoutMs: number): Promise<void>;
  stop(): void;
}

/** A daemon with its connection pool. */
export interface BalancedDaemon {
  daemon: DaemonProcess;
  pool: Pool;
}

interface Entry extends BalancedDaemon {
  isReady: boolean;
}

const checkIntervalMs = 250;
const checkTimeoutMs = 1000;
// More than the requests in flight at any time: a request that waited in the pool would be sent to a
// daemon that has exited by then.
const connectionsPerDaemon = 512;

async function checkHealth(entry: Entry): Promise<void> {
  try {
    const options = { method: 'GET', path: '/v1/health', headersTimeout: checkTimeoutMs } as const;
    const response = await entry.pool.request(options);
    await response.body.dump();
    entry.isReady = response.statusCode === 200;
  } catch {
    entry.isReady = false;
  }
}

/** Starts a balancer without daemons; it keeps connections open between requests. */
export function startBalancer(cluster: Cluster): Balancer {
  const entries: Entry[] = [];
  let turn = 0;
  const timer = setInterval(() => {
    for (const entry of entries) void checkHealth(entry);
  }, checkIntervalMs);

  function removeDaemon(daemon: DaemonProcess): void {
    const index = entries.findIndex((entry) => entry.daemon === daemon);
    if (index === -1) return;
    const [entry] = entries.splice(index, 1);
    void entry?.pool.destroy();
  }

  function chooseDaemon(): BalancedDaemon | undefined {
    const ready = entries.filter((entry) => entry.isReady);
    turn += 1;
    return ready[turn % ready.length];
  }

  return {
    addDaemon: (daemon) => {
      const pool = new Pool(cluster.getUrl(daemon), { connections: connectionsPerDaemon });
      entries.push({ daemon, pool, isReady: false });
    },
    removeDaemon,
    chooseDaemon,
    waitForReady: async (daemon, timeoutMs) => {
      await waitUntil(`health of ${daemon.settings.id}`, timeoutMs, () =>
        Promise.resolve(entries.find((one) => one.daemon === daemon && one.isReady)),
      );
    },
    stop: () => {
      clearInterval(timer);
      for (const entry of entries) void entry.pool.destroy();
    },
  };
}
