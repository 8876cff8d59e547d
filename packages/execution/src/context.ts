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
import type { WorkerBook, WorkerEntry } from './workers.ts';

/** What the parts of one ownership period share. */
export interface OwnerContext {
  epoch: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: OwnerSettings;
  jobStore: GangJobStore;
  workers: WorkerBook;
  getWallMs: () => number;
  /** Queues an event for the placement core. */
  pushEvent: (event: PlacementEvent) => void;
  /** False once another owner took over or this one stopped. */
  isOpen(): boolean;
  /** Whether effects are allowed now. */
  canAct(): boolean;
  /** Ends the ownership period; nothing has an effect afterwards. */
  close(why: string): void;
  /** Condition for table writes; undefined when they are not allowed now. */
  getEpochCondition(): RowCondition | undefined;
  /** Waits until effects are allowed; false when the period ended. */
  waitUntilAllowed(): Promise<boolean>;
  /** Sends commands that start, stop or checkpoint, if effects are allowed at that moment. */
  sendEffect(worker: string, commands: WorkerCommand[]): Promise<Result<CommandResult[], Fault>>;
  /** Sends commands that are safe without the lease: renewals. */
  sendRenewal(worker: WorkerEntry, command: WorkerCommand): Promise<Result<CommandResult[], Fault>>;
  listTasks(worker: WorkerEntry): Promise<Result<WorkerTasks, Fault>>;
  getWaitingCalls(): number;
}

type ContextOptions = Omit<RegionOwnerOptions, 'settings'> & {
  lease: RegionLease;
  epoch: number;
  settings: OwnerSettings;
  workers: WorkerBook;
  pushEvent: (event: PlacementEvent) => void;
  onClose: () => void;
};

/** Creates the context of one ownership period. */
export function createOwnerContext(options: ContextOptions): OwnerContext {
  const { lease, epoch, clock, logger, settings, workers, workerClient } = options;
  const effectCalls = createLimiter(settings.maxEffectCalls);
  const roundCalls = createLimiter(settings.maxRoundCalls);
  let isClosed = false;

  function canAct(): boolean {
    return !isClosed && lease.isHolding(epoch);
  }

  function close(why: string): void {
    if (isClosed) return;
    isClosed = true;
    logger.info('ownership_ended', { epoch, why });
    options.onClose();
  }

  /** Such a worker answers no command, so it counts as lost until an operator resets it. */
  function reportAhead(worker: string): void {
    logger.error('worker_epoch_ahead', { worker, epoch });
    options.metrics.count('worker.epoch_ahead');
  }

  async function sendBatch(
    entry: WorkerEntry,
    commands: WorkerCommand[],
  ): Promise<Result<CommandResult[], Fault>> {
    const result = await workerClient.sendCommands(entry.address, entry.id, { epoch, commands });
    if (result.isOk()) entry.heardMs = clock.getNowMs();
    // Nobody takes over before the own deadline, so this worker's epoch is not from the table.
    else if (result.error.code === FaultCode.StaleEpoch && canAct()) reportAhead(entry.id);
    return result;
  }

  return {
    ...options,
    isOpen: () => !isClosed,
    canAct,
    close,
    getEpochCondition: () => (canAct() ? lease.getEpochCondition() : undefined),
    async waitUntilAllowed() {
      while (!isClosed && !canAct()) await waitFor(clock, settings.retryMs);
      return !isClosed;
    },
    sendEffect: (worker, commands) =>
      effectCalls.run(async () => {
        const entry = workers.get(worker);
        if (entry === undefined) {
          return Err(createFault(FaultCode.WorkerUnavailable, `worker ${worker} is not listed`));
        }
        // The wait for a free call may have outlasted the lease.
        if (!canAct()) return Err(createFault(FaultCode.NotOwner, 'lease not held'));
        return sendBatch(entry, commands);
      }),
    sendRenewal: (entry, command) =>
      roundCalls.run(async () => {
        if (isClosed) return Err(createFault(FaultCode.NotOwner, 'ownership ended'));
        return sendBatch(entry, [command]);
      }),
    listTasks: (entry) => roundCalls.run(() => workerClient.listTasks(entry.address, entry.id)),
    getWaitingCalls: () => effectCalls.getWaiting() + roundCalls.getWaiting(),
  };
}
