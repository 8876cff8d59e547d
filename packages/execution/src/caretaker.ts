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

interface WorkerView {
  worker: Instance;
  listed: WorkerTasks;
}

/** Identifies one start of a gang: the task id without its member. */
function getGangKey(task: TaskStatus): string {
  return task.taskId.slice(0, task.taskId.lastIndexOf('/'));
}

/**
 * Gangs of which every member is seen executing or done. Renewing others could keep a part of a
 * gang running for the whole outage when the owner died between two releases (model/caretaker.pml).
 */
function listCompleteGangs(views: readonly WorkerView[]): Set<string> {
  const missing = new Map<string, number>();
  for (const task of views.flatMap(({ listed }) => listed.tasks)) {
    if (task.state !== TaskState.Running && task.state !== TaskState.Done) continue;
    const key = getGangKey(task);
    missing.set(key, (missing.get(key) ?? task.gangSize) - 1);
  }
  return new Set([...missing].filter(([, count]) => count <= 0).map(([key]) => key));
}

/**
 * Creates a caretaker. It starts and stops nothing, and renews complete gangs under the workers' own
 * epoch; the tasks of other gangs stop when their leases expire.
 */
export function createCaretaker(options: CaretakerOptions): Caretaker {
  const { lease, workerClient, clock, logger, metrics, settings } = options;
  const calls = createLimiter(settings.maxRoundCalls);
  let isActive = false;
  let isRunning = false;
  let cancelTimer: CancelTimer | undefined;

  async function listWorkerTasks(worker: Instance): Promise<WorkerView | undefined> {
    const listed = await workerClient.listTasks(worker.address, worker.id);
    return listed.isErr() ? undefined : { worker, listed: listed.value };
  }

  async function renewWorker(view: WorkerView, complete: ReadonlySet<string>): Promise<void> {
    const { worker, listed } = view;
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
      workers.map((worker) => calls.run(() => listWorkerTasks(worker))),
    );
    const views = listed.filter((view) => view !== undefined);
    const complete = listCompleteGangs(views);
    await Promise.all(views.map((view) => calls.run(() => renewWorker(view, complete))));
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
    await renewCompleteGangs();
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
