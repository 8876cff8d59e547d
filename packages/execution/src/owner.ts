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
import { createWorkerBook, listRegionWorkers } from './workers.ts';

/** Contends for a region and, while it owns it, runs its placement. */
export interface RegionOwner {
  start(): void;
  /** Hands the region over: stops deciding, then releases the lease. */
  stop(): Promise<void>;
  /** Tells that rows of these jobs were added or changed. */
  wake(jobIds: readonly string[]): void;
  applyInstances(instances: readonly Instance[]): void;
  applyConfig(config: PlacementConfig): void;
  /**
   * Tells whether a job can ever run, by the last configuration and instance list; on every
   * daemon. Faults: `never_fits`, `quota_exceeded`, `not_found` (account), and
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
  /** State as plain JSON data. */
  getDump(): unknown;
}

/** Creates the region owner of a daemon; `start` begins to contend for the lease. */
export function createRegionOwner(options: RegionOwnerOptions): RegionOwner {
  const settings = { ...defaultOwnerSettings, ...options.settings };
  const lease = options.createLease(handleLease);
  let instances: readonly Instance[] | undefined;
  let config: PlacementConfig | undefined;
  let session: OwnerSession | undefined;
  let checker: Scheduler | undefined;
  let isStopped = true;

  const caretaker = createCaretaker({
    ...options,
    lease,
    settings,
    isCaretaker: options.isCaretaker ?? (() => false),
    listWorkers: () => listRegionWorkers(instances ?? [], options.region),
  });

  function handleLease(): void {
    const state = lease.getState();
    if (state === LeaseState.Waiting) closeSession('lease lost');
    else if (state === LeaseState.Holding) openSession();
  }

  function closeSession(why: string): void {
    session?.close(why);
    session = undefined;
  }

  /** Recovery needs the workers and the accounts, so it waits for the first of each. */
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

  function createChecker(current: PlacementConfig): Scheduler {
    const scheduler = options.createScheduler();
    const book = createWorkerBook(options.region);
    book.applyInstances(instances ?? [], 0);
    const workers = book.list().map(({ spec }) => spec);
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
   * A scheduler without jobs, used for checks only. That of the session has no accounts until its
   * first round of decisions, and would refuse valid jobs in that time.
   */
  function getChecker(): Scheduler | undefined {
    if (config !== undefined) checker ??= createChecker(config);
    return checker;
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
    wake(jobIds) {
      session?.wake(jobIds);
    },
    applyInstances(next) {
      instances = next;
      checker = undefined;
      if (session === undefined) openSession();
      else session.applyInstances(next);
    },
    applyConfig(next) {
      config = next;
      checker = undefined;
      if (session === undefined) openSession();
      else session.applyConfig(next);
    },
    checkJob(job) {
      const scheduler = getChecker();
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
