import type { Feed, MemoryBudget, ServiceContact, Table } from '@bergamotreach/hosting';
import {
  LeaseState,
  WritePriority,
  createGroupCommitter,
  createRegionLease,
} from '@bergamotreach/ownership';
import { createPlanPolicy } from '@bergamotreach/scheduling';
import type { PlanPolicy } from '@bergamotreach/scheduling';
import { rankMembers, runContained, runEvery, waitFor } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import type { Advisor } from './advisor.ts';
import type { ServiceConfig } from './configuration.ts';
import { createConfigWatch } from './configwatch.ts';
import { rowVersion } from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import { createJobService } from './jobservice.ts';
import type { JobService } from './jobservice.ts';
import { createOperatorRows } from './operatorrows.ts';
import type { ConfigReplica, OperatorRow } from './operatorrows.ts';
import { createTableReplica } from './tablereplica.ts';
import { createOwner } from './owner.ts';
import type { Owner, OwnerDump } from './owner.ts';
import { createRelay, startRelayListener } from './relay.ts';
import type { InstanceRow } from './relaycheck.ts';
import { answerRelayedCall, createRelayedJobs } from './relayedjobs.ts';
import type { TaskRunner } from './taskrunner.ts';
import type { WorkerEntry } from './workerentry.ts';

/** Limits of the platform that an instance depends on. Durations are in milliseconds. */
export interface InstanceLimits {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Time within which a job covered by a guarantee must start. */
  reclaimMs: number;
  /** Longest time that a worker takes to stop a run. */
  stopMs: number;
  /** Interval at which workers renew their entries. */
  heartbeatMs: number;
  /** Time within which a configuration must be in force after the store has acknowledged it. */
  configApplyMs: number;
  /** Commits per second of this process; all instances share the store's rate limit. */
  commitsPerSecond: number;
  /** Memory that accepted jobs may make an owner hold, in bytes. */
  maxHeldBytes: number;
  /** Submissions that one instance may have queued for the store, in bytes of its commits. */
  maxQueuedBytes: number;
}

/** Options of an instance. */
export interface InstanceOptions {
  /** Unique id of this process; begins with `relayAddress` and a slash. */
  processId: string;
  /** Address published in the lease row. */
  address: string;
  table: Table;
  /** Time within which the store is expected to answer a call now, in milliseconds. */
  getExpectedStoreMs: () => number;
  /** Whether the store answers, by all calls of this process. */
  storeContact: ServiceContact;
  /** Name of this instance, kept across restarts. */
  name: string;
  dataCentre: string;
  /** Processing power: processor cores times their speed relative to a standard core. */
  power: number;
  /** `ip:port` at which other instances reach this one. */
  relayAddress: string;
  instanceFeed: Feed<InstanceRow>;
  jobFeed: Feed<JobRow>;
  stateFeed: Feed<StateRow>;
  workerFeed: Feed<WorkerEntry>;
  operatorFeed: Feed<OperatorRow>;
  runner: TaskRunner;
  advisor: Advisor;
  clock: Clock;
  /** Clock that also advances while the process is suspended. */
  deadlineClock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
  limits: InstanceLimits;
  /** Memory that clients of all listeners may make the process hold. */
  budget: MemoryBudget;
  /** Planning policy set by the operators; the default policy if absent. */
  policy?: PlanPolicy;
}

/** State of an instance for the dump. */
export interface InstanceDump {
  lease: LeaseState;
  epoch: number;
  configVersion: number | undefined;
  configAgeMs: number;
  stateAgeMs: number;
  knownJobs: number;
  /** Evacuated data centres as this instance knows them. */
  evacuated: string[];
  isDraining: boolean;
  owner: OwnerDump | undefined;
}

/**
 * A scheduler process: answers calls about jobs and, while it holds the lease, runs the owner that
 * schedules them.
 */
export interface Instance {
  jobs: JobService;
  configs: ConfigReplica;
  /** Whether callers should be sent here. */
  isReady(): boolean;
  start(): Promise<void>;
  /** Hands over the ownership at once; calls are served until `stop`. */
  startDraining(): Promise<void>;
  stop(): void;
  getDump(): InstanceDump;
}

// A single owner schedules all jobs. The lease is kept per region, so this is its region name.
const leaseRegion = 'main';
const instanceTable = 'instance';
const announceCheckMs = 300;
const loadCheckMs = 20;
const loopCheckMs = 500;
/** Another instance takes over at the latest this long, plus the margin, after the last renewal. */
const leaseMs = 2000;
const leaseMarginMs = 300;
/**
 * Lease duration while renewals are quick: survives one lost renewal, and allows a takeover 0.9 s
 * sooner.
 */
const shortestLeaseMs = 1100;
/**
 * Lease duration while renewals are slow: a store that is 90 times slower takes up to 0.9 s for a renewal.
 */
const longestLeaseMs = 4000;
const renewMs = 450;
/** An instance with this many times the power of another is preferred as owner. */
const largerPowerFactor = 1.5;
/**
 * Delays smaller instances, so that larger ones, which check the lease every 450 ms, take it first.
 */
const takeoverDelayMs = 700;
/**
 * Instances that check the lease at the short interval; this many may be down or cut off from the
 * store at once.
 */
const candidateCount = 8;
/**
 * Interval at which the other instances check a lease that is being renewed. It is longer than
 * `renewMs`, so that the reads grow less with the number of instances.
 */
const standbyPollMs = 1800;
/**
 * Long-poll timeout of the instance list. It changes rarely, and a stale entry costs a relayed call
 * only one more peer.
 */
const instanceWaitMs = 10_000;
/** Writes and conditions that the store accepts in one transaction. */
const maxCommitEntries = 100;
/**
 * Pause between two reads of the job states by the owner, which learns of cancellations from them.
 */
const ownerPauseMs = 60;
/**
 * Pause between two reads of the job states by other instances. They use the states only to count
 * pending jobs, where an age of 2 s is allowed, and to answer for jobs that have ended; everything
 * else is read by key. So the number of reads does not grow with the changes.
 */
const followerPauseMs = 1000;

/** Creates an instance; `start` begins its work. */
export function createInstance(options: InstanceOptions): Instance {
  const { table, clock, logger, metrics, limits } = options;
  const policy = options.policy ?? createPlanPolicy();
  let owner: Owner | undefined;
  let isDraining = false;
  let cancelLoopCheck: CancelTimer = () => undefined;
  let nextOperation = 0;

  const committer = createGroupCommitter({
    table,
    clock,
    logger,
    metrics,
    createOperationId: () => `${options.processId}/${String((nextOperation += 1))}`,
    commitsPerSecond: limits.commitsPerSecond,
    maxEntries: maxCommitEntries,
    maxNewWorkBytes: limits.maxQueuedBytes,
    getReplyTimeoutMs: options.getExpectedStoreMs,
  });
  const states = createTableReplica<StateRow>({
    feed: options.stateFeed,
    name: 'states',
    clock,
    logger,
    metrics,
    getPauseMs: () => (owner === undefined ? followerPauseMs : ownerPauseMs),
    onChange: (jobId, row, version) => owner?.handleState(jobId, row, version),
  });
  const operatorRows = createOperatorRows({
    feed: options.operatorFeed,
    // The age of the configuration includes time during which the process was suspended.
    clock: options.deadlineClock,
    logger,
    metrics,
    onEvacuations: () => owner?.handleEvacuations(),
  });
  const lease = createRegionLease({
    table,
    committer,
    clock,
    deadlineClock: options.deadlineClock,
    logger,
    metrics,
    region: leaseRegion,
    rowVersion,
    holder: options.processId,
    // The address belongs to one machine, which runs one process at a time.
    isPreviousProcess: (holder) =>
      holder !== options.processId && holder.startsWith(`${options.relayAddress}/`),
    address: options.address,
    getTakeoverDelayMs: () => (hasLargerPeer() ? takeoverDelayMs : 0),
    getPollMs: () => (isCandidate() ? renewMs : standbyPollMs),
    leaseMs,
    marginMs: leaseMarginMs,
    renewMs,
    shortestLeaseMs,
    longestLeaseMs,
    onChange: handleLease,
  });
  const instances = createTableReplica<InstanceRow>({
    feed: options.instanceFeed,
    name: 'instances',
    clock,
    logger,
    metrics,
    waitMs: instanceWaitMs,
  });
  const configWatch = createConfigWatch({
    configs: operatorRows,
    storeContact: options.storeContact,
    maxAgeMs: limits.configApplyMs,
    logger,
    metrics,
  });
  const localJobs = createJobService({
    ...options,
    ...{ committer, states, configs: operatorRows },
    maxHeldBytes: limits.maxHeldBytes,
    configApplyMs: limits.configApplyMs,
  });
  const relay = createRelay({
    clock,
    logger,
    metrics,
    dataCentre: options.dataCentre,
    listPeers: () =>
      instances
        .list()
        .filter(([name]) => name !== options.name)
        .map(([name, row]) => ({ name, ...row })),
  });
  const jobs = createRelayedJobs({ ...options, jobs: localJobs, relay });

  /** Whether a much larger instance exists: a small owner would fall behind with a large fleet. */
  function hasLargerPeer(): boolean {
    return instances.list().some(([, { power = 0 }]) => power >= options.power * largerPowerFactor);
  }

  /** Whether this instance is among the first to take over the lease. */
  function isCandidate(): boolean {
    if (hasLargerPeer()) return false;
    const competitors = instances
      .list()
      .filter(([, { power = 0 }]) => power * largerPowerFactor > options.power)
      .map(([name]) => name);
    return rankMembers(leaseRegion, competitors).slice(0, candidateCount).includes(options.name);
  }

  function getConfig(): ServiceConfig | undefined {
    return operatorRows.find();
  }

  function handleLease(state: LeaseState, epoch: number): void {
    if (state === LeaseState.Waiting) stopOwner();
    if (state !== LeaseState.Holding) return;
    if (owner?.getDump().epoch === epoch) return;
    stopOwner();
    startOwner(epoch);
  }

  function startOwner(epoch: number): void {
    owner = createOwner({
      epoch,
      table,
      committer,
      previousRowVersion: lease.getPreviousRowVersion(),
      jobFeed: options.jobFeed,
      workerFeed: options.workerFeed,
      states,
      runner: options.runner,
      advisor: options.advisor,
      getConfig,
      operatorRows,
      isHolding: () => lease.isHolding(epoch),
      getEpochCondition: () => (lease.isHolding(epoch) ? lease.getEpochCondition() : undefined),
      onFenced: () => {
        logger.warn('owner_fenced', { epoch });
        if (owner?.getDump().epoch !== epoch) return;
        stopOwner();
        // Otherwise this process would keep a lease without running an owner.
        void lease.resign();
      },
      clock,
      getWallMs: options.getWallMs,
      logger,
      metrics,
      ...limits,
      policy,
    });
    void owner.start();
  }

  function stopOwner(): void {
    owner?.stop();
    owner = undefined;
  }

  /** Publishes the address of this instance in a row that outlives restarts. */
  async function announceInstance(): Promise<void> {
    const key = `${instanceTable}/${options.name}`;
    const { relayAddress, dataCentre, power } = options;
    const row = { relayAddress, dataCentre, power };
    while (!isDraining) {
      const known = instances.find(options.name);
      const isKnown = known?.relayAddress === relayAddress && known.power === power;
      if (isKnown && known.dataCentre === dataCentre) return;
      if (instances.isLoaded()) {
        const version = instances.findVersion(options.name) ?? 0;
        await committer.submit({
          conditions: [{ key, version }],
          writes: [{ key, value: row }],
          priority: WritePriority.Configuration,
        });
      }
      await waitFor(clock, announceCheckMs);
    }
  }

  function hasLoaded(): boolean {
    return states.isLoaded() && operatorRows.isLoaded() && instances.isLoaded();
  }

  /**
   * Reports how late timers run, as lease renewals are late too when processor time is short, and the age of
   * the configuration.
   */
  function reportHealth(): void {
    let dueMs = clock.getNowMs() + loopCheckMs;
    cancelLoopCheck = runEvery(clock, loopCheckMs, () => {
      const nowMs = clock.getNowMs();
      metrics.reportTiming('loop.lateness', Math.max(0, nowMs - dueMs));
      dueMs = nowMs + loopCheckMs;
      configWatch.check();
    });
  }

  async function startLease(): Promise<void> {
    // An owner needs the configuration and the job states for any decision.
    while (!isDraining && !hasLoaded()) await waitFor(clock, loadCheckMs);
    if (!isDraining) lease.start();
  }

  return {
    jobs,
    configs: operatorRows,
    isReady: () => !isDraining && states.isLoaded() && getConfig() !== undefined,
    async start() {
      states.start();
      operatorRows.start();
      instances.start();
      await startRelayListener({
        address: options.relayAddress,
        budget: options.budget,
        clock,
        logger,
        metrics,
        handle: (call) => answerRelayedCall(localJobs, call),
      });
      reportHealth();
      void runContained(logger, 'announcement', announceInstance);
      void runContained(logger, 'lease start', startLease);
    },
    async startDraining() {
      if (isDraining) return;
      isDraining = true;
      logger.info('draining', { epoch: lease.getEpoch(), lease: lease.getState() });
      stopOwner();
      await lease.stop();
    },
    stop() {
      cancelLoopCheck();
      states.stop();
      operatorRows.stop();
      instances.stop();
      committer.close();
    },
    getDump: () => ({
      lease: lease.getState(),
      epoch: lease.getEpoch(),
      configVersion: getConfig()?.version,
      configAgeMs: Math.round(operatorRows.getAgeMs()),
      stateAgeMs: Math.round(states.getAgeMs()),
      knownJobs: states.list().length,
      evacuated: [...operatorRows.getEvacuations().dataCentres],
      isDraining,
      owner: owner?.getDump(),
    }),
  };
}
