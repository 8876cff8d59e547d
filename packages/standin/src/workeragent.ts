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

const expiryCheckMs = 200;
const usageLagMs = 2000;
const endedTaskRetentionMs = 120_000;
const usageStepSeconds = 30;
const maxTombstones = 1000;

/** Simulated behaviour of a task; the JSON payload of its specification. */
export interface TaskPlan {
  /** Execution time in milliseconds; default 1000. */
  runMs?: number;
  /** The task fails at the end of its execution time. */
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

/** State and times of one task, read by tests and the demo. */
export interface TaskRecord {
  spec: TaskSpec;
  state: TaskState;
  leaseDeadlineMs: number;
  startedMs: number | undefined;
  endedMs: number | undefined;
  hasCheckpoint: boolean;
  reason: string;
  /** Revision of the task list in which the task last changed. */
  revision: number;
  /** Usage when it last counted as a change, in accelerator-seconds. */
  listedSeconds: number;
}

/** Simulated agent of one worker: runs the commands of owners and lists the tasks. */
export interface WorkerAgent {
  /** Runs a batch of commands; returns `undefined` and runs none when its epoch is stale. */
  handleBatch(batch: CommandBatch): CommandResult[] | undefined;
  /** Lists the tasks changed since the cursor; all tasks without a usable cursor. */
  listTasks(since?: TaskCursor): TaskChanges;
  listRecords(): TaskRecord[];
  /** While set, every task fails immediately after its release. */
  setBroken(isBroken: boolean): void;
  /** Drops all tasks and the epoch, as after a power failure. */
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

/** Creates an agent that refuses to hold tasks beyond the capacity of its worker. */
export function createWorkerAgent(capacity: AgentCapacity, clock: Clock): WorkerAgent {
  const tasks = new Map<string, TaskRecord>();
  const timers = new Map<string, CancelTimer>();
  let epoch = 0;
  let isBroken = false;
  let stream = randomUUID();
  let revision = 0;
  /** Removed tasks with the revision of their removal, oldest first. */
  let tombstones: { taskId: string; revision: number }[] = [];

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

  function checkExpiry(): void {
    const nowMs = clock.getNowMs();
    for (const [taskId, record] of tasks) {
      if (isActive(record.state) && record.leaseDeadlineMs <= nowMs) {
        endTask(record, TaskState.Stopped, 'lease_expired');
      }
      if (record.endedMs !== undefined && nowMs - record.endedMs > endedTaskRetentionMs) {
        tasks.delete(taskId);
        revision += 1;
        tombstones = [...tombstones, { taskId, revision }].slice(-maxTombstones);
      }
    }
  }

  function hasCapacity(requested: TaskSpec): boolean {
    const active = [...tasks.values()].filter((record) => isActive(record.state));
    const sum = (pick: (spec: TaskSpec) => number): number =>
      active.reduce((total, record) => total + pick(record.spec), pick(requested));
    return (
      sum((spec) => spec.accelerators) <= capacity.accelerators &&
      sum((spec) => spec.cores) <= capacity.cores &&
      sum((spec) => spec.memoryMb) <= capacity.memoryMb
    );
  }

  function holdTask(spec: TaskSpec, leaseMs: number): CommandResult {
    const existing = tasks.get(spec.taskId);
    if (existing !== undefined) {
      return isActive(existing.state) ? okResult : createRefusal('task_ended');
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

  function scheduleEnd(record: TaskRecord): void {
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
    scheduleEnd(record);
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
    checkExpiry();
    if (batch.epoch < epoch) return undefined;
    epoch = batch.epoch;
    return batch.commands.map(runCommand);
  }

  function computeUsedSeconds(record: TaskRecord): number {
    if (record.startedMs === undefined) return 0;
    const countedUntilMs = Math.min(record.endedMs ?? Infinity, clock.getNowMs() - usageLagMs);
    const runSeconds = Math.max(0, countedUntilMs - record.startedMs) / 1000;
    return runSeconds * record.spec.accelerators;
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

  /** Lists a task again once it has used its accelerators for 30 s more, or its final usage is known. */
  function recordUsage(record: TaskRecord): void {
    const usedSeconds = computeUsedSeconds(record);
    const stepSeconds = usageStepSeconds * Math.max(1, record.spec.accelerators);
    const isDue = usedSeconds - record.listedSeconds >= stepSeconds;
    const isLast = record.endedMs !== undefined && usedSeconds > record.listedSeconds;
    if (!isDue && !isLast) return;
    record.listedSeconds = usedSeconds;
    markChanged(record);
  }

  function canSendChanges(since: TaskCursor): boolean {
    if (since.stream !== stream || since.revision > revision) return false;
    const oldest = tombstones[0];
    return tombstones.length < maxTombstones || (oldest?.revision ?? 0) <= since.revision;
  }

  function listTasks(since?: TaskCursor): TaskChanges {
    checkExpiry();
    for (const record of tasks.values()) recordUsage(record);
    const isFull = since === undefined || !canSendChanges(since);
    const from = isFull ? -1 : since.revision;
    const changed = [...tasks.values()].filter((record) => record.revision > from);
    const newTombstones = isFull ? [] : tombstones.filter((entry) => entry.revision > from);
    return {
      epoch,
      stream,
      revision,
      isFull,
      tasks: changed.map(getStatus),
      removed: newTombstones.map(({ taskId }) => taskId),
    };
  }

  function restart(): void {
    for (const cancel of timers.values()) cancel();
    timers.clear();
    tasks.clear();
    tombstones = [];
    stream = randomUUID();
    epoch = 0;
  }

  const stopExpiryChecks = runEvery(clock, expiryCheckMs, checkExpiry);
  return {
    handleBatch,
    listTasks,
    listRecords: () => [...tasks.values()],
    setBroken: (value) => {
      isBroken = value;
    },
    restart,
    stop: () => {
      stopExpiryChecks();
      restart();
    },
  };
}
