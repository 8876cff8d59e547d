import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ExchangeStatus } from './exchange.ts';
import type { Exchange } from './exchange.ts';
import { createHttpClient } from './httpclient.ts';
import type { HttpClient } from './httpclient.ts';
import { createTaskListCache } from './tasklist.ts';
import type { TaskListCache } from './tasklist.ts';
import { WorkerClient } from './worker.ts';
import type { CommandBatch, CommandResult, TaskChanges, WorkerTasks } from './worker.ts';

// The simulated platform (packages/standin) serves many workers on one address; a single connection
// would serialise their calls.
const connectionsPerWorker = 4;
// Beyond this number the least recently used client is closed, so that memory does not grow with the
// number of workers.
const maxClients = 256;

function parseWorkerResponse<T>(exchange: Exchange): Result<T, Fault> {
  if (exchange.status !== ExchangeStatus.Answered) {
    return Err(createFault(FaultCode.WorkerUnavailable, exchange.message));
  }
  if (exchange.code === 409) {
    return Err(createFault(FaultCode.StaleEpoch, 'worker has seen a newer epoch'));
  }
  if (exchange.code !== 200) {
    return Err(createFault(FaultCode.WorkerUnavailable, `worker returned status ${exchange.code}`));
  }
  try {
    return Ok(JSON.parse(exchange.body) as T);
  } catch {
    return Err(createFault(FaultCode.WorkerUnavailable, 'worker returned invalid JSON'));
  }
}

class HttpWorkerClient extends WorkerClient {
  private readonly clients = new Map<string, HttpClient>();
  private readonly taskLists = new Map<string, TaskListCache>();

  constructor(private readonly timeoutMs: number) {
    super();
  }

  async sendCommands(
    address: string,
    workerId: string,
    batch: CommandBatch,
  ): Promise<Result<CommandResult[], Fault>> {
    const path = `/workers/${encodeURIComponent(workerId)}/commands`;
    const exchange = await this.getClient(address).send('POST', path, JSON.stringify(batch));
    return parseWorkerResponse<{ results: CommandResult[] }>(exchange).map(
      (response) => response.results,
    );
  }

  // Requests only changes: a full list of 13 tasks takes about 4 KB, and most calls find no change.
  async listTasks(address: string, workerId: string): Promise<Result<WorkerTasks, Fault>> {
    const list = this.getTaskList(workerId);
    const changed = await this.readChanges(address, workerId, list);
    if (changed.isErr()) return changed;
    if (changed.value !== undefined) return Ok(changed.value);
    const full = await this.readChanges(address, workerId, createTaskListCache());
    return full.map((tasks) => tasks ?? { epoch: 0, tasks: [] });
  }

  private async readChanges(
    address: string,
    workerId: string,
    list: TaskListCache,
  ): Promise<Result<WorkerTasks | undefined, Fault>> {
    const cursor = list.getCursor();
    const query = cursor === undefined ? '' : `?stream=${cursor.stream}&since=${cursor.revision}`;
    const path = `/workers/${encodeURIComponent(workerId)}/tasks${query}`;
    const exchange = await this.getClient(address).send('GET', path);
    return parseWorkerResponse<TaskChanges>(exchange).map((changes) =>
      list.applyChanges(cursor, changes),
    );
  }

  private getTaskList(workerId: string): TaskListCache {
    const known = this.taskLists.get(workerId);
    if (known !== undefined) return known;
    const created = createTaskListCache();
    this.taskLists.set(workerId, created);
    return created;
  }

  private getClient(address: string): HttpClient {
    const known = this.clients.get(address);
    if (known !== undefined) {
      this.clients.delete(address);
      this.clients.set(address, known);
      return known;
    }
    const created = createHttpClient({
      origin: `http://${address}`,
      connections: connectionsPerWorker,
      timeoutMs: this.timeoutMs,
    });
    this.clients.set(address, created);
    this.closeLeastRecentlyUsed();
    return created;
  }

  private closeLeastRecentlyUsed(): void {
    if (this.clients.size <= maxClients) return;
    const oldest = this.clients.entries().next().value;
    if (oldest === undefined) return;
    this.clients.delete(oldest[0]);
    void oldest[1].close();
  }
}

/** Creates a client of the worker agents; `timeoutMs` limits each call. */
export function createHttpWorkerClient(timeoutMs: number): WorkerClient {
  return new HttpWorkerClient(timeoutMs);
}
