import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault, Logger, Metrics } from '@bergamotreach/protocol';
import type { PlacementEvent } from '@bergamotreach/placement';
import type {
  CommandResult,
  RowCondition,
  WorkerCommand,
  WorkerTasks,
} from '@bergamotreach/hosting';
import type { RegionLease } from '@bergamotreach/ownership';
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createLimiter } from './limiter.ts';
import type { GangJobStore, OwnerSettings, RegionOwnerOptions } from './options.ts';
import type { WorkerEntry, WorkerRegistry } from './workers.ts';

/** State and operations shared by the modules of one owner session. */
export interface OwnerContext {
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: OwnerSettings;
  jobStore: GangJobStore;
  workers: WorkerRegistry;
  getWallMs: () => number;
  /** Queues an event for the scheduler. */
  pushEvent: (event: PlacementEvent) => void;
  /** False once another daemon took over or this one stopped. */
  isOpen(): boolean;
  /** Whether the session is open and holds the lease, so that commands and writes are allowed. */
  hasLease(): boolean;
  /** Ends the session; no command or write is sent afterwards. */
  close(reason: string): void;
  /** Fencing condition for table writes; undefined when they are not allowed now. */
  getEpochCondition(): RowCondition | undefined;
  /** Waits until the lease is held; resolves to false when the session ended. */
  waitForLease(): Promise<boolean>;
  /**
   * Sends commands that need the lease: hold, release, stop, checkpoint, fence. Faults: `not_owner`
   * (lease not held), `worker_unavailable`, `stale_epoch`.
   */
  sendCommands(worker: string, commands: WorkerCommand[]): Promise<Result<CommandResult[], Fault>>;
  /** Sends a renewal, which is safe without the lease. */
  sendRenewal(worker: WorkerEntry, command: WorkerCommand): Promise<Result<CommandResult[], Fault>>;
  listTasks(worker: WorkerEntry): Promise<Result<WorkerTasks, Fault>>;
  /** Number of calls that wait because too many others are in flight. */
  getWaitingCalls(): number;
}

type ContextOptions = Omit<RegionOwnerOptions, 'settings'> & {
  lease: RegionLease;
  epoch: number;
  settings: OwnerSettings;
  workers: WorkerRegistry;
  pushEvent: (event: PlacementEvent) => void;
  onClose: () => void;
};

/** Creates the context of one owner session. */
export function createOwnerContext(options: ContextOptions): OwnerContext {
  const { lease, epoch, clock, logger, settings, workers, workerClient } = options;
  const commandCalls = createLimiter(settings.maxCommandCalls);
  const pollCalls = createLimiter(settings.maxPollCalls);
  let isClosed = false;

  function hasLease(): boolean {
    return !isClosed && lease.isHolding(epoch);
  }

  function close(reason: string): void {
    if (isClosed) return;
    isClosed = true;
    logger.info('ownership_ended', { epoch, why: reason });
    options.onClose();
  }

  /** Such a worker refuses all commands, so it counts as lost until an operator resets it. */
  function reportEpochAhead(worker: string): void {
    logger.error('worker_epoch_ahead', { worker, epoch });
    options.metrics.count('worker.epoch_ahead');
  }

  async function sendBatch(
    entry: WorkerEntry,
    commands: WorkerCommand[],
  ): Promise<Result<CommandResult[], Fault>> {
    const result = await workerClient.sendCommands(entry.address, entry.id, { epoch, commands });
    if (result.isOk()) entry.heardMs = clock.getNowMs();
    // No other daemon takes over while this one holds the lease, so the worker's epoch did not come
    // from this table.
    else if (result.error.code === FaultCode.StaleEpoch && hasLease()) reportEpochAhead(entry.id);
    return result;
  }

  return {
    ...options,
    isOpen: () => !isClosed,
    hasLease,
    close,
    getEpochCondition: () => (hasLease() ? lease.getEpochCondition() : undefined),
    async waitForLease() {
      while (!isClosed && !hasLease()) await waitFor(clock, settings.retryMs);
      return !isClosed;
    },
    sendCommands: (worker, commands) =>
      commandCalls.run(async () => {
        const entry = workers.get(worker);
        if (entry === undefined) {
          return Err(createFault(FaultCode.WorkerUnavailable, `worker ${worker} is not listed`));
        }
        // The lease may have expired while the call waited for a slot.
        if (!hasLease()) return Err(createFault(FaultCode.NotOwner, 'lease not held'));
        return sendBatch(entry, commands);
      }),
    sendRenewal: (entry, command) =>
      pollCalls.run(async () => {
        if (isClosed) return Err(createFault(FaultCode.NotOwner, 'owner session ended'));
        return sendBatch(entry, [command]);
      }),
    listTasks: (entry) => pollCalls.run(() => workerClient.listTasks(entry.address, entry.id)),
    getWaitingCalls: () => commandCalls.getWaiting() + pollCalls.getWaiting(),
  };
}
