import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Fault, Logger } from '@bergamotreach/protocol';
import { buildAccepted } from './check.ts';
import type { EffectiveConfig } from './effective.ts';
import { checkRevision, createPush, readPush } from './revision.ts';
import type { ConfigPush, ConfigRevision } from './revision.ts';
import type { ConfigStore } from './store.ts';

/** A revision in force on this daemon. */
export interface ActiveConfig {
  revision: number;
  /** Hash of the manifest. */
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
  config: EffectiveConfig;
}

/** What a daemon reports about its configuration. */
export interface ConfigStatus {
  /** Revision served; 0 when there is none. */
  revision: number;
  manifest: string;
  /** Whether the store could not be read for `cutOffMs`. */
  isCutOff: boolean;
  /** Highest revision known to exist, from the store or from peers. */
  highestKnown: number;
  /** Time since the head was last read, in milliseconds; `undefined` when never. */
  sinceContactMs: number | undefined;
  /** Why the last refused revision was refused; empty when none was. */
  lastRefusal: string;
}

/** Options of a configuration task. */
export interface ConfigTaskOptions {
  store: Pick<ConfigStore, 'loadHead' | 'loadRevision'>;
  clock: Clock;
  logger: Logger;
  /** Sends a new revision to all peers. */
  sendPush: (push: ConfigPush) => void;
  /** Registers the receiver of pushes from peers. */
  addPushListener: (listener: (push: ConfigPush) => void) => void;
  /** Asks peers for revisions above the given one. */
  sendRequest?: (revision: number) => void;
  /** Runs after each new revision is in force. */
  onChange?: (active: ActiveConfig) => void;
  pollMs?: number;
  /** Time without an answer of the store after which the task reports that it is cut off. */
  cutOffMs?: number;
  /** Time that a daemon without configuration collects pushes to start from the highest one. */
  collectMs?: number;
}

/** Keeps the configuration of a daemon up to date. The revision served never goes down. */
export interface ConfigTask {
  /** Reads the head at once and then in each period. */
  start(): void;
  stop(): void;
  /** Reads the head now, for example after a change was committed through this daemon. */
  update(): Promise<void>;
  /** Configuration in force; `undefined` until the first one is. */
  getActive(): ActiveConfig | undefined;
  getStatus(): ConfigStatus;
  /** Takes a peer's revision from its heartbeat and asks for it when it is higher. */
  handlePeerRevision(revision: number): void;
  /** Builds the answer to a peer's request; `undefined` when there is nothing newer. */
  buildPush(aboveRevision: number): ConfigPush | undefined;
}

const defaultPollMs = 1000;
const defaultCutOffMs = 3000;
const defaultCollectMs = 300;

/** Creates the configuration task of a daemon. */
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
  const { store, clock, logger } = options;
  const pollMs = options.pollMs ?? defaultPollMs;
  const cutOffMs = options.cutOffMs ?? defaultCutOffMs;
  let active: ActiveConfig | undefined;
  let activePush: ConfigPush | undefined;
  let candidate: ConfigRevision | undefined;
  let polling: Promise<void> | undefined;
  let lastContactMs: number | undefined;
  let startedMs = clock.getNowMs();
  let isCutOff = false;
  let highestKnown = 0;
  let lastRefusal = '';
  let cancelPoll: CancelTimer = () => undefined;
  let cancelCollect: CancelTimer | undefined;
  let isStopped = false;

  function getRevision(): number {
    return active?.revision ?? 0;
  }

  function refuse(revision: number, source: string, fault: Fault): void {
    lastRefusal = fault.message;
    logger.error('config_refused', { revision, source, reason: fault.message });
  }

  /** Puts a revision in force when it is higher than the one in force and passes its hashes. */
  function applyRevision(candidateRevision: ConfigRevision, source: string): boolean {
    if (isStopped || candidateRevision.revision <= getRevision()) return false;
    const checked = checkRevision(candidateRevision).andThen(() =>
      buildAccepted(candidateRevision.files),
    );
    if (checked.isErr()) {
      refuse(candidateRevision.revision, source, checked.error);
      return false;
    }
    const { revision, manifest, files } = candidateRevision;
    active = { revision, manifest, files, config: checked.value };
    activePush = createPush(candidateRevision);
    highestKnown = Math.max(highestKnown, revision);
    logger.info('config_changed', { revision, manifest, source });
    options.onChange?.(active);
    return true;
  }

  function handlePush(push: ConfigPush): void {
    const revision = readPush(push);
    if (isStopped || revision.revision <= getRevision()) return;
    if (active !== undefined) {
      applyRevision(revision, 'peer');
      return;
    }
    const checked = checkRevision(revision);
    if (checked.isErr()) refuse(revision.revision, 'peer', checked.error);
    else collectCandidate(revision);
  }

  // A daemon that starts during an outage must not start from a peer that lags behind the others.
  function collectCandidate(revision: ConfigRevision): void {
    if (candidate === undefined || revision.revision > candidate.revision) candidate = revision;
    cancelCollect ??= clock.setTimer(options.collectMs ?? defaultCollectMs, () => {
      if (candidate !== undefined) applyRevision(candidate, 'peer');
      candidate = undefined;
      cancelCollect = undefined;
    });
  }

  async function pollStore(): Promise<void> {
    const head = await store.loadHead();
    if (head.isErr()) {
      handleStoreFault(head.error);
      return;
    }
    highestKnown = Math.max(highestKnown, head.value.revision);
    if (head.value.revision > getRevision()) {
      const loaded = await store.loadRevision(head.value);
      if (loaded.isErr()) {
        refuse(head.value.revision, 'store', loaded.error);
        handleStoreFault(loaded.error);
        return;
      }
      if (applyRevision(loaded.value, 'store') && activePush !== undefined) {
        options.sendPush(activePush);
      }
    }
    handleContact();
  }

  function handleContact(): void {
    lastContactMs = clock.getNowMs();
    if (!isCutOff) return;
    isCutOff = false;
    logger.info('config_store_reached', { revision: getRevision() });
  }

  function handleStoreFault(fault: Fault): void {
    options.sendRequest?.(getRevision());
    const silentMs = clock.getNowMs() - (lastContactMs ?? startedMs);
    if (isCutOff || silentMs < cutOffMs) return;
    isCutOff = true;
    logger.warn('config_cut_off', { revision: getRevision(), silentMs, reason: fault.message });
  }

  function update(): Promise<void> {
    polling ??= pollStore().finally(() => {
      polling = undefined;
    });
    return polling;
  }

  function start(): void {
    startedMs = clock.getNowMs();
    options.addPushListener(handlePush);
    void update();
    cancelPoll = runEvery(clock, pollMs, () => void update());
  }

  function stop(): void {
    isStopped = true;
    cancelPoll();
    cancelCollect?.();
  }

  function getStatus(): ConfigStatus {
    return {
      revision: getRevision(),
      manifest: active?.manifest ?? '',
      isCutOff,
      highestKnown,
      sinceContactMs: lastContactMs === undefined ? undefined : clock.getNowMs() - lastContactMs,
      lastRefusal,
    };
  }

  function handlePeerRevision(revision: number): void {
    if (revision <= highestKnown && revision <= getRevision()) return;
    highestKnown = Math.max(highestKnown, revision);
    if (revision > getRevision()) options.sendRequest?.(getRevision());
  }

  function buildPush(aboveRevision: number): ConfigPush | undefined {
    return getRevision() > aboveRevision ? activePush : undefined;
  }

  return {
    start,
    stop,
    update,
    getActive: () => active,
    getStatus,
    handlePeerRevision,
    buildPush,
  };
}
