import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ExchangeStatus, createHttpClient } from './httpclient.ts';
import type { Exchange, HttpClient } from './httpclient.ts';
import { WorkerClient } from './worker.ts';
import type { CommandBatch, CommandResult, WorkerTasks } from './worker.ts';

// The stand-in serves many workers on one address, so one connection would serialise their calls.
const connectionsPerWorker = 4;
// Idle clients above this number are closed, so that memory does not grow with the workers.
const maxClients = 256;

function parseWorkerAnswer<T>(exchange: Exchange): Result<T, Fault> {
  if (exchange.status !== ExchangeStatus.Answered) {
    return Err(createFault(FaultCode.WorkerUnavailable, exchange.message));
  }
  if (exchange.code === 409) {
    return Err(createFault(FaultCode.StaleEpoch, 'worker has seen a newer epoch'));
  }
  if (exchange.code !== 200) {
    return Err(createFault(FaultCode.WorkerUnavailable, `worker answered ${exchange.code}`));
  }
  try {
    return Ok(JSON.parse(exchange.body) as T);
  } catch {
    return Err(createFault(FaultCode.WorkerUnavailable, 'worker answered with invalid JSON'));
  }
}

class HttpWorkerClient extends WorkerClient {
  private readonly clients = new Map<string, HttpClient>();

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
    return parseWorkerAnswer<{ results: CommandResult[] }>(exchange).map(
      (answer) => answer.results,
    );
  }

  async listTasks(address: string, workerId: string): Promise<Result<WorkerTasks, Fault>> {
    const path = `/workers/${encodeURIComponent(workerId)}/tasks`;
    return parseWorkerAnswer<WorkerTasks>(await this.getClient(address).send('GET', path));
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
    this.closeOldest();
    return created;
  }

  private closeOldest(): void {
    if (this.clients.size <= maxClients) return;
    const oldest = this.clients.entries().next().value;
    if (oldest === undefined) return;
    this.clients.delete(oldest[0]);
    void oldest[1].close();
  }
}

/** Creates a client of the worker agents; `timeoutMs` bounds each call. */
export function createHttpWorkerClient(timeoutMs: number): WorkerClient {
  return new HttpWorkerClient(timeoutMs);
}
