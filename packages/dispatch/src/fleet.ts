import type { Feed } from '@bergamotreach/hosting';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { computeFencingToken } from './fencingtoken.ts';
import { createTableReplica } from './tablereplica.ts';
import type { TaskRunner, WorkerReport } from './taskrunner.ts';
import type { WorkerEntry } from './workerentry.ts';
import { LapseCause, LinkState, createWorkerLink } from './workerlink.ts';
import type { WorkerLink } from './workerlink.ts';

/** Options of a fleet. Durations are in milliseconds. */
export interface FleetOptions {
  feed: Feed<WorkerEntry>;
  runner: TaskRunner;
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  maxLeaseMs: number;
  heartbeatMs: number;
  isHolding: () => boolean;
  onReport: (link: WorkerLink, report: WorkerReport) => Promise<number>;
  onLapse: (link: WorkerLink, cause: LapseCause) => void;
  onFenced: () => void;
  /** Called when a worker becomes usable or its entry changes. */
  onChange: (link: WorkerLink) => void;
}

/** The workers that an owner sends orders to. */
export interface Fleet {
  start(): void;
  stop(): void;
  find(workerId: string): WorkerLink | undefined;
  list(): WorkerLink[];
  isLoaded(): boolean;
}

// Batches changes of the worker list, since every heartbeat changes an entry.
const listPauseMs = 150;
/**
 * A draining worker whose entry disappears within this many heartbeats of its last update has
 * removed the entry itself, so it has left. Otherwise the entry has expired.
 */
const maxWithdrawalHeartbeats = 2.5;

/** Creates the fleet of an owner; `start` begins to read the worker list. */
export function createFleet(options: FleetOptions): Fleet {
  const { clock, logger, runner } = options;
  const links = new Map<string, WorkerLink>();
  /**
   * When the last change of each entry was seen. The first read of the list does not count, since
   * it does not tell the age of an entry.
   */
  const lastUpdateMs = new Map<string, number>();
  /** Number of incarnations of each worker that this owner has seen. */
  const incarnations = new Map<string, number>();
  let isRunning = false;

  function openLink(entry: WorkerEntry): WorkerLink {
    const incarnation = incarnations.get(entry.id) ?? 0;
    incarnations.set(entry.id, incarnation + 1);
    const link: WorkerLink = createWorkerLink({
      ...options,
      fencingToken: computeFencingToken(options.epoch, incarnation),
      entry,
      onReport: (report) => options.onReport(link, report),
      onLapse: (cause) => {
        handleLapse(link, cause);
      },
      onRestart: (bornAtMs) => {
        // Nothing is placed there until the list shows the entry of the new incarnation.
        if (links.get(link.id) === link) {
          replaceLink(link, { ...link.getEntry(), bornAtMs }).setListed(false);
        }
      },
    });
    links.set(entry.id, link);
    logger.info('worker_added', {
      worker: entry.id,
      life: entry.bornAtMs,
      rack: entry.rack,
      pool: entry.pool,
      isDraining: entry.isDraining,
    });
    if (isRunning) link.start();
    return link;
  }

  function handleLapse(link: WorkerLink, cause: LapseCause): void {
    options.onLapse(link, cause);
    // A restarted worker gets a new link even if it is not listed, since it may have accepted a
    // start.
    if (!link.isListed() && cause !== LapseCause.Restarted) closeLink(link);
  }

  function closeLink(link: WorkerLink): void {
    link.stop();
    if (links.get(link.id) === link) links.delete(link.id);
    runner.closeConnections(link.getEntry());
  }

  /** Replaces the link of a restarted worker by one with a new fencing token. */
  function replaceLink(link: WorkerLink, entry: WorkerEntry): WorkerLink {
    logger.info('worker_restarted', { worker: entry.id, life: entry.bornAtMs });
    link.markLapsed(LapseCause.Restarted);
    closeLink(link);
    return openLink(entry);
  }

  function updateLink(link: WorkerLink, entry: WorkerEntry): void {
    const known = link.getEntry();
    // Ignores a late entry of an earlier incarnation.
    if (entry.bornAtMs < known.bornAtMs) return;
    link.setListed(true);
    if (known.bornAtMs !== entry.bornAtMs) {
      replaceLink(link, entry);
      return;
    }
    if (known.isDraining !== entry.isDraining) {
      logger.info('worker_draining', { worker: entry.id, remainingMs: entry.drainRemainingMs });
    }
    link.updateEntry(entry);
    options.onChange(link);
  }

  function handleUnlisted(link: WorkerLink): void {
    const sinceMs = clock.getNowMs() - (lastUpdateMs.get(link.id) ?? -Infinity);
    const hasLeft =
      link.getEntry().isDraining && sinceMs < maxWithdrawalHeartbeats * options.heartbeatMs;
    logger.info('worker_unlisted', { worker: link.id, hasLeft, sinceMs: Math.round(sinceMs) });
    link.setListed(false);
    if (hasLeft) link.markLeft();
    else if (link.getState() === LinkState.Lapsed) closeLink(link);
  }

  const replica = createTableReplica<WorkerEntry>({
    feed: options.feed,
    name: 'workers',
    clock,
    logger,
    metrics: options.metrics,
    getPauseMs: () => listPauseMs,
    onChange(id, entry) {
      const link = links.get(id);
      if (entry === undefined) {
        if (link !== undefined) handleUnlisted(link);
        return;
      }
      if (link === undefined) {
        openLink(entry);
        return;
      }
      lastUpdateMs.set(id, clock.getNowMs());
      updateLink(link, entry);
    },
  });

  return {
    start() {
      isRunning = true;
      replica.start();
    },
    stop() {
      isRunning = false;
      replica.stop();
      for (const link of links.values()) link.stop();
    },
    find: (workerId) => links.get(workerId),
    list: () => [...links.values()],
    isLoaded: () => replica.isLoaded(),
  };
}
