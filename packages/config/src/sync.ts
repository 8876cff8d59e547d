import { FaultCode, runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Fault, Logger } from '@bergamotreach/protocol';
import { RevisionSource, createActiveRevision } from './active.ts';
import type { ActiveConfig } from './active.ts';
import { createStoreMonitor } from './storemonitor.ts';
import { readPush } from './revision.ts';
import type { ConfigPush } from './revision.ts';
import type { ConfigStore } from './store.ts';

/** Status of a daemon's configuration, as reported to operators. */
export interface ConfigStatus {
  /** Active revision; 0 when there is none. */
  revision: number;
  /** Hash of the manifest; empty for revision 0. */
  manifest: string;
  /** Whether the store has not responded for `cutOffMs`. */
  isCutOff: boolean;
  /** Highest revision known to exist, from the store or from peers. */
  highestKnown: number;
  /** Revision in the store at the last read. Lower than `revision` after the table was rolled back. */
  storeRevision: number;
  /** Time since the last response of the store, in milliseconds; `undefined` when there was none. */
  sinceContactMs: number | undefined;
  /** Why the last invalid revision was rejected; empty when none was. */
  lastRefusal: string;
}

/** Options of the configuration synchronisation. */
export interface ConfigSyncOptions {
  store: Pick<ConfigStore, 'loadHead' | 'loadRevision'>;
  clock: Clock;
  logger: Logger;
  /** Sends a new revision to all peers. */
  sendPush: (push: ConfigPush) => void;
  /** Registers a listener for revisions pushed by peers. */
  addPushListener: (listener: (push: ConfigPush) => void) => void;
  /** Requests revisions above the given one from all peers. */
  sendRequest?: (revision: number) => void;
  /** Called after a new revision has become active. */
  onChange?: (active: ActiveConfig) => void;
  pollMs?: number;
  /** Time without a response of the store after which the daemon reports that it is cut off. */
  cutOffMs?: number;
  /** Time for which a daemon without configuration collects pushes, to start from the highest one. */
  collectMs?: number;
}

/** Keeps a daemon's configuration up to date with the store. The active revision never decreases. */
export interface ConfigSync {
  /** Polls the store at once and then every `pollMs`. */
  start(): void;
  stop(): void;
  /** Polls the store now, for example after a change was committed through this daemon. */
  update(): Promise<void>;
  /** Returns the active configuration; `undefined` before the first one. */
  getActive(): ActiveConfig | undefined;
  getStatus(): ConfigStatus;
  /** Handles the revision in a peer's heartbeat; requests it if it is higher and the store is down. */
  handlePeerRevision(revision: number): void;
  /** Builds the response to a peer's request; `undefined` when there is no newer revision. */
  buildPush(aboveRevision: number): ConfigPush | undefined;
}

const defaultPollMs = 1000;
const defaultCutOffMs = 3000;
const defaultCollectMs = 300;

/** Creates the configuration synchronisation of a daemon. */
export function createConfigSync(options: ConfigSyncOptions): ConfigSync {
  const { store, clock, logger, onChange } = options;
  const collectMs = options.collectMs ?? defaultCollectMs;
  const pollMs = options.pollMs ?? defaultPollMs;
  const activeRevision = createActiveRevision({
    ...{ clock, logger, collectMs, onChange },
    getHighestKnown: () => highestKnown,
  });
  const storeMonitor = createStoreMonitor(clock, logger, options.cutOffMs ?? defaultCutOffMs);
  let polling: Promise<void> | undefined;
  let highestKnown = 0;
  let storeRevision = 0;
  let hasPollFailed = false;
  let outageReason = 'no response';
  let lastRequestMs = -Infinity;
  let cancelPoll: CancelTimer = () => undefined;

  async function pollStore(): Promise<void> {
    const head = await store.loadHead();
    if (head.isErr()) {
      handleStoreFault(head.error);
      return;
    }
    storeRevision = head.value.revision;
    highestKnown = Math.max(highestKnown, storeRevision);
    if (storeRevision > activeRevision.getRevision()) {
      const loaded = await store.loadRevision(head.value);
      if (loaded.isErr()) {
        handleLoadFault(loaded.error);
        return;
      }
      const push = activeRevision.applyRevision(loaded.value, RevisionSource.Store)
        ? activeRevision.getPush()
        : undefined;
      if (push !== undefined) options.sendPush(push);
    }
    hasPollFailed = false;
    outageReason = 'no response';
    storeMonitor.recordResponse(activeRevision.getRevision());
  }

  function handleStoreFault(fault: Fault): void {
    hasPollFailed = true;
    outageReason = fault.message;
    storeMonitor.reportOutage(activeRevision.getRevision(), outageReason);
    requestFromPeers();
  }

  // At most one request per poll period, since each peer responds with a complete revision.
  function requestFromPeers(): void {
    if (clock.getNowMs() - lastRequestMs < pollMs) return;
    lastRequestMs = clock.getNowMs();
    options.sendRequest?.(activeRevision.getRevision());
  }

  function handleLoadFault(fault: Fault): void {
    if (fault.code !== FaultCode.StoreUnavailable) {
      activeRevision.refuse(storeRevision, RevisionSource.Store, fault);
    }
    handleStoreFault(fault);
  }

  function runPoll(): Promise<void> {
    polling ??= pollStore().finally(() => {
      polling = undefined;
    });
    return polling;
  }

  // Polls again after a poll in flight, which may have read the store before the caller's change.
  async function update(): Promise<void> {
    await polling;
    await runPoll();
  }

  function start(): void {
    options.addPushListener((push) => {
      activeRevision.receivePushed(readPush(push));
    });
    void runPoll();
    cancelPoll = runEvery(clock, pollMs, () => {
      // Checked outside the poll, so that a read that never returns is reported too.
      storeMonitor.reportOutage(activeRevision.getRevision(), outageReason);
      void runPoll();
    });
  }

  function handlePeerRevision(revision: number): void {
    highestKnown = Math.max(highestKnown, revision);
    // While the store is reachable, the next poll reads the revision.
    if (hasPollFailed && revision > activeRevision.getRevision()) requestFromPeers();
  }

  return {
    start,
    stop: () => {
      cancelPoll();
      activeRevision.stop();
    },
    update,
    getActive: () => activeRevision.getActive(),
    getStatus: () => ({
      revision: activeRevision.getRevision(),
      manifest: activeRevision.getActive()?.manifest ?? '',
      isCutOff: storeMonitor.isCutOff(),
      highestKnown: Math.max(highestKnown, activeRevision.getRevision()),
      storeRevision,
      sinceContactMs: storeMonitor.getSinceResponseMs(),
      lastRefusal: activeRevision.getLastRefusal(),
    }),
    handlePeerRevision,
    buildPush: (aboveRevision) =>
      activeRevision.getRevision() > aboveRevision ? activeRevision.getPush() : undefined,
  };
}
