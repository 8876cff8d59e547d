import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Fault, ManualClock } from '@bergamotreach/protocol';
import { RunEnd } from '@bergamotreach/scheduling';
import type { Resources } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { OrderStatus, RefusalReason, TaskRunner } from '../src/index.ts';
import type {
  EndedRun,
  OrderReply,
  ReportRequest,
  RunStatus,
  StartOrder,
  StopOrder,
  WorkerAddress,
  WorkerReport,
} from '../src/index.ts';

interface ActiveRun {
  run: number;
  beganAtMs: number;
  endsAtMs: number;
  fencingToken: number;
}

/** Accelerators of each fake worker. */
export const workerSlots = 4;
const maxLeaseMs = 10_000;
const stopMs = 300;
const lostAnswerMs = 350;
/**
 * Must not be 0: an owner that is loading calls again at once while ended runs are unacknowledged.
 */
const usualReportMs = 4;
const none = RefusalReason.None;

/**
 * Worker that runs tasks, keeps ended runs until they are acknowledged, and kills all runs when its
 * lease ends.
 */
export class FakeWorker {
  readonly active = new Map<string, ActiveRun>();
  readonly ended: EndedRun[] = [];
  /** Number of ends that a report lists at most. */
  maxListedEnds = Infinity;
  /** Whether reports tell that more ends follow. */
  tellsMoreEnds = true;
  /** All runs that ever began. */
  readonly startedRuns: { task: string; run: number; atMs: number }[] = [];
  readonly highestRuns = new Map<string, number>();
  private sequence = 0;
  fencingToken = 0;
  bornAtMs = 1;
  private startedAtMs = 0;
  leaseUntilMs = Infinity;
  ackedSequence = 0;
  /** Calls get no answer and have no effect. */
  isUnreachable = false;
  /** The process has crashed: connections are refused. */
  isDown = false;
  /** A worker with another id has taken over the address. */
  isReplaced = false;
  /** Called when a run begins. */
  onStart: (task: string) => void = () => undefined;
  /** Orders get no answer and take effect after this delay; 0 turns this off. */
  orderDelayMs = 0;
  /** Number of next stops that get no answer and have no effect. */
  lostStops = 0;
  /** Number of next stops that are refused, as by an unhealthy worker. */
  refusedStops = 0;
  /** Round-trip time of a report. */
  reportMs = usualReportMs;
  /** Restarts right before the next start arrives. */
  restartsAtStart = false;
  /** Number of starts that did not fit. */
  overloads = 0;
  /** Number of tasks that fit. */
  slots = workerSlots;
  /** Whether starts that do not fit are refused. */
  isGuarded = true;
  /** What reports say of the capacity; absent if they do not. */
  reportedCapacity: Resources | undefined;
  /** Whether a start has the ticket that it needs. */
  hasValidTicket: (order: StartOrder) => boolean = () => true;
  /** Number of starts that were refused for want of a ticket. */
  ticketRefusals = 0;
  /** How runs end on this worker. */
  end = RunEnd.Done;
  /** Time between two checkpoints of a run; 0 means no checkpoints. */
  checkpointIntervalMs = 0;

  constructor(
    readonly id: string,
    readonly clock: ManualClock,
    readonly runMs: number,
  ) {}

  /** The worker's own clock, which restarts with each incarnation. */
  getClockMs(): number {
    return this.clock.getNowMs() - this.startedAtMs;
  }

  /** Ends the process: all runs are gone, and nothing answers until `restart`. */
  crash(): void {
    this.isDown = true;
    this.active.clear();
  }

  /** Starts a new incarnation without any memory of the previous one. */
  restart(): void {
    this.isDown = false;
    this.startedAtMs = this.clock.getNowMs();
    this.active.clear();
    this.ended.length = 0;
    this.highestRuns.clear();
    this.sequence = 0;
    this.fencingToken = 0;
    this.ackedSequence = 0;
    this.leaseUntilMs = Infinity;
    this.bornAtMs += 1;
  }

  /** Ends the runs that are due by now. */
  updateRuns(): void {
    const nowMs = this.getClockMs();
    for (const [task, run] of [...this.active]) {
      if (run.endsAtMs <= Math.min(nowMs, this.leaseUntilMs)) this.finish(task, run.run, this.end);
    }
    if (nowMs < this.leaseUntilMs) return;
    for (const [task, run] of [...this.active]) this.finish(task, run.run, RunEnd.LeaseExpired);
  }

  private finish(task: string, run: number, end: RunEnd): void {
    const checkpoint = end === RunEnd.Done ? '' : this.getCheckpoint(task, end === RunEnd.Stopped);
    this.active.delete(task);
    this.sequence += 1;
    this.ended.push({ sequence: this.sequence, task, run, end, checkpoint });
  }

  /** Latest checkpoint of a run; names the task and the run that saved it. */
  private getCheckpoint(task: string, isStopped = false): string {
    const active = this.active.get(task);
    if (active === undefined || this.checkpointIntervalMs === 0) return '';
    const saves = Math.floor((this.getClockMs() - active.beganAtMs) / this.checkpointIntervalMs);
    if (isStopped) return `${task}/${active.run}/stop`;
    return saves === 0 ? '' : `${task}/${active.run}/${saves}`;
  }

  start(order: StartOrder): OrderReply {
    this.updateRuns();
    const clockMs = this.getClockMs();
    if (order.fencingToken < this.fencingToken)
      return { status: OrderStatus.Fenced, reason: none, clockMs };
    this.fencingToken = order.fencingToken;
    const refuse = (reason: RefusalReason): OrderReply => ({
      status: OrderStatus.Refused,
      reason,
      clockMs,
    });
    if (this.active.get(order.task)?.run === order.run) {
      return { status: OrderStatus.Accepted, reason: none, clockMs };
    }
    if ((this.highestRuns.get(order.task) ?? 0) >= order.run) return refuse(RefusalReason.OldRun);
    if (order.leaseUntilMs <= clockMs) return refuse(RefusalReason.TooLate);
    if (!this.hasValidTicket(order)) {
      this.ticketRefusals += 1;
      return refuse(RefusalReason.BadTicket);
    }
    if (this.active.size >= this.slots) {
      this.overloads += 1;
      if (this.isGuarded) return refuse(RefusalReason.NoRoom);
    }
    this.highestRuns.set(order.task, order.run);
    this.renewLease(order.leaseUntilMs);
    const endsAtMs = clockMs + this.runMs;
    const { run, fencingToken } = order;
    this.active.set(order.task, { run, beganAtMs: clockMs, endsAtMs, fencingToken });
    this.startedRuns.push({ task: order.task, run: order.run, atMs: clockMs });
    this.onStart(order.task);
    return { status: OrderStatus.Accepted, reason: none, clockMs };
  }

  stop(order: StopOrder): OrderReply {
    this.updateRuns();
    const clockMs = this.getClockMs();
    if (order.fencingToken < this.fencingToken)
      return { status: OrderStatus.Fenced, reason: none, clockMs };
    this.fencingToken = order.fencingToken;
    this.highestRuns.set(order.task, Math.max(order.run, this.highestRuns.get(order.task) ?? 0));
    const active = this.active.get(order.task);
    if (active !== undefined && active.run <= order.run) {
      this.clock.setTimer(stopMs, () => {
        if (this.active.get(order.task) === active) {
          this.finish(order.task, active.run, RunEnd.Stopped);
        }
      });
    }
    return { status: OrderStatus.Accepted, reason: none, clockMs };
  }

  report(request: ReportRequest): Result<WorkerReport, Fault> {
    this.updateRuns();
    if (request.fencingToken < this.fencingToken)
      return Err(createFault(FaultCode.StaleEpoch, 'fenced'));
    this.fencingToken = request.fencingToken;
    this.ackedSequence = Math.max(this.ackedSequence, request.ackedSequence);
    if (request.leaseUntilMs !== undefined) this.renewLease(request.leaseUntilMs);
    const runs: RunStatus[] = [...this.active].map(([task, { run, endsAtMs }]) => ({
      task,
      run,
      checkpoint: this.getCheckpoint(task),
      percent: Math.floor(100 * Math.min(1, 1 - (endsAtMs - this.getClockMs()) / this.runMs)),
    }));
    const unacknowledged = this.ended.filter(({ sequence }) => sequence > this.ackedSequence);
    const ends = unacknowledged.slice(0, this.maxListedEnds);
    const hasMoreEnds = this.tellsMoreEnds && unacknowledged.length >= this.maxListedEnds;
    const capacity = this.reportedCapacity;
    const known = { clockMs: this.getClockMs(), bornAtMs: this.bornAtMs, runs, ends, hasMoreEnds };
    return Ok(capacity === undefined ? known : { ...known, capacity });
  }

  private renewLease(untilMs: number): void {
    const current = this.leaseUntilMs === Infinity ? 0 : this.leaseUntilMs;
    const limit = this.getClockMs() + maxLeaseMs;
    this.leaseUntilMs = Math.max(current, Math.min(untilMs, limit));
  }
}

/** A start as it was sent. */
export interface SentStart extends StartOrder {
  worker: string;
  sentAtMs: number;
}

/** The workers as one process reaches them. */
export class FakeRunner extends TaskRunner {
  /** All starts that were sent. */
  readonly starts: SentStart[] = [];
  /** Starts without an answer yet, and the most of them at any time. */
  private openStarts = 0;
  mostOpenStarts = 0;

  constructor(
    private readonly workers: ReadonlyMap<string, FakeWorker>,
    private readonly process: FakeProcess,
  ) {
    super();
  }

  start(address: WorkerAddress, order: StartOrder): Promise<OrderReply> {
    this.starts.push({ ...order, worker: address.id, sentAtMs: this.process.getNowMs() });
    const addressed = this.workers.get(address.id);
    if (addressed?.restartsAtStart === true) {
      addressed.restartsAtStart = false;
      addressed.restart();
    }
    this.openStarts += 1;
    this.mostOpenStarts = Math.max(this.mostOpenStarts, this.openStarts);
    return this.sendOrder(address, (worker) => worker.start(order)).finally(() => {
      this.openStarts -= 1;
    });
  }

  async stop(address: WorkerAddress, order: StopOrder): Promise<OrderReply> {
    const worker = this.workers.get(address.id);
    if (worker !== undefined && worker.lostStops > 0) {
      worker.lostStops -= 1;
      await waitFor(this.process, lostAnswerMs);
      return { status: OrderStatus.Unknown, reason: none };
    }
    if (worker !== undefined && worker.refusedStops > 0) {
      worker.refusedStops -= 1;
      const reason = RefusalReason.Unhealthy;
      return this.process.call(() => ({ status: OrderStatus.Refused, reason }));
    }
    return this.sendOrder(address, (one) => one.stop(order));
  }

  async report(
    address: WorkerAddress,
    request: ReportRequest,
  ): Promise<Result<WorkerReport, Fault>> {
    const worker = this.workers.get(address.id);
    const endMs = this.process.getNowMs() + request.waitMs;
    const incarnation = worker?.bornAtMs;
    for (;;) {
      // The connection ends with the incarnation that took the call.
      if (worker?.isReplaced === true) {
        return this.process.call(() => Err(createFault(FaultCode.NotFound, 'another worker')));
      }
      if (worker?.bornAtMs !== incarnation || worker?.isDown === true) {
        await waitFor(this.process, usualReportMs);
        return Err(createFault(FaultCode.WorkerUnavailable, 'connection reset'));
      }
      if (worker === undefined || worker.isUnreachable) {
        await waitFor(this.process, lostAnswerMs);
        return Err(createFault(FaultCode.WorkerUnavailable, 'no answer'));
      }
      const report = await this.process.call(() => worker.report(request), worker.reportMs);
      const isDue = this.process.getNowMs() >= endMs;
      if (report.isErr() || report.value.ends.length > 0 || isDue) return report;
      await waitFor(this.process, 50);
    }
  }

  closeConnections(): void {
    return;
  }

  private async sendOrder(
    address: WorkerAddress,
    execute: (worker: FakeWorker) => OrderReply,
  ): Promise<OrderReply> {
    const worker = this.workers.get(address.id);
    const lost: OrderReply = { status: OrderStatus.Unknown, reason: none };
    if (worker?.isReplaced === true) {
      return this.process.call(() => ({ status: OrderStatus.OtherIncarnation, reason: none }));
    }
    if (worker?.isDown === true) return this.process.call(() => lost);
    if (worker !== undefined && !worker.isUnreachable && worker.orderDelayMs === 0) {
      return this.process.call(() => execute(worker));
    }
    if (worker !== undefined && worker.orderDelayMs > 0) {
      worker.clock.setTimer(worker.orderDelayMs, () => execute(worker));
    }
    await waitFor(this.process, lostAnswerMs);
    return lost;
  }
}
