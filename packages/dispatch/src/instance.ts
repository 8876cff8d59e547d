import type { Feed, Table } from '@bergamotreach/hosting';
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
import type { JobRow, StateRow } from './jobrows.ts';
import { createJobService } from './jobservice.ts';
import type { JobService } from './jobservice.ts';
import { createMirror } from './mirror.ts';
import type { Mirror } from './mirror.ts';
import { createOwner } from './owner.ts';
import type { Owner, OwnerDump } from './owner.ts';
import { createRelay, startRelayListener } from './relay.ts';
import type { InstanceRow } from './relaycheck.ts';
import { answerRelayedCall, createRelayedJobs } from './relayedjobs.ts';
import type { TaskRunner } from './taskrunner.ts';
import type { WorkerEntry } from './workerentry.ts';

/** Figures of the platform that an instance depends on. Durations are in milliseconds. */
export interface InstanceLimits {
  /** Longest lease that a worker grants. */
  maxLeaseMs: number;
  /** Time within which a guaranteed job has to begin. */
  reclaimMs: number;
  /** Longest time that a stop takes a worker. */
  stopMs: number;
  /** Interval at which workers renew their entries. */
  heartbeatMs: number;
  /** Commits per second of this process; all instances share the store's rate. */
  commitsPerSecond: number;
}

/** Options of an instance. */
export interface InstanceOptions {
  /** Unique id of this process; begins with `relayAddress` and a slash. */
  processId: string;
  /** Address under which this instance is known. */
  address: string;
  table: Table;
  /** Name of this instance, kept over restarts. */
  name: string;
  dataCentre: string;
  /** Processor time a second of this instance, in cores of usual speed. */
  power: number;
  /** `ip:port` at which other instances reach this one. */
  relayAddress: string;
  instanceFeed: Feed<InstanceRow>;
  jobFeed: Feed<JobRow>;
  stateFeed: Feed<StateRow>;
  workerFeed: Feed<WorkerEntry>;
  configFeed: Feed<ServiceConfig>;
  runner: TaskRunner;
  advisor: Advisor;
  clock: Clock;
  /** Clock that counts the time for which the process was suspended. */
  deadlineClock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
  limits: InstanceLimits;
  /** What the operators chose about plans; the default when absent. */
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
  isDraining: boolean;
  owner: OwnerDump | undefined;
}

/** One process of the system. */
export interface Instance {
  jobs: JobService;
  configs: Mirror<ServiceConfig>;
  /** Whether callers should be sent here. */
  isReady(): boolean;
  start(): Promise<void>;
  /** Hands over the ownership at once; calls are served until `stop`. */
  startDraining(): Promise<void>;
  stop(): void;
  getDump(): InstanceDump;
}

// One owner schedules all jobs; its row is named after the region in the inner design.
const shard = 'main';
const instanceTable = 'instance';
const announceCheckMs = 300;
const loadCheckMs = 20;
const loopCheckMs = 500;
/** Longest silence of an owner before another instance takes over is lease plus margin. */
const leaseMs = 2000;
const leaseMarginMs = 300;
/** Lease while renewals are quick: it outlasts one that is lost, and others take over 0.9 s sooner. */
const shortestLeaseMs = 1100;
const renewMs = 450;
/** An instance with this many times the power of another owns the scheduling rather than that one. */
const largerFactor = 1.5;
/** Lets larger instances, which look at the lease every 450 ms, take it first. */
const reluctanceMs = 700;
/** Instances that watch the lease closely; so many may be gone or cut off from the store at once. */
const candidateCount = 8;
/** The others look this often while the owner renews, so that looks do not grow with the instances. */
const calmWatchMs = 1800;
/** The list of instances changes rarely, and an old one costs a relayed call one more peer. */
const instanceWaitMs = 10_000;
/** Writes and conditions that one transaction of the users' store takes. */
const maxCommitEntries = 100;
/** An owner sees cancels within this time. */
const ownerPauseMs = 60;
/**
 * The other instances need the states for the number of pending jobs, which may be 2 s old, and for
 * jobs that have ended; what else callers ask is read by key. So reads do not grow with the changes.
 */
const followerPauseMs = 1000;

/** Creates an instance; `start` begins its work. */
export function createInstance(options: InstanceOptions): Instance {
  const { table, clock, logger, metrics, limits } = options;
  const policy = options.policy ?? createPlanPolicy();
  let owner: Owner | undefined;
  let isDraining = false;
  let cancelLoopWatch: CancelTimer = () => undefined;
  let nextOperation = 0;

  const committer = createGroupCommitter({
    table,
    clock,
    logger,
    metrics,
    createOperationId: () => `${options.processId}/${String((nextOperation += 1))}`,
    commitsPerSecond: limits.commitsPerSecond,
    maxEntries: maxCommitEntries,
  });
  const states = createMirror<StateRow>({
    feed: options.stateFeed,
    name: 'states',
    clock,
    logger,
    metrics,
    getPauseMs: () => (owner === undefined ? followerPauseMs : ownerPauseMs),
    onChange: (jobId, row, version) => owner?.handleState(jobId, row, version),
  });
  const configs = createMirror<ServiceConfig>({
    feed: options.configFeed,
    name: 'configuration',
    // Its age counts the time for which the process was suspended.
    clock: options.deadlineClock,
    logger,
    metrics,
    onChange(_key, config) {
      logger.info('config_applied', { version: config?.version, queues: config?.queues.length });
    },
  });
  const lease = createRegionLease({
    table,
    committer,
    clock,
    deadlineClock: options.deadlineClock,
    logger,
    metrics,
    region: shard,
    holder: options.processId,
    // The address belongs to one machine, which runs one process at a time.
    isFormerSelf: (holder) =>
      holder !== options.processId && holder.startsWith(`${options.relayAddress}/`),
    address: options.address,
    getReluctanceMs: () => (hasLargerPeer() ? reluctanceMs : 0),
    getWatchMs: () => (isCandidate() ? renewMs : calmWatchMs),
    leaseMs,
    marginMs: leaseMarginMs,
    renewMs,
    shortestLeaseMs,
    onChange: handleLease,
  });
  const instances = createMirror<InstanceRow>({
    feed: options.instanceFeed,
    name: 'instances',
    clock,
    logger,
    metrics,
    waitMs: instanceWaitMs,
  });
  const localJobs = createJobService({ ...options, committer, states, configs });
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
  const jobs = createRelayedJobs({ jobs: localJobs, relay, clock });

  /** A small instance would fall behind as the owner of a large fleet. */
  function hasLargerPeer(): boolean {
    return instances.list().some(([, { power = 0 }]) => power >= options.power * largerFactor);
  }

  /** Whether this instance is among the first to take the lease over. */
  function isCandidate(): boolean {
    if (hasLargerPeer()) return false;
    const rivals = instances
      .list()
      .filter(([, { power = 0 }]) => power * largerFactor > options.power)
      .map(([name]) => name);
    return rankMembers(shard, rivals).slice(0, candidateCount).includes(options.name);
  }

  function getConfig(): ServiceConfig | undefined {
    return configs.list()[0]?.[1];
  }

  function handleLease(state: LeaseState, epoch: number): void {
    if (state === LeaseState.Waiting) endOwner();
    if (state !== LeaseState.Holding) return;
    if (owner?.getDump().epoch === epoch) return;
    endOwner();
    startOwner(epoch);
  }

  function startOwner(epoch: number): void {
    owner = createOwner({
      epoch,
      table,
      committer,
      jobFeed: options.jobFeed,
      workerFeed: options.workerFeed,
      states,
      runner: options.runner,
      advisor: options.advisor,
      getConfig,
      isHolding: () => lease.isHolding(epoch),
      getEpochCondition: () => (lease.isHolding(epoch) ? lease.getEpochCondition() : undefined),
      onFenced: () => {
        logger.warn('owner_fenced', { epoch });
        if (owner?.getDump().epoch !== epoch) return;
        endOwner();
        // A lease that is still this process's would stay without an owner.
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

  function endOwner(): void {
    owner?.stop();
    owner = undefined;
  }

  /** Tells the other instances where this one is; its row outlives restarts. */
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
    return states.isLoaded() && configs.isLoaded() && instances.isLoaded();
  }

  /** A process that is short of processor time runs its timers late, its renewals among them. */
  function watchLoop(): void {
    let dueMs = clock.getNowMs() + loopCheckMs;
    cancelLoopWatch = runEvery(clock, loopCheckMs, () => {
      const nowMs = clock.getNowMs();
      metrics.reportTiming('loop.lateness', Math.max(0, nowMs - dueMs));
      dueMs = nowMs + loopCheckMs;
    });
  }

  async function startLease(): Promise<void> {
    // Without a configuration and the states an owner could not decide anything.
    while (!isDraining && !hasLoaded()) await waitFor(clock, loadCheckMs);
    if (!isDraining) lease.start();
  }

  return {
    jobs,
    configs,
    isReady: () => !isDraining && states.isLoaded() && getConfig() !== undefined,
    async start() {
      states.start();
      configs.start();
      instances.start();
      await startRelayListener({
        address: options.relayAddress,
        logger,
        handle: (call) => answerRelayedCall(localJobs, call),
      });
      watchLoop();
      void runContained(logger, 'announcement', announceInstance);
      void runContained(logger, 'lease start', startLease);
    },
    async startDraining() {
      if (isDraining) return;
      isDraining = true;
      logger.info('draining', { epoch: lease.getEpoch(), lease: lease.getState() });
      endOwner();
      await lease.stop();
    },
    stop() {
      cancelLoopWatch();
      states.stop();
      configs.stop();
      instances.stop();
      committer.close();
    },
    getDump: () => ({
      lease: lease.getState(),
      epoch: lease.getEpoch(),
      configVersion: getConfig()?.version,
      configAgeMs: Math.round(configs.getAgeMs()),
      stateAgeMs: Math.round(states.getAgeMs()),
      knownJobs: states.list().length,
      isDraining,
      owner: owner?.getDump(),
    }),
  };
}
