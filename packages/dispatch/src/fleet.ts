import type { Feed } from '@bergamotreach/hosting';
import { createSuspendAwareClock } from '@bergamotreach/protocol';
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
  /** Unix time in milliseconds. */
  getWallMs: () => number;
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
 * An entry that disappears within this many heartbeats of its last update was removed by its worker,
 * since it expires only after three.
 */
const maxWithdrawalHeartbeats = 2.5;

/** Creates the fleet of an owner; `start` begins to read the worker list. */
export function createFleet(options: FleetOptions): Fleet {
  const { clock, logger, runner } = options;
  const links = new Map<string, WorkerLink>();
  /** An entry must not look younger because this process was suspended. */
  const ageClock = createSuspendAwareClock(clock, options.getWallMs);
  /**
   * Time before which the latest entry of each worker was not stored. The time at which it was read
   * does not tell its age, since the feed may be late.
   */
  const entryNotBeforeMs = new Map<string, number>();
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
    const maxAgeMs = ageClock.getNowMs() - (entryNotBeforeMs.get(link.id) ?? -Infinity);
    const isWithdrawn =
      link.getEntry().isDraining && maxAgeMs < maxWithdrawalHeartbeats * options.heartbeatMs;
    logger.info('worker_unlisted', {
      worker: link.id,
      isWithdrawn,
      maxAgeMs: Math.round(maxAgeMs),
      silentMs: Math.round(link.getSilenceMs()),
    });
    entryNotBeforeMs.delete(link.id);
    link.setListed(false);
    if (link.getState() === LinkState.Lapsed) closeLink(link);
    else if (isWithdrawn) link.markWithdrawn();
  }

  const replica = createTableReplica<WorkerEntry>({
    feed: options.feed,
    name: 'workers',
    clock: ageClock,
    logger,
    metrics: options.metrics,
    getPauseMs: () => listPauseMs,
    onChange(id, entry, _version, notBeforeMs) {
      const link = links.get(id);
      if (entry === undefined) {
        if (link !== undefined) handleUnlisted(link);
        return;
      }
      entryNotBeforeMs.set(id, notBeforeMs);
      if (link === undefined) openLink(entry);
      else updateLink(link, entry);
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
