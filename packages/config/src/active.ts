import type { CancelTimer, Clock, Fault, Logger } from '@bergamotreach/protocol';
import { buildAcceptedConfig } from './check.ts';
import type { EffectiveConfig } from './effective.ts';
import { checkRevision, createPush } from './revision.ts';
import type { ConfigPush, ConfigRevision } from './revision.ts';

/** The active revision of this daemon. */
export interface ActiveConfig {
  revision: number;
  /** Hash of the manifest. */
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
  config: EffectiveConfig;
}

/** Source of a revision. */
export enum RevisionSource {
  Store = 'store',
  Peer = 'peer',
}

/** Holds the active revision, which never decreases. */
export interface ActiveRevision {
  /** Activates a revision if it is higher than the active one and its hashes match. */
  applyRevision(candidate: ConfigRevision, source: RevisionSource): boolean;
  /** Handles a revision pushed by a peer. Before the first activation, collects pushes for a while. */
  receivePushed(candidate: ConfigRevision): void;
  /** Records and logs that a revision cannot be used. */
  refuse(revision: number, source: RevisionSource, fault: Fault): void;
  getRevision(): number;
  getActive(): ActiveConfig | undefined;
  getPush(): ConfigPush | undefined;
  /** Returns why the last invalid revision was rejected; empty when none was. */
  getLastRefusal(): string;
  /** Stops collecting pushes; no revision is activated afterwards. */
  stop(): void;
}

/** Options of the active revision. */
export interface ActiveRevisionOptions {
  clock: Clock;
  logger: Logger;
  /** Time for which a daemon without configuration collects pushes, in milliseconds. */
  collectMs: number;
  /** Returns the highest revision known to exist, from the store or from peers. */
  getHighestKnown: () => number;
  onChange?: ((active: ActiveConfig) => void) | undefined;
}

// A peer with a higher revision may fail before it pushes that revision, so the daemon stops waiting
// for it after this many periods of `collectMs`.
const maxCollectPeriods = 10;

/** Creates the active revision, initially without a configuration. */
export function createActiveRevision(options: ActiveRevisionOptions): ActiveRevision {
  const { clock, logger, collectMs } = options;
  let active: ActiveConfig | undefined;
  let push: ConfigPush | undefined;
  let bestPushed: ConfigRevision | undefined;
  let cancelCollect: CancelTimer | undefined;
  let collectPeriods = 0;
  let lastRefusal = '';
  let isStopped = false;

  function getRevision(): number {
    return active?.revision ?? 0;
  }

  function refuse(revision: number, source: RevisionSource, fault: Fault): void {
    // The store is polled every second, so a repeated reason is logged only once.
    if (lastRefusal === fault.message) return;
    lastRefusal = fault.message;
    logger.error('config_refused', { revision, source, reason: fault.message });
  }

  function applyRevision(candidate: ConfigRevision, source: RevisionSource): boolean {
    const { revision, manifest, files } = candidate;
    if (isStopped || revision <= getRevision()) return false;
    const checked = checkRevision(candidate).andThen(() => buildAcceptedConfig(files));
    if (checked.isErr()) {
      refuse(revision, source, checked.error);
      return false;
    }
    active = { revision, manifest, files, config: checked.value };
    push = createPush(candidate);
    logger.info('config_changed', { revision, manifest, source });
    options.onChange?.(active);
    return true;
  }

  // During an outage of the store, the first push may come from a peer with an old revision. A daemon
  // without configuration therefore collects pushes for a while and activates the highest one.
  function receivePushed(candidate: ConfigRevision): void {
    if (isStopped || candidate.revision <= getRevision()) return;
    if (active !== undefined) {
      applyRevision(candidate, RevisionSource.Peer);
      return;
    }
    const checked = checkRevision(candidate);
    if (checked.isErr()) refuse(candidate.revision, RevisionSource.Peer, checked.error);
    else if (candidate.revision > (bestPushed?.revision ?? 0)) bestPushed = candidate;
    if (bestPushed !== undefined) cancelCollect ??= clock.setTimer(collectMs, applyBestPushed);
  }

  function applyBestPushed(): void {
    collectPeriods += 1;
    const isBehind = (bestPushed?.revision ?? 0) < options.getHighestKnown();
    if (active === undefined && isBehind && collectPeriods < maxCollectPeriods) {
      cancelCollect = clock.setTimer(collectMs, applyBestPushed);
      return;
    }
    if (bestPushed !== undefined) applyRevision(bestPushed, RevisionSource.Peer);
    bestPushed = undefined;
    cancelCollect = undefined;
  }

  return {
    applyRevision,
    receivePushed,
    refuse,
    getRevision,
    getActive: () => active,
    getPush: () => push,
    getLastRefusal: () => lastRefusal,
    stop: () => {
      isStopped = true;
      cancelCollect?.();
    },
  };
}
