import type { Feed } from '@bergamotreach/hosting';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { computeFence } from './fence.ts';
import { createMirror } from './mirror.ts';
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

/** The workers that an owner gives orders to. */
export interface Fleet {
  start(): void;
  stop(): void;
  find(workerId: string): WorkerLink | undefined;
  list(): WorkerLink[];
  isLoaded(): boolean;
}

// Changes of the worker list are merged for this long; heartbeats change each entry all the time.
const listPauseMs = 150;
/** An entry that goes sooner than after this many heartbeats was taken back by its worker. */
const leftWithinHeartbeats = 2.5;

/** Creates the fleet of one ownership. */
export function createFleet(options: FleetOptions): Fleet {
  const { clock, logger, runner } = options;
  const links = new Map<string, WorkerLink>();
  /** Times of changes that were seen to happen; the first look tells nothing of an entry's age. */
  const updatedMs = new Map<string, number>();
  /** Lives of each worker that this owner has seen. */
  const lives = new Map<string, number>();
  let isRunning = false;

  function openLink(entry: WorkerEntry): WorkerLink {
    const life = lives.get(entry.id) ?? 0;
    lives.set(entry.id, life + 1);
    const link: WorkerLink = createWorkerLink({
      ...options,
      fence: computeFence(options.epoch, life),
      entry,
      onReport: (report) => options.onReport(link, report),
      onLapse: (cause) => {
        handleLapse(link, cause);
      },
      onRestart: (bornAtMs) => {
        // Nothing is placed there until its entry tells what the new life offers.
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
    // A new life gets a link even when its entry is missing: it may have taken a start.
    if (!link.isListed() && cause !== LapseCause.Restarted) closeLink(link);
  }

  function closeLink(link: WorkerLink): void {
    link.stop();
    if (links.get(link.id) === link) links.delete(link.id);
    runner.drop(link.getEntry());
  }

  /** The next life gets a link and a fencing token of its own at once. */
  function replaceLink(link: WorkerLink, entry: WorkerEntry): WorkerLink {
    logger.info('worker_restarted', { worker: entry.id, life: entry.bornAtMs });
    link.endLife(LapseCause.Restarted);
    closeLink(link);
    return openLink(entry);
  }

  function updateLink(link: WorkerLink, entry: WorkerEntry): void {
    const known = link.getEntry();
    // An entry that was written by a life before this one says nothing of it.
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

  function handleGone(link: WorkerLink): void {
    const sinceMs = clock.getNowMs() - (updatedMs.get(link.id) ?? -Infinity);
    const hasLeft =
      link.getEntry().isDraining && sinceMs < leftWithinHeartbeats * options.heartbeatMs;
    logger.info('worker_unlisted', { worker: link.id, hasLeft, sinceMs: Math.round(sinceMs) });
    link.setListed(false);
    if (hasLeft) link.endLife(LapseCause.Left);
    else if (link.getState() === LinkState.Lapsed) closeLink(link);
  }

  const mirror = createMirror<WorkerEntry>({
    feed: options.feed,
    name: 'workers',
    clock,
    logger,
    metrics: options.metrics,
    getPauseMs: () => listPauseMs,
    onChange(id, entry) {
      const link = links.get(id);
      if (entry === undefined) {
        if (link !== undefined) handleGone(link);
        return;
      }
      if (link === undefined) {
        openLink(entry);
        return;
      }
      updatedMs.set(id, clock.getNowMs());
      updateLink(link, entry);
    },
  });

  return {
    start() {
      isRunning = true;
      mirror.start();
    },
    stop() {
      isRunning = false;
      mirror.stop();
      for (const link of links.values()) link.stop();
    },
    find: (workerId) => links.get(workerId),
    list: () => [...links.values()],
    isLoaded: () => mirror.isLoaded(),
  };
}
