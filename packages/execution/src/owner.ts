import { LeaseState } from '@bergamotreach/ownership';
import type {
  AccountUsage,
  GuaranteeStatus,
  JobSpec,
  PlacementConfig,
  Scheduler,
} from '@bergamotreach/placement';
import { EventKind } from '@bergamotreach/placement';
import type { Instance } from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createCaretaker } from './caretaker.ts';
import { defaultOwnerSettings } from './options.ts';
import type { RegionOwnerOptions } from './options.ts';
import { createOwnerSession } from './session.ts';
import type { OwnerSession } from './session.ts';
import { createWorkerRegistry, listRegionWorkers } from './workers.ts';

/** Contends for the lease of a region and runs the region's placement while it holds it. */
export interface RegionOwner {
  start(): void;
  /** Hands over the region: stops placement decisions, then releases the lease. */
  stop(): Promise<void>;
  /** Reads the rows of jobs that were added or changed; does nothing without a session. */
  refreshJobs(jobIds: readonly string[]): void;
  applyInstances(instances: readonly Instance[]): void;
  applyConfig(config: PlacementConfig): void;
  /**
   * Checks whether a job can ever run, given the latest configuration and instance list. Works on
   * every daemon. Faults: `never_fits`, `quota_exceeded`, `not_found` (account), and
   * `store_unavailable` before the first configuration.
   */
  checkJob(job: JobSpec): Result<void, Fault>;
  /** Guarantees of all accounts; empty on a daemon that does not own the region. */
  listGuarantees(): GuaranteeStatus[];
  /** Usage of all accounts; empty on a daemon that does not own the region. */
  listUsage(): AccountUsage[];
  /** Quarantined workers; empty on a daemon that does not own the region. */
  listQuarantined(): string[];
  /** Whether this daemon owns the region and may act now. */
  isOwner(): boolean;
  /** State for the dump, as plain JSON data. */
  getDump(): unknown;
}

/** Creates the region owner of a daemon; call `start` to contend for the lease. */
export function createRegionOwner(options: RegionOwnerOptions): RegionOwner {
  const settings = { ...defaultOwnerSettings, ...options.settings };
  const lease = options.createLease(handleLeaseChange);
  let instances: readonly Instance[] | undefined;
  let config: PlacementConfig | undefined;
  let session: OwnerSession | undefined;
  let checkScheduler: Scheduler | undefined;
  let isStopped = true;

  const caretaker = createCaretaker({
    ...options,
    lease,
    settings,
    isCaretaker: options.isCaretaker ?? (() => false),
    listWorkers: () => listRegionWorkers(instances ?? [], options.region),
  });

  function handleLeaseChange(): void {
    const state = lease.getState();
    if (state === LeaseState.Waiting) closeSession('lease lost');
    else if (state === LeaseState.Holding) openSession();
  }

  function closeSession(reason: string): void {
    session?.close(reason);
    session = undefined;
  }

  /**
   * Opens or resumes a session. Recovery needs the workers and the accounts, so this waits for the
   * first instance list and the first configuration.
   */
  function openSession(): void {
    if (isStopped || instances === undefined || config === undefined) return;
    if (lease.getState() !== LeaseState.Holding) return;
    const epoch = lease.getEpoch();
    if (session?.epoch === epoch && session.isOpen()) {
      session.resume();
      return;
    }
    closeSession('new epoch');
    session = createOwnerSession({ ...options, lease, epoch, settings, instances, config });
  }

  function createCheckScheduler(current: PlacementConfig): Scheduler {
    const scheduler = options.createScheduler();
    const registry = createWorkerRegistry(options.region);
    registry.applyInstances(instances ?? [], 0);
    const workers = registry.list().map(({ spec }) => spec);
    scheduler.applyEvents(
      [
        { kind: EventKind.ConfigChanged, config: current },
        { kind: EventKind.WorkersAdded, workers },
      ],
      options.clock.getNowMs(),
    );
    return scheduler;
  }

  /**
   * Returns a scheduler without jobs that is used for checks only. The session's own scheduler has
   * no accounts before its first decision and would refuse valid jobs until then.
   */
  function getCheckScheduler(): Scheduler | undefined {
    if (config !== undefined) checkScheduler ??= createCheckScheduler(config);
    return checkScheduler;
  }

  return {
    start() {
      isStopped = false;
      lease.start();
      caretaker.start();
    },
    async stop() {
      isStopped = true;
      caretaker.stop();
      closeSession('stopped');
      await lease.stop();
    },
    refreshJobs(jobIds) {
      session?.refreshJobs(jobIds);
    },
    applyInstances(next) {
      instances = next;
      checkScheduler = undefined;
      if (session === undefined) openSession();
      else session.applyInstances(next);
    },
    applyConfig(next) {
      config = next;
      checkScheduler = undefined;
      if (session === undefined) openSession();
      else session.applyConfig(next);
    },
    checkJob(job) {
      const scheduler = getCheckScheduler();
      if (scheduler !== undefined) return scheduler.checkJob(job);
      const message = 'no configuration is in force yet';
      return Err(createFault(FaultCode.StoreUnavailable, message, { retryAfterMs: 1000 }));
    },
    listGuarantees: () => session?.scheduler.listGuarantees() ?? [],
    listUsage: () => session?.scheduler.listUsage() ?? [],
    listQuarantined: () => session?.scheduler.listQuarantined() ?? [],
    isOwner: () => session !== undefined && lease.isHolding(session.epoch),
    getDump: () => ({
      lease: lease.getDump(),
      isCaretaker: caretaker.isActive(),
      session: session?.getDump() ?? {},
    }),
  };
}
