import { CommandKind, TaskState, WorkerClient } from '@bergamotreach/hosting';
import type {
  CommandBatch,
  CommandResult,
  TaskSpec,
  TaskStatus,
  WorkerCommand,
  WorkerTasks,
} from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, ManualClock } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { FakeProcess } from '../../ownership/tests/fakeprocess.ts';

/** What happens to calls to a worker. */
export enum WorkerFault {
  None = 'none',
  Unreachable = 'unreachable',
  /** Commands are applied, but the reply is lost. */
  LostReply = 'lostReply',
  /** The call arrives after half of `hungCallMs`, and is lost if the worker still hangs then. */
  Hung = 'hung',
  /** The call gets no reply and is applied `delayMs` later. */
  Delayed = 'delayed',
}

/** Timeout of calls to a worker that hangs. */
const hungCallMs = 10_000;

/** A batch that a worker accepted. */
export interface AcceptedBatch {
  worker: string;
  processId: string;
  epoch: number;
  commands: WorkerCommand[];
  sentMs: number;
  atMs: number;
}

interface Task {
  spec: TaskSpec;
  state: TaskState;
  leaseUntilMs: number;
  runsUntilMs: number;
  startedMs: number;
  hasCheckpoint: boolean;
  reason: string;
}

/** A worker with accelerators, leased tasks and, unless `hasFence` is false, fencing by epoch. */
export class FakeWorker {
  epoch = 0;
  fault = WorkerFault.None;
  /** Longer than a takeover, so that commands of a deposed owner arrive after it. */
  delayMs = 8_000;
  /** Whether tasks fail as soon as they are released. */
  isFailing = false;
  hasFence = true;
  /** Runs tasks as soon as they are held, which a correct worker never does. */
  runsOnHold = false;
  readonly tasks = new Map<string, Task>();

  constructor(
    readonly id: string,
    readonly accelerators: number,
    private readonly clock: ManualClock,
  ) {}

  /** Updates the state of tasks that ended or whose lease expired. */
  refresh(): void {
    const nowMs = this.clock.getNowMs();
    for (const task of this.tasks.values()) {
      if (task.state === TaskState.Running && task.runsUntilMs <= nowMs) {
        if (task.runsUntilMs < task.leaseUntilMs) task.state = TaskState.Done;
      }
      if (isOccupying(task) && task.leaseUntilMs <= nowMs) {
        task.state = TaskState.Stopped;
        task.reason = 'lease_expired';
      }
    }
  }

  apply(batch: CommandBatch): Result<CommandResult[], Fault> {
    this.refresh();
    if (this.hasFence && batch.epoch < this.epoch) {
      return Err(createFault(FaultCode.StaleEpoch, `epoch ${this.epoch}`));
    }
    this.epoch = Math.max(this.epoch, batch.epoch);
    return Ok(batch.commands.map((command) => this.applyCommand(command)));
  }

  listTasks(): WorkerTasks {
    this.refresh();
    const nowMs = this.clock.getNowMs();
    const tasks = [...this.tasks.values()].map((task): TaskStatus => ({
      taskId: task.spec.taskId,
      jobId: task.spec.jobId,
      gangSize: task.spec.gangSize,
      account: task.spec.account,
      accelerators: task.spec.accelerators,
      state: task.state,
      leaseLeftMs: task.leaseUntilMs - nowMs,
      usedSeconds: task.startedMs === 0 ? 0 : Math.floor((nowMs - task.startedMs) / 1000),
      hasCheckpoint: task.hasCheckpoint,
      reason: task.reason,
    }));
    return { epoch: this.epoch, tasks };
  }

  private applyCommand(command: WorkerCommand): CommandResult {
    switch (command.kind) {
      case CommandKind.Hold:
        return this.hold(command.task, command.leaseMs);
      case CommandKind.Release:
        return this.release(command.taskId);
      case CommandKind.Stop:
        return this.stop(command.taskId);
      case CommandKind.Renew:
        return this.renew(command.taskIds, command.leaseMs);
      case CommandKind.Checkpoint: {
        const task = this.tasks.get(command.taskId);
        if (task !== undefined) task.hasCheckpoint = true;
        return createResult(task !== undefined, 'unknown_task');
      }
      case CommandKind.Throttle:
      case CommandKind.Fence:
        return createResult(true);
    }
  }

  private hold(spec: TaskSpec, leaseMs: number): CommandResult {
    const present = [...this.tasks.values()].filter(isOccupying);
    const used = present.reduce((sum, task) => sum + task.spec.accelerators, 0);
    const known = this.tasks.get(spec.taskId);
    if (known !== undefined) return createResult(isOccupying(known), known.reason);
    if (used + spec.accelerators > this.accelerators) return createResult(false, 'no_capacity');
    this.tasks.set(spec.taskId, {
      spec,
      state: this.runsOnHold ? TaskState.Running : TaskState.Held,
      leaseUntilMs: this.clock.getNowMs() + leaseMs,
      runsUntilMs: Infinity,
      startedMs: 0,
      hasCheckpoint: false,
      reason: '',
    });
    return createResult(true);
  }

  private release(taskId: string): CommandResult {
    const task = this.tasks.get(taskId);
    if (task === undefined || task.state === TaskState.Stopped) {
      return createResult(false, 'unknown_task');
    }
    if (task.state !== TaskState.Held) return createResult(true);
    task.state = this.isFailing ? TaskState.Failed : TaskState.Running;
    task.startedMs = this.clock.getNowMs();
    task.runsUntilMs = task.startedMs + Number(task.spec.payload);
    return createResult(!this.isFailing, 'failed');
  }

  private stop(taskId: string): CommandResult {
    const task = this.tasks.get(taskId);
    if (task !== undefined && isOccupying(task)) task.state = TaskState.Stopped;
    return createResult(true);
  }

  private renew(taskIds: string[], leaseMs: number): CommandResult {
    const tasks = taskIds.map((taskId) => this.tasks.get(taskId));
    for (const task of tasks) {
      if (task !== undefined) task.leaseUntilMs = this.clock.getNowMs() + leaseMs;
    }
    return createResult(!tasks.includes(undefined), 'unknown_task');
  }
}

function isOccupying(task: Task): boolean {
  return task.state === TaskState.Held || task.state === TaskState.Running;
}

function createResult(isOk: boolean, reason = ''): CommandResult {
  return { isOk, reason: isOk ? '' : reason };
}

/** All workers, shared by the clients of all processes. */
export class WorkerFleet {
  readonly workers = new Map<string, FakeWorker>();
  readonly accepted: AcceptedBatch[] = [];
  readonly listeners: ((batch: AcceptedBatch) => void)[] = [];
  /** Called with each batch that a process sends, whether it arrives or not. */
  readonly sendListeners: ((batch: AcceptedBatch) => void)[] = [];
  calls = 0;

  constructor(readonly clock: ManualClock) {}

  add(id: string, accelerators: number): FakeWorker {
    const worker = new FakeWorker(id, accelerators, this.clock);
    this.workers.set(id, worker);
    return worker;
  }

  accept(batch: AcceptedBatch): Result<CommandResult[], Fault> {
    const worker = this.workers.get(batch.worker);
    if (worker === undefined) return createUnreachable();
    const result = worker.apply(batch);
    if (result.isErr()) return result;
    const accepted = { ...batch, atMs: this.clock.getNowMs() };
    this.accepted.push(accepted);
    for (const listener of this.listeners) listener(accepted);
    return result;
  }

  listTasks(): { worker: string; task: TaskStatus }[] {
    return [...this.workers.values()].flatMap((worker) =>
      worker.listTasks().tasks.map((task) => ({ worker: worker.id, task })),
    );
  }
}

function createUnreachable(): Result<never, Fault> {
  return Err(createFault(FaultCode.WorkerUnavailable, 'no reply'));
}

/** Client through which one process reaches the fleet. */
export class FakeWorkerClient extends WorkerClient {
  constructor(
    private readonly fleet: WorkerFleet,
    private readonly process: FakeProcess,
  ) {
    super();
  }

  async sendCommands(
    _address: string,
    workerId: string,
    batch: CommandBatch,
  ): Promise<Result<CommandResult[], Fault>> {
    const sentMs = this.process.getNowMs();
    const sent = { ...batch, worker: workerId, processId: this.process.id, sentMs, atMs: sentMs };
    if (this.process.isAlive()) for (const listener of this.fleet.sendListeners) listener(sent);
    return this.process.call(() => this.deliver(sent), this.getLatency(workerId));
  }

  async listTasks(_address: string, workerId: string): Promise<Result<WorkerTasks, Fault>> {
    return this.process.call(() => {
      this.fleet.calls += 1;
      const worker = this.fleet.workers.get(workerId);
      if (worker?.fault !== WorkerFault.None) return createUnreachable();
      return Ok(worker.listTasks());
    }, this.getLatency(workerId));
  }

  private getLatency(workerId: string): number {
    return this.fleet.workers.get(workerId)?.fault === WorkerFault.Hung ? hungCallMs : 0;
  }

  private deliver(sent: AcceptedBatch): Result<CommandResult[], Fault> {
    this.fleet.calls += 1;
    const worker = this.fleet.workers.get(sent.worker);
    switch (worker?.fault) {
      case WorkerFault.None:
        return this.fleet.accept(sent);
      case WorkerFault.LostReply:
        this.fleet.accept(sent);
        return createUnreachable();
      case WorkerFault.Delayed:
        this.fleet.clock.setTimer(worker.delayMs, () => this.fleet.accept(sent));
        return createUnreachable();
      case WorkerFault.Unreachable:
      case WorkerFault.Hung:
      case undefined:
        return createUnreachable();
    }
  }
}
