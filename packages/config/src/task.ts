import { FaultCode, runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Fault, Logger } from '@bergamotreach/protocol';
import { RevisionSource, createActiveRevision } from './active.ts';
import type { ActiveConfig } from './active.ts';
import { createStoreContact } from './contact.ts';
import { readPush } from './revision.ts';
import type { ConfigPush } from './revision.ts';
import type { ConfigStore } from './store.ts';

/** What a daemon reports about its configuration. */
export interface ConfigStatus {
  /** Revision served; 0 when there is none. */
  revision: number;
  manifest: string;
  /** Whether the store has not answered for `cutOffMs`. */
  isCutOff: boolean;
  /** Highest revision known to exist, from the store or from peers. */
  highestKnown: number;
  /** Revision in the store when it was last read. Below `revision` after the table was set back. */
  storeRevision: number;
  /** Time since the store last answered, in milliseconds; `undefined` when it never did. */
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
  /** Takes a peer's revision from its heartbeat; without the store, asks for it when higher. */
  handlePeerRevision(revision: number): void;
  /** Builds the answer to a peer's request; `undefined` when there is nothing newer. */
  buildPush(aboveRevision: number): ConfigPush | undefined;
}

const defaultPollMs = 1000;
const defaultCutOffMs = 3000;
const defaultCollectMs = 300;

/** Creates the configuration task of a daemon. */
export function createConfigTask(options: ConfigTaskOptions): ConfigTask {
  const { store, clock, logger, onChange } = options;
  const collectMs = options.collectMs ?? defaultCollectMs;
  const pollMs = options.pollMs ?? defaultPollMs;
  const revisions = createActiveRevision({
    ...{ clock, logger, collectMs, onChange },
    getHighestKnown: () => highestKnown,
  });
  const contact = createStoreContact(clock, logger, options.cutOffMs ?? defaultCutOffMs);
  let polling: Promise<void> | undefined;
  let highestKnown = 0;
  let storeRevision = 0;
  let hasPollFailed = false;
  let silenceReason = 'no answer';
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
    if (storeRevision > revisions.getRevision()) {
      const loaded = await store.loadRevision(head.value);
      if (loaded.isErr()) {
        handleLoadFault(loaded.error);
        return;
      }
      const push = revisions.applyRevision(loaded.value, RevisionSource.Store)
        ? revisions.getPush()
        : undefined;
      if (push !== undefined) options.sendPush(push);
    }
    hasPollFailed = false;
    silenceReason = 'no answer';
    contact.addSuccess(revisions.getRevision());
  }

  function handleStoreFault(fault: Fault): void {
    hasPollFailed = true;
    silenceReason = fault.message;
    contact.checkSilence(revisions.getRevision(), silenceReason);
    requestFromPeers();
  }

  // Each peer answers with a whole revision, so one request a period is enough.
  function requestFromPeers(): void {
    if (clock.getNowMs() - lastRequestMs < pollMs) return;
    lastRequestMs = clock.getNowMs();
    options.sendRequest?.(revisions.getRevision());
  }

  function handleLoadFault(fault: Fault): void {
    if (fault.code !== FaultCode.StoreUnavailable) {
      revisions.refuse(storeRevision, RevisionSource.Store, fault);
    }
    handleStoreFault(fault);
  }

  function runPoll(): Promise<void> {
    polling ??= pollStore().finally(() => {
      polling = undefined;
    });
    return polling;
  }

  // A read in progress may have begun before the change that the caller wants to see.
  async function update(): Promise<void> {
    await polling;
    await runPoll();
  }

  function start(): void {
    options.addPushListener((push) => {
      revisions.takePushed(readPush(push));
    });
    void runPoll();
    cancelPoll = runEvery(clock, pollMs, () => {
      // A read that never returns must not keep the report from being made.
      contact.checkSilence(revisions.getRevision(), silenceReason);
      void runPoll();
    });
  }

  function handlePeerRevision(revision: number): void {
    highestKnown = Math.max(highestKnown, revision);
    // While the store answers, the next poll brings the revision.
    if (hasPollFailed && revision > revisions.getRevision()) requestFromPeers();
  }

  return {
    start,
    stop: () => {
      cancelPoll();
      revisions.stop();
    },
    update,
    getActive: () => revisions.getActive(),
    getStatus: () => ({
      revision: revisions.getRevision(),
      manifest: revisions.getActive()?.manifest ?? '',
      isCutOff: contact.isCutOff(),
      highestKnown: Math.max(highestKnown, revisions.getRevision()),
      storeRevision,
      sinceContactMs: contact.getSilenceMs(),
      lastRefusal: revisions.getLastRefusal(),
    }),
    handlePeerRevision,
    buildPush: (aboveRevision) =>
      revisions.getRevision() > aboveRevision ? revisions.getPush() : undefined,
  };
}
