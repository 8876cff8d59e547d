import { LeaseState } from '@bergamotreach/ownership';
import type { RegionLease } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/platform';
import type { Instance, WorkerClient } from '@bergamotreach/platform';
import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { createLimiter } from './limiter.ts';
import type { OwnerSettings } from './options.ts';

/** Options of a caretaker. */
export interface CaretakerOptions {
  lease: RegionLease;
  workerClient: WorkerClient;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  settings: OwnerSettings;
  isCaretaker: () => boolean;
  listWorkers: () => readonly Instance[];
}

/** Renews task leases while the store is down and no owner does. */
export interface Caretaker {
  start(): void;
  stop(): void;
  isActive(): boolean;
}

/**
 * Silence of the store after which the caretaker acts. A live owner still renews by itself, and
 * renewing twice is harmless, so this only spares calls.
 */
const storeSilenceMs = 4_000;

/** Creates a caretaker. It starts and stops nothing, and renews under the workers' own epoch. */
export function createCaretaker(options: CaretakerOptions): Caretaker {
  const { lease, workerClient, clock, logger, metrics, settings } = options;
  const calls = createLimiter(settings.maxRoundCalls);
  let isActive = false;
  let isRunning = false;
  let cancelTimer: CancelTimer | undefined;

  async function renewWorker({ id, address }: Instance): Promise<void> {
    const listed = await workerClient.listTasks(address, id);
    if (listed.isErr() || !isActive) return;
    const { epoch, tasks } = listed.value;
    const taskIds = tasks
      .filter(({ state }) => state === TaskState.Held || state === TaskState.Running)
      .map(({ taskId }) => taskId);
    if (taskIds.length === 0) return;
    const { taskLeaseMs: leaseMs } = settings;
    const commands = [{ kind: CommandKind.Renew, taskIds, leaseMs } as const];
    await workerClient.sendCommands(address, id, { epoch, commands });
    metrics.count('caretaker.renewals', taskIds.length);
  }

  function setActive(next: boolean): void {
    if (next !== isActive) logger.warn('caretaker', { isActive: next });
    isActive = next;
  }

  async function runRound(): Promise<void> {
    const isStoreSilent = lease.getStoreSeenAgoMs() > storeSilenceMs;
    setActive(isStoreSilent && lease.getState() === LeaseState.Waiting && options.isCaretaker());
    if (!isActive || isRunning) return;
    isRunning = true;
    const workers = options.listWorkers();
    await Promise.all(workers.map((worker) => calls.run(() => renewWorker(worker))));
    isRunning = false;
  }

  return {
    start() {
      cancelTimer = runEvery(clock, settings.roundMs, () => void runRound());
    },
    stop() {
      cancelTimer?.();
      setActive(false);
    },
    isActive: () => isActive,
  };
}
