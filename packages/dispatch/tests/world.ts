import { Feed } from '@bergamotreach/hosting';
import type { FeedItem, FeedPage, RowValue } from '@bergamotreach/hosting';
import { LeaseState, createGroupCommitter, createRegionLease } from '@bergamotreach/ownership';
import type { RegionLease } from '@bergamotreach/ownership';
import {
  FaultCode,
  createFault,
  createManualClock,
  createNullLogger,
  createNullMetrics,
  waitFor,
} from '@bergamotreach/protocol';
import type { Fault, ManualClock } from '@bergamotreach/protocol';
import { JobState, createPlanPolicy } from '@bergamotreach/scheduling';
import type { AdviceRules, JobSubmission, StepSpec } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FakeProcess } from '../../ownership/tests/fakeprocess.ts';
import { FakeTable, TableFault, TableState } from '../../ownership/tests/faketable.ts';
import type { AcceptedCommit } from '../../ownership/tests/faketable.ts';
import { createStep } from '../../scheduling/tests/samples.ts';
import {
  OperatorRowKind,
  createOperatorRows,
  createTableReplica,
  createStateRow,
} from '../src/index.ts';
import type { JobRow, OperatorRow, ServiceConfig, StateRow, WorkerEntry } from '../src/index.ts';
import { createOwner } from '../src/owner.ts';
import type { Owner } from '../src/owner.ts';
import { FakeAdvisor } from './fakeadvisor.ts';
import { FakeRunner, FakeWorker, workerSlots } from './fakeworkers.ts';

interface Change {
  key: string;
  version: number;
  value: RowValue | null;
  atMs: number;
}

/** Change feed of the rows with a key prefix; each page has only the newest value of a row. */
export class FakeFeed<T> extends Feed<T> {
  private readonly changes: Change[] = [];
  /** Reads fail, though the store answers all other calls. */
  isCut = false;
  /** The next read is a snapshot, as after the store has dropped its history. */
  hasLostHistory = false;
  /** Time that a page with changes takes to arrive. */
  transferMs = 0;
  private isTransferring = false;

  constructor(
    private readonly state: TableState,
    private readonly process: FakeProcess,
    private readonly prefix: string,
    /** How long changes take to show. */
    private readonly delayMs = 0,
    /** Whether a snapshot, too, lacks rows that were added within `delayMs`. */
    private readonly isSnapshotDelayed = false,
  ) {
    super();
    for (const [index, commit] of state.accepted.entries()) this.addChanges(commit, index + 1);
    state.listeners.push((commit) => {
      this.addChanges(commit, state.version);
    });
  }

  private addChanges({ writes, atMs }: AcceptedCommit, version: number): void {
    for (const { key, value } of writes) this.changes.push({ key, version, value, atMs });
  }

  load(): Promise<Result<FeedPage<T>, Fault>> {
    return this.answer(() => ({
      items: this.listSnapshotKeys().map((key) => {
        const row = this.state.rows.get(key);
        return this.createItem(key, row?.version ?? 0, row?.value ?? null);
      }),
      isSnapshot: true,
      position: this.isSnapshotDelayed
        ? (this.listShown(-1).at(-1)?.version ?? 0)
        : this.state.version,
    }));
  }

  async wait(position: number, waitMs: number): Promise<Result<FeedPage<T>, Fault>> {
    const endMs = this.process.getNowMs() + waitMs;
    const hasNews = (): boolean => this.listNewest(position).length > 0;
    while (!hasNews() && this.process.getNowMs() < endMs) await waitFor(this.process, 20);
    if (this.hasLostHistory) {
      this.hasLostHistory = false;
      return this.load();
    }
    if (hasNews() && this.transferMs > 0) return this.sendSlowly(position);
    return this.answer(() => this.createPage(position));
  }

  override isReceiving(): boolean {
    return this.isTransferring;
  }

  override loadUrgent(): Promise<Result<FeedItem<T>[], Fault>> {
    return this.call(() =>
      this.listSnapshotKeys()
        .filter((key) => key.startsWith(`${this.prefix}evacuate/`))
        .map((key) => {
          const row = this.state.rows.get(key);
          return this.createItem(key, row?.version ?? 0, row?.value ?? null);
        }),
    );
  }

  /** Sends a page that shows the rows as of now and arrives later. */
  private async sendSlowly(position: number): Promise<Result<FeedPage<T>, Fault>> {
    const page = this.createPage(position);
    this.isTransferring = true;
    await waitFor(this.process, this.transferMs);
    this.isTransferring = false;
    return this.answer(() => page);
  }

  private createPage(position: number): FeedPage<T> {
    return {
      items: this.listNewest(position).map(({ key, version, value }) =>
        this.createItem(key, version, value),
      ),
      isSnapshot: false,
      position: this.listShown(position).at(-1)?.version ?? position,
    };
  }

  private listSnapshotKeys(): string[] {
    const keys = this.state.listKeys(this.prefix);
    if (!this.isSnapshotDelayed) return keys;
    const shown = new Set(this.listShown(-1).map(({ key }) => key));
    return keys.filter((key) => shown.has(key));
  }

  private listShown(position: number): Change[] {
    const untilMs = this.process.getNowMs() - this.delayMs;
    return this.changes.filter(({ version, atMs }) => version > position && atMs <= untilMs);
  }

  private listNewest(position: number): Change[] {
    const own = this.listShown(position).filter(({ key }) => key.startsWith(this.prefix));
    const last = new Map(own.map((change) => [change.key, change]));
    return own.filter((change) => last.get(change.key) === change);
  }

  private createItem(key: string, version: number, value: RowValue | null): FeedItem<T> {
    const copy = value === null ? undefined : (structuredClone(value) as unknown as T);
    return { key: key.slice(this.prefix.length), version, value: copy };
  }

  private answer(getPage: () => FeedPage<T>): Promise<Result<FeedPage<T>, Fault>> {
    return this.call(getPage);
  }

  private call<V>(getValue: () => V): Promise<Result<V, Fault>> {
    return this.process.call(() =>
      this.isCut || this.state.fault === TableFault.Down
        ? Err(createFault(FaultCode.StoreUnavailable, 'connection refused'))
        : Ok(getValue()),
    );
  }
}

/** A process that competes for the ownership. */
export interface Candidate {
  process: FakeProcess;
  lease: RegionLease;
  /** The runner that all its owners use. */
  runner: FakeRunner;
  operatorFeed: FakeFeed<OperatorRow>;
  /** The worker list as all its owners read it. */
  workerFeed: FakeFeed<WorkerEntry>;
  getOwner: () => Owner | undefined;
}

/** The store, workers and candidate owners of a test. */
export interface World {
  clock: ManualClock;
  store: TableState;
  workers: Map<string, FakeWorker>;
  /** The candidates in the order in which they were added. */
  candidates: Candidate[];
  advisor: FakeAdvisor;
  /** Queues of the configuration besides `q1`, with the rules of their advisor if they have one. */
  queues: Map<string, AdviceRules | undefined>;
  /** Queues whose starts the workers refuse without a valid ticket. */
  guardedQueues: Set<string>;
  /** Guaranteed accelerators by account. */
  guarantees: Map<string, number>;
  /**
   * Adds a candidate; changes reach its replica of the job states `stateDelayMs` late and its owner's
   * replica of the jobs `jobDelayMs` late.
   */
  addCandidate: (id: string, stateDelayMs?: number, jobDelayMs?: number) => Candidate;
  submit: (id: string, steps: Partial<StepSpec>[], changes?: Partial<JobSubmission>) => void;
  cancel: (id: string) => void;
  /** Evacuates a data centre. */
  evacuate: (dataCentre: string) => void;
  /** Ends the evacuation of a data centre. */
  endEvacuation: (dataCentre: string) => void;
  /** Lists a worker as draining; it leaves after `remainingMs`, by default the longest lease. */
  drainWorker: (id: string, remainingMs?: number) => void;
  /** Removes a worker from the list. */
  unlistWorker: (id: string) => void;
  /** Lists a worker with room for this many tasks of one accelerator. */
  resizeWorker: (id: string, slots: number) => void;
  /** Puts a worker back on the list. */
  listWorker: (id: string) => void;
  /**
   * Crashes a worker. After `downMs` it is back under the same id, or as another worker at the same
   * address.
   */
  crashWorker: (id: string, downMs: number, comesBack?: ComeBack) => void;
  /** Crashes each worker that begins this task, `afterMs` after the start. */
  crashOnStart: (task: string, afterMs?: number, comesBack?: ComeBack) => void;
  /** Restarts a worker under the same id and lists it with some changes. */
  restartWorker: (id: string, changes?: Partial<WorkerEntry>) => void;
  getState: (id: string) => JobState | undefined;
  /** Runs that began, in order of time. */
  listStartedRuns: () => { task: string; run: number; atMs: number; worker: string }[];
}

/** How a worker comes back after a crash. */
export enum ComeBack {
  SameId = 'same_id',
  NewId = 'new_id',
}

export const runMs = 1000;
const maxLeaseMs = 10_000;
/** How long a worker is down after a crash, and how long its entry outlives it. */
const crashDownMs = 3000;
const entryExpiryMs = 4500;
const logger = createNullLogger();
const metrics = createNullMetrics();

function createEntry(id: string, dataCentreCount: number): WorkerEntry {
  const index = Number.parseInt(id.slice(1), 10);
  return {
    id,
    bornAtMs: 1,
    address: id,
    pool: 'p1',
    dataCentre: `d${(index % dataCentreCount) + 1}`,
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: { cpuMillis: 32_000, memoryMb: 64_000, accelerators: workerSlots },
    isDraining: false,
    drainRemainingMs: Infinity,
  };
}

/**
 * Creates a world with idle workers and no candidate. Workers are called `w0`, `w1` and so on, and take
 * turns in the data centres `d1`, `d2` and so on.
 */
export function createWorld(
  workerCount = 2,
  taskMs = runMs,
  dataCentreCount = 1,
  policy = createPlanPolicy(),
): World {
  const clock = createManualClock();
  const store = new TableState(clock);
  const workers = new Map<string, FakeWorker>();
  const candidates: Candidate[] = [];
  const advisor = new FakeAdvisor(clock);
  const guarantees = new Map<string, number>();
  const queues = new Map<string, AdviceRules | undefined>();
  const guardedQueues = new Set<string>();
  let operations = 0;
  /** Tasks that crash their workers. */
  const crashing = new Map<string, { afterMs: number; comesBack: ComeBack }>();

  function apply(key: string, value: RowValue): void {
    const version = store.rows.get(key)?.version ?? 0;
    const operationId = `test/${operations++}`;
    store.apply({ operationId, conditions: [{ key, version }], writes: [{ key, value }] }, 't', 0);
  }

  function findQueueName(name: string): string {
    const row = store.rows.get(`job/${name.split('.')[0] ?? ''}`)?.value as unknown;
    return (row as JobRow | undefined)?.submission.queue ?? '';
  }

  advisor.findRules = (step) => queues.get(findQueueName(step));
  advisor.getBornAtMs = (id) => workers.get(id)?.bornAtMs ?? 0;

  function addWorker(id: string): FakeWorker {
    const worker = new FakeWorker(id, clock, taskMs);
    worker.hasValidTicket = ({ task, ticket }) =>
      !guardedQueues.has(findQueueName(task)) ||
      advisor.isValid(task.split('.').slice(0, -1).join('.'), id, ticket);
    worker.onStart = (task) => {
      const crash = crashing.get(task);
      if (crash === undefined) return;
      const { bornAtMs } = worker;
      clock.setTimer(crash.afterMs, () => {
        const isRunning = worker.active.has(task) && worker.bornAtMs === bornAtMs;
        if (isRunning) crashWorker(id, crashDownMs, crash.comesBack);
      });
    };
    workers.set(id, worker);
    return worker;
  }

  function crashWorker(id: string, downMs: number, comesBack = ComeBack.NewId): void {
    const worker = workers.get(id);
    if (worker === undefined || worker.isDown || worker.isReplaced) return;
    worker.crash();
    clock.setTimer(downMs, () => {
      const known = store.rows.get(`servers/${id}`)?.value as unknown as WorkerEntry | undefined;
      const entry = known ?? createEntry(id, dataCentreCount);
      if (comesBack === ComeBack.SameId) {
        worker.restart();
        apply(`servers/${id}`, { ...entry, bornAtMs: worker.bornAtMs } as unknown as RowValue);
        return;
      }
      worker.isReplaced = true;
      const nextId = `${id}'`;
      addWorker(nextId);
      apply(`servers/${nextId}`, { ...entry, id: nextId } as unknown as RowValue);
    });
    if (comesBack === ComeBack.NewId)
      clock.setTimer(entryExpiryMs, () => {
        removeEntry(id);
      });
  }

  function removeEntry(id: string): void {
    const operationId = `test/${operations++}`;
    const writes = [{ key: `servers/${id}`, value: null }];
    store.apply({ operationId, conditions: [], writes }, 't', 0);
  }

  for (let index = 0; index < workerCount; index += 1) {
    const id = `w${index}`;
    addWorker(id);
    apply(`servers/${id}`, createEntry(id, dataCentreCount) as unknown as RowValue);
  }

  function addCandidate(id: string, stateDelayMs = 0, jobDelayMs = 0): Candidate {
    const process = new FakeProcess(id, clock);
    const table = new FakeTable(store, process);
    const committer = createGroupCommitter({
      table,
      clock: process,
      logger,
      metrics,
      createOperationId: () => `${id}/${operations++}`,
      maxEntries: 100,
    });
    let owner: Owner | undefined;
    const runner = new FakeRunner(workers, process);
    const states = createTableReplica<StateRow>({
      feed: new FakeFeed(store, process, 'state/', stateDelayMs),
      name: 'states',
      clock: process,
      logger,
      metrics,
      onChange: (jobId, row, version) => owner?.handleState(jobId, row, version),
    });
    const operatorFeed = new FakeFeed<OperatorRow>(store, process, 'op/');
    const workerFeed = new FakeFeed<WorkerEntry>(store, process, 'servers/');
    const operatorRows = createOperatorRows({
      feed: operatorFeed,
      clock: process,
      logger,
      metrics,
      onEvacuations: () => owner?.handleEvacuations(),
    });
    const lease = createRegionLease({
      table,
      committer,
      clock: process,
      logger,
      metrics,
      region: 'main',
      rowVersion: 2,
      holder: id,
      address: id,
      leaseMs: 2600,
      marginMs: 400,
      renewMs: 600,
      onChange(state, epoch) {
        if (state === LeaseState.Waiting) owner?.stop();
        if (state !== LeaseState.Holding || owner?.getDump().epoch === epoch) return;
        owner?.stop();
        owner = createOwner({
          epoch,
          table,
          committer,
          previousRowVersion: lease.getPreviousRowVersion(),
          jobFeed: new FakeFeed<JobRow>(store, process, 'job/', jobDelayMs, jobDelayMs > 0),
          workerFeed,
          states,
          runner,
          advisor,
          getConfig,
          operatorRows,
          isHolding: () => lease.isHolding(epoch),
          getEpochCondition: () => (lease.isHolding(epoch) ? lease.getEpochCondition() : undefined),
          onFenced: () => owner?.stop(),
          clock: process,
          getWallMs: () => clock.getNowMs(),
          logger,
          metrics,
          maxLeaseMs,
          reclaimMs: 2900,
          policy,
          stopMs: 900,
          heartbeatMs: 1500,
        });
        void owner.start();
      },
    });
    states.start();
    operatorRows.start();
    lease.start();
    const candidate: Candidate = {
      ...{ process, lease, runner, operatorFeed, workerFeed },
      getOwner: () => owner,
    };
    candidates.push(candidate);
    return candidate;
  }

  function getConfig(): ServiceConfig | undefined {
    if (advisor.admitted === undefined && guarantees.size === 0 && queues.size === 0)
      return undefined;
    const rules = { priority: 1, maxAttempts: 2, stretch: 3, targetMs: 1000 };
    const queue = { name: 'q1', host: 'h', prefix: '/', pool: 'p1', rules, isPublic: true };
    const advice = { decisionMs: 10, perWorkerMs: 1 };
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const first = advisor.admitted === undefined ? [] : [{ ...queue, advice }];
    const others = [...queues].map(([name, rulesOfAdvice]) => ({
      ...{ ...queue, name, prefix: `/${name}/` },
      ...(rulesOfAdvice === undefined ? {} : { advice: rulesOfAdvice }),
    }));
    const accounts = [...guarantees].map(([name, guaranteedAccelerators]) => ({
      name,
      keys: [],
      guaranteedAccelerators,
    }));
    return { version: 1, queues: [...first, ...others], accounts, limits };
  }

  function getRow(id: string): StateRow | undefined {
    return store.rows.get(`state/${id}`)?.value as unknown as StateRow | undefined;
  }

  return {
    clock,
    store,
    workers,
    candidates,
    advisor,
    queues,
    guardedQueues,
    guarantees,
    addCandidate,
    submit(id, steps, changes = {}) {
      const submission: JobSubmission = {
        id,
        account: 'a1',
        queue: 'q1',
        pool: 'p1',
        rules: { priority: 1, maxAttempts: 2, stretch: 3, targetMs: 1000 },
        payload: 'x',
        steps: steps.map((step) => createStep(step)),
        ...changes,
      };
      const job: JobRow = { submission, acceptedAtMs: clock.getNowMs() };
      apply(`job/${id}`, job as unknown as RowValue);
    },
    cancel(id) {
      const job = store.rows.get(`job/${id}`)?.value as unknown as JobRow | undefined;
      if (job === undefined) return;
      const row = createStateRow(job.submission, JobState.Cancelled, clock.getNowMs());
      apply(`state/${id}`, row as unknown as RowValue);
    },
    evacuate(dataCentre) {
      const row: OperatorRow = { kind: OperatorRowKind.Evacuation, dataCentre };
      apply(`op/evacuate/${dataCentre}`, row);
    },
    endEvacuation(dataCentre) {
      const operationId = `test/${operations++}`;
      const writes = [{ key: `op/evacuate/${dataCentre}`, value: null }];
      store.apply({ operationId, conditions: [], writes }, 't', 0);
    },
    drainWorker(id, remainingMs = maxLeaseMs) {
      const bornAtMs = workers.get(id)?.bornAtMs ?? 1;
      const entry = { ...createEntry(id, dataCentreCount), bornAtMs };
      const draining = { ...entry, isDraining: true, drainRemainingMs: remainingMs };
      apply(`servers/${id}`, draining as unknown as RowValue);
    },
    unlistWorker: removeEntry,
    crashWorker,
    crashOnStart(task, afterMs = 5, comesBack = ComeBack.NewId) {
      crashing.set(task, { afterMs, comesBack });
    },
    resizeWorker(id, slots) {
      const worker = workers.get(id);
      if (worker !== undefined) worker.slots = slots;
      const entry = { ...createEntry(id, dataCentreCount), bornAtMs: worker?.bornAtMs ?? 1 };
      const capacity = { ...entry.capacity, accelerators: slots };
      apply(`servers/${id}`, { ...entry, capacity } as unknown as RowValue);
    },
    listWorker(id) {
      const bornAtMs = workers.get(id)?.bornAtMs ?? 1;
      const entry = { ...createEntry(id, dataCentreCount), bornAtMs };
      apply(`servers/${id}`, entry as unknown as RowValue);
    },
    restartWorker(id, changes = {}) {
      const worker = workers.get(id);
      worker?.restart();
      const bornAtMs = worker?.bornAtMs ?? 1;
      const entry = { ...createEntry(id, dataCentreCount), bornAtMs, ...changes };
      apply(`servers/${id}`, entry as unknown as RowValue);
    },
    getState: (id) =>
      getRow(id)?.state ?? (store.rows.has(`job/${id}`) ? JobState.Queued : undefined),
    listStartedRuns: () =>
      [...workers.values()]
        .flatMap((worker) => worker.startedRuns.map((one) => ({ ...one, worker: worker.id })))
        .sort((a, b) => a.atMs - b.atMs),
  };
}

/** Finds a task that has two active runs at the same time. */
export function findConcurrentRuns(world: World): string | undefined {
  const running = new Map<string, string>();
  for (const worker of world.workers.values()) {
    worker.updateRuns();
    for (const [task, { run }] of worker.active) {
      const other = running.get(task);
      if (other !== undefined) return `${task} runs as ${other} and as ${run} on ${worker.id}`;
      running.set(task, `${run} on ${worker.id}`);
    }
  }
  return undefined;
}
