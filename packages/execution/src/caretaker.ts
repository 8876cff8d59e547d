import { LeaseState } from '@bergamotreach/ownership';
import type { RegionLease } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { Instance, TaskStatus, WorkerClient, WorkerTasks } from '@bergamotreach/hosting';
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

/**
 * Renews task leases during a store outage in which the region has no owner. Without it, running
 * tasks would stop when their leases expire.
 */
export interface Caretaker {
  start(): void;
  stop(): void;
  isActive(): boolean;
}

/**
 * Time without a store reply after which the caretaker acts. A live owner keeps renewing by itself,
 * and a second renewal is harmless, so the delay only saves calls.
 */
const minStoreSilenceMs = 4_000;

/** A worker with its current task list. */
interface WorkerSnapshot {
  worker: Instance;
  listed: WorkerTasks;
}

/** Identifies one start of a gang: the task id without the member index. */
function getGangKey(task: TaskStatus): string {
  return task.taskId.slice(0, task.taskId.lastIndexOf('/'));
}

/**
 * Lists the gangs whose members are all running or done. If the owner crashed between two releases,
 * renewing an incomplete gang could keep part of it running for the whole outage
 * (model/caretaker.pml).
 */
function listCompleteGangs(snapshots: readonly WorkerSnapshot[]): Set<string> {
  const missing = new Map<string, number>();
  for (const task of snapshots.flatMap(({ listed }) => listed.tasks)) {
    if (task.state !== TaskState.Running && task.state !== TaskState.Done) continue;
    const key = getGangKey(task);
    missing.set(key, (missing.get(key) ?? task.gangSize) - 1);
  }
  return new Set([...missing].filter(([, count]) => count <= 0).map(([key]) => key));
}

/**
 * Creates a caretaker. It never starts or stops tasks. It renews complete gangs under the workers'
 * current epoch; the tasks of other gangs stop when their leases expire.
 */
export function createCaretaker(options: CaretakerOptions): Caretaker {
  const { lease, workerClient, clock, logger, metrics, settings } = options;
  const pollCalls = createLimiter(settings.maxPollCalls);
  let isActive = false;
  let isRenewing = false;
  let cancelTimer: CancelTimer | undefined;

  async function listWorkerTasks(worker: Instance): Promise<WorkerSnapshot | undefined> {
    const listed = await workerClient.listTasks(worker.address, worker.id);
    return listed.isErr() ? undefined : { worker, listed: listed.value };
  }

  async function renewWorker(
    snapshot: WorkerSnapshot,
    complete: ReadonlySet<string>,
  ): Promise<void> {
    const { worker, listed } = snapshot;
    const taskIds = listed.tasks
      .filter((task) => task.state === TaskState.Running && complete.has(getGangKey(task)))
      .map(({ taskId }) => taskId);
    if (taskIds.length === 0 || !isActive) return;
    const { taskLeaseMs: leaseMs } = settings;
    const commands = [{ kind: CommandKind.Renew, taskIds, leaseMs } as const];
    await workerClient.sendCommands(worker.address, worker.id, { epoch: listed.epoch, commands });
    metrics.count('caretaker.renewals', taskIds.length);
  }

  async function renewCompleteGangs(): Promise<void> {
    const workers = options.listWorkers();
    const listed = await Promise.all(
      workers.map((worker) => pollCalls.run(() => listWorkerTasks(worker))),
    );
    const snapshots = listed.filter((snapshot) => snapshot !== undefined);
    const complete = listCompleteGangs(snapshots);
    await Promise.all(
      snapshots.map((snapshot) => pollCalls.run(() => renewWorker(snapshot, complete))),
    );
  }

  function setActive(isNowActive: boolean): void {
    if (isNowActive !== isActive) logger.warn('caretaker', { isActive: isNowActive });
    isActive = isNowActive;
  }

  async function runRound(): Promise<void> {
    const isStoreDown = lease.getStoreSilenceMs() > minStoreSilenceMs;
    setActive(isStoreDown && lease.getState() === LeaseState.Waiting && options.isCaretaker());
    if (!isActive || isRenewing) return;
    isRenewing = true;
    await renewCompleteGangs();
    isRenewing = false;
  }

  return {
    start() {
      cancelTimer = runEvery(clock, settings.taskRenewMs, () => void runRound());
    },
    stop() {
      cancelTimer?.();
      setActive(false);
    },
    isActive: () => isActive,
  };
}
