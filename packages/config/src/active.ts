import type { CancelTimer, Clock, Fault, Logger } from '@bergamotreach/protocol';
import { buildAccepted } from './check.ts';
import type { EffectiveConfig } from './effective.ts';
import { checkRevision, createPush } from './revision.ts';
import type { ConfigPush, ConfigRevision } from './revision.ts';

/** A revision in force on this daemon. */
export interface ActiveConfig {
  revision: number;
  /** Hash of the manifest. */
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
  config: EffectiveConfig;
}

/** Where a revision came from. */
export enum RevisionSource {
  Store = 'store',
  Peer = 'peer',
}

/** The revision in force, which only ever rises. */
export interface ActiveRevision {
  /** Puts a revision in force when it is higher than the present one and passes its hashes. */
  applyRevision(candidate: ConfigRevision, source: RevisionSource): boolean;
  /** Takes a revision from a peer; before the first one is in force, collects for a while. */
  takePushed(candidate: ConfigRevision): void;
  /** Records that a revision cannot be used. */
  refuse(revision: number, source: RevisionSource, fault: Fault): void;
  getRevision(): number;
  getActive(): ActiveConfig | undefined;
  getPush(): ConfigPush | undefined;
  /** Why the last refused revision was refused; empty when none was. */
  getLastRefusal(): string;
  /** Ends the collection; nothing comes in force afterwards. */
  stop(): void;
}

/** Options of the revision in force. */
export interface ActiveRevisionOptions {
  clock: Clock;
  logger: Logger;
  /** Time that a daemon without configuration collects pushes, in milliseconds. */
  collectMs: number;
  /** Highest revision that peers are known to serve. */
  getHighestKnown: () => number;
  onChange?: ((active: ActiveConfig) => void) | undefined;
}

// A peer that is known to serve a higher revision may be gone before it sends it, so the wait for it
// ends after this many periods of collection.
const maxCollectPeriods = 10;

/** Creates the holder of the revision in force; nothing is in force at first. */
export function createActiveRevision(options: ActiveRevisionOptions): ActiveRevision {
  const { clock, logger, collectMs } = options;
  let active: ActiveConfig | undefined;
  let push: ConfigPush | undefined;
  let best: ConfigRevision | undefined;
  let cancelCollect: CancelTimer | undefined;
  let periods = 0;
  let lastRefusal = '';
  let isStopped = false;

  function getRevision(): number {
    return active?.revision ?? 0;
  }

  function refuse(revision: number, source: RevisionSource, fault: Fault): void {
    // The store is read each second; one line per distinct reason is enough.
    if (lastRefusal === fault.message) return;
    lastRefusal = fault.message;
    logger.error('config_refused', { revision, source, reason: fault.message });
  }

  function applyRevision(candidate: ConfigRevision, source: RevisionSource): boolean {
    const { revision, manifest, files } = candidate;
    if (isStopped || revision <= getRevision()) return false;
    const checked = checkRevision(candidate).andThen(() => buildAccepted(files));
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

  // A daemon that starts during an outage must not start from a peer that lags behind the others,
  // so it collects pushes for a while and starts from the highest one.
  function takePushed(candidate: ConfigRevision): void {
    if (isStopped || candidate.revision <= getRevision()) return;
    if (active !== undefined) {
      applyRevision(candidate, RevisionSource.Peer);
      return;
    }
    const checked = checkRevision(candidate);
    if (checked.isErr()) refuse(candidate.revision, RevisionSource.Peer, checked.error);
    else if (candidate.revision > (best?.revision ?? 0)) best = candidate;
    if (best !== undefined) cancelCollect ??= clock.setTimer(collectMs, applyBest);
  }

  function applyBest(): void {
    periods += 1;
    const isLower = (best?.revision ?? 0) < options.getHighestKnown();
    if (active === undefined && isLower && periods < maxCollectPeriods) {
      cancelCollect = clock.setTimer(collectMs, applyBest);
      return;
    }
    if (best !== undefined) applyRevision(best, RevisionSource.Peer);
    best = undefined;
    cancelCollect = undefined;
  }

  return {
    applyRevision,
    takePushed,
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
