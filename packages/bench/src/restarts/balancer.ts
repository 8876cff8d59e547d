import { Pool } from 'undici';
import { waitUntil } from '../cluster/index.ts';
import type { Cluster, DaemonProcess } from '../cluster/index.ts';

/** Chooses among daemons by their health checks, as the platform's balancer does. */
export interface Balancer {
  /** Adds a daemon; it is chosen once its health check answers 200. */
  addDaemon(daemon: DaemonProcess): void;
  /** Forgets a daemon that has exited and closes its connections. */
  removeDaemon(daemon: DaemonProcess): void;
  /** The next healthy daemon in turn; `undefined` when there is none. */
  chooseDaemon(): BalancedDaemon | undefined;
  /** Resolves when the daemon passed its health check; rejects after `timeoutMs`. */
  waitReady(daemon: DaemonProcess, timeoutMs: number): Promise<void>;
  stop(): void;
}

/** A daemon with its connections. */
export interface BalancedDaemon {
  daemon: DaemonProcess;
  pool: Pool;
}

interface Entry extends BalancedDaemon {
  isReady: boolean;
}

const checkPeriodMs = 250;
const checkTimeoutMs = 1000;
// More than requests in progress at once: one that waits here would be sent to a daemon that has left.
const connectionsPerDaemon = 512;

async function checkHealth(entry: Entry): Promise<void> {
  try {
    const options = { method: 'GET', path: '/v1/health', headersTimeout: checkTimeoutMs } as const;
    const answer = await entry.pool.request(options);
    await answer.body.dump();
    entry.isReady = answer.statusCode === 200;
  } catch {
    entry.isReady = false;
  }
}

/** Starts a balancer without daemons. It keeps connections open between requests. */
export function startBalancer(cluster: Cluster): Balancer {
  const entries: Entry[] = [];
  let next = 0;
  const timer = setInterval(() => {
    for (const entry of entries) void checkHealth(entry);
  }, checkPeriodMs);

  function removeDaemon(daemon: DaemonProcess): void {
    const index = entries.findIndex((entry) => entry.daemon === daemon);
    if (index === -1) return;
    const [entry] = entries.splice(index, 1);
    void entry?.pool.destroy();
  }

  function chooseDaemon(): BalancedDaemon | undefined {
    const ready = entries.filter((entry) => entry.isReady);
    next += 1;
    return ready[next % ready.length];
  }

  return {
    addDaemon: (daemon) => {
      const pool = new Pool(cluster.getUrl(daemon), { connections: connectionsPerDaemon });
      entries.push({ daemon, pool, isReady: false });
    },
    removeDaemon,
    chooseDaemon,
    waitReady: async (daemon, timeoutMs) => {
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
