import { randomUUID } from 'node:crypto';
import type {
  CommandBatch,
  CommandResult,
  TaskChanges,
  TaskCursor,
  TaskSpec,
  TaskStatus,
  WorkerCommand,
} from '@bergamotreach/hosting';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { CancelTimer, Clock } from '@bergamotreach/protocol';
import { runEvery } from '@bergamotreach/protocol';
import { match } from 'ts-pattern';

const leaseSweepMs = 200;
const usageLagMs = 2000;
const endedTaskKeptMs = 120_000;
const usageStepSeconds = 30;
const maxRemovedKept = 1000;

/** What the payload of a task tells the stand-in to do, as JSON. */
export interface TaskPlan {
  /** Run time in milliseconds; default 1000. */
  runMs?: number;
  /** The task fails instead of ending with success. */
  isFailing?: boolean;
  /** The task never completes a checkpoint. */
  ignoresCheckpoint?: boolean;
}

/** Resources of a worker of the stand-in. */
export interface AgentCapacity {
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** One task with its times, for checks in tests and in the demo. */
export interface TaskRecord {
  spec: TaskSpec;
  state: TaskState;
  leaseDeadlineMs: number;
  startedMs: number | undefined;
  endedMs: number | undefined;
  hasCheckpoint: boolean;
  reason: string;
  /** Revision of the task list at which the task changed last. */
  revision: number;
  /** Usage as of that revision, in accelerator-seconds. */
  listedSeconds: number;
}

/** Worker agent of the platform stand-in. */
export interface WorkerAgent {
  /** `undefined` when the epoch is stale; nothing was done then. */
  handleBatch(batch: CommandBatch): CommandResult[] | undefined;
  /** Tasks changed since the cursor, or all of them. */
  listTasks(since?: TaskCursor): TaskChanges;
  listRecords(): TaskRecord[];
  /** While set, every task fails right after its release. */
  setBroken(isBroken: boolean): void;
  /** Loses all tasks and the epoch, as after a power loss. */
  restart(): void;
  stop(): void;
}

function parsePlan(payload: string): TaskPlan {
  try {
    const plan: unknown = JSON.parse(payload);
    return typeof plan === 'object' && plan !== null ? plan : {};
  } catch {
    return {};
  }
}

function isActive(state: TaskState): boolean {
  return state === TaskState.Held || state === TaskState.Running;
}

const okResult: CommandResult = { isOk: true, reason: '' };

function createRefusal(reason: string): CommandResult {
  return { isOk: false, reason };
}

/** Creates an agent. The guard of the platform refuses to hold more than the worker has. */
export function createWorkerAgent(capacity: AgentCapacity, clock: Clock): WorkerAgent {
  const tasks = new Map<string, TaskRecord>();
  const timers = new Map<string, CancelTimer>();
  let epoch = 0;
  let isBroken = false;
  let stream = randomUUID();
  let revision = 0;
  /** Ids of removed tasks with the revision of their removal, oldest first. */
  let removed: { taskId: string; revision: number }[] = [];

  function markChanged(record: TaskRecord): void {
    revision += 1;
    record.revision = revision;
  }

  function endTask(record: TaskRecord, state: TaskState, reason: string): void {
    if (!isActive(record.state)) return;
    record.state = state;
    record.reason = reason;
    record.endedMs = clock.getNowMs();
    markChanged(record);
    timers.get(record.spec.taskId)?.();
    timers.delete(record.spec.taskId);
  }

  function sweep(): void {
    const nowMs = clock.getNowMs();
    for (const [taskId, record] of tasks) {
      if (isActive(record.state) && record.leaseDeadlineMs <= nowMs) {
        endTask(record, TaskState.Stopped, 'lease_expired');
      }
      if (record.endedMs !== undefined && nowMs - record.endedMs > endedTaskKeptMs) {
        tasks.delete(taskId);
        revision += 1;
        removed = [...removed, { taskId, revision }].slice(-maxRemovedKept);
      }
    }
  }

  function hasCapacity(wanted: TaskSpec): boolean {
    const active = [...tasks.values()].filter((record) => isActive(record.state));
    const sum = (pick: (spec: TaskSpec) => number): number =>
      active.reduce((total, record) => total + pick(record.spec), pick(wanted));
    return (
      sum((spec) => spec.accelerators) <= capacity.accelerators &&
      sum((spec) => spec.cores) <= capacity.cores &&
      sum((spec) => spec.memoryMb) <= capacity.memoryMb
    );
  }

  function holdTask(spec: TaskSpec, leaseMs: number): CommandResult {
    const known = tasks.get(spec.taskId);
    if (known !== undefined) {
      return isActive(known.state) ? okResult : createRefusal('task_ended');
    }
    if (!hasCapacity(spec)) return createRefusal('no_capacity');
    const record: TaskRecord = {
      spec,
      state: TaskState.Held,
      leaseDeadlineMs: clock.getNowMs() + leaseMs,
      startedMs: undefined,
      endedMs: undefined,
      hasCheckpoint: false,
      reason: '',
      revision: 0,
      listedSeconds: 0,
    };
    tasks.set(spec.taskId, record);
    markChanged(record);
    return okResult;
  }

  function planEnd(record: TaskRecord): void {
    const plan = parsePlan(record.spec.payload);
    const isFailing = isBroken || plan.isFailing === true;
    const runMs = isBroken ? 0 : (plan.runMs ?? 1000);
    const state = isFailing ? TaskState.Failed : TaskState.Done;
    const cancel = clock.setTimer(runMs, () => {
      endTask(record, state, isFailing ? 'exit_1' : '');
    });
    timers.set(record.spec.taskId, cancel);
  }

  function releaseTask(taskId: string): CommandResult {
    const record = tasks.get(taskId);
    if (record === undefined) return createRefusal('unknown_task');
    if (record.state === TaskState.Running || record.state === TaskState.Done) return okResult;
    if (record.state !== TaskState.Held) return createRefusal('task_ended');
    record.state = TaskState.Running;
    record.startedMs = clock.getNowMs();
    markChanged(record);
    planEnd(record);
    return okResult;
  }

  function checkpointTask(taskId: string): CommandResult {
    const record = tasks.get(taskId);
    if (record === undefined) return createRefusal('unknown_task');
    if (parsePlan(record.spec.payload).ignoresCheckpoint !== true) record.hasCheckpoint = true;
    markChanged(record);
    return okResult;
  }

  function stopTask(taskId: string): CommandResult {
    const record = tasks.get(taskId);
    if (record !== undefined) endTask(record, TaskState.Stopped, 'stop_command');
    return okResult;
  }

  function renewTasks(taskIds: string[], leaseMs: number): CommandResult {
    for (const taskId of taskIds) {
      const record = tasks.get(taskId);
      if (record === undefined || !isActive(record.state)) continue;
      record.leaseDeadlineMs = Math.max(record.leaseDeadlineMs, clock.getNowMs() + leaseMs);
    }
    return okResult;
  }

  function runCommand(command: WorkerCommand): CommandResult {
    return match(command)
      .with({ kind: CommandKind.Hold }, (hold) => holdTask(hold.task, hold.leaseMs))
      .with({ kind: CommandKind.Release }, (release) => releaseTask(release.taskId))
      .with({ kind: CommandKind.Checkpoint }, (checkpoint) => checkpointTask(checkpoint.taskId))
      .with({ kind: CommandKind.Throttle }, () => okResult)
      .with({ kind: CommandKind.Stop }, (stop) => stopTask(stop.taskId))
      .with({ kind: CommandKind.Renew }, (renew) => renewTasks(renew.taskIds, renew.leaseMs))
      .with({ kind: CommandKind.Fence }, () => okResult)
      .exhaustive();
  }

  function handleBatch(batch: CommandBatch): CommandResult[] | undefined {
    sweep();
    if (batch.epoch < epoch) return undefined;
    epoch = batch.epoch;
    return batch.commands.map(runCommand);
  }

  function computeUsedSeconds(record: TaskRecord): number {
    if (record.startedMs === undefined) return 0;
    const seenMs = Math.min(record.endedMs ?? Infinity, clock.getNowMs() - usageLagMs);
    const ranSeconds = Math.max(0, seenMs - record.startedMs) / 1000;
    return ranSeconds * record.spec.accelerators;
  }

  function getStatus(record: TaskRecord): TaskStatus {
    return {
      taskId: record.spec.taskId,
      jobId: record.spec.jobId,
      gangSize: record.spec.gangSize,
      account: record.spec.account,
      accelerators: record.spec.accelerators,
      state: record.state,
      leaseLeftMs: Math.max(0, record.leaseDeadlineMs - clock.getNowMs()),
      usedSeconds: computeUsedSeconds(record),
      hasCheckpoint: record.hasCheckpoint,
      reason: record.reason,
    };
  }

  /** Usage alone counts as a change once it has grown by the usage of half a minute. */
  function markUsage(record: TaskRecord): void {
    const usedSeconds = computeUsedSeconds(record);
    const stepSeconds = usageStepSeconds * Math.max(1, record.spec.accelerators);
    const isDue = usedSeconds - record.listedSeconds >= stepSeconds;
    const isLast = record.endedMs !== undefined && usedSeconds > record.listedSeconds;
    if (!isDue && !isLast) return;
    record.listedSeconds = usedSeconds;
    markChanged(record);
  }

  function canContinue(since: TaskCursor): boolean {
    if (since.stream !== stream || since.revision > revision) return false;
    const oldest = removed[0];
    return removed.length < maxRemovedKept || (oldest?.revision ?? 0) <= since.revision;
  }

  function listTasks(since?: TaskCursor): TaskChanges {
    sweep();
    for (const record of tasks.values()) markUsage(record);
    const isFull = since === undefined || !canContinue(since);
    const from = isFull ? -1 : since.revision;
    const changed = [...tasks.values()].filter((record) => record.revision > from);
    const gone = isFull ? [] : removed.filter((entry) => entry.revision > from);
    return {
      epoch,
      stream,
      revision,
      isFull,
      tasks: changed.map(getStatus),
      removed: gone.map(({ taskId }) => taskId),
    };
  }

  function restart(): void {
    for (const cancel of timers.values()) cancel();
    timers.clear();
    tasks.clear();
    removed = [];
    stream = randomUUID();
    epoch = 0;
  }

  const stopSweep = runEvery(clock, leaseSweepMs, sweep);
  return {
    handleBatch,
    listTasks,
    listRecords: () => [...tasks.values()],
    setBroken: (value) => {
      isBroken = value;
    },
    restart,
    stop: () => {
      stopSweep();
      restart();
    },
  };
}
