import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ExchangeStatus } from './exchange.ts';
import type { Exchange } from './exchange.ts';
import type { HttpClient } from './httpclient.ts';
import { CommitStatus, Table } from './table.ts';
import type { Commit, CommitReply, Row, RowPage } from './table.ts';

const defaultPageRows = 500;

/** Parses the JSON body of a response with status 200. Faults: `store_unavailable`. */
export function parseStoreResponse<T>(exchange: Exchange): Result<T, Fault> {
  if (exchange.status !== ExchangeStatus.Answered) {
    return Err(createFault(FaultCode.StoreUnavailable, exchange.message));
  }
  if (exchange.code !== 200) {
    return Err(createFault(FaultCode.StoreUnavailable, `store returned status ${exchange.code}`));
  }
  try {
    return Ok(JSON.parse(exchange.body) as T);
  } catch {
    return Err(createFault(FaultCode.StoreUnavailable, 'store returned invalid JSON'));
  }
}

function parseCommitResponse(code: number, body: string): CommitReply {
  // The store returns 503 and 429 before it processes a commit.
  if (code === 503 || code === 429) {
    return { status: CommitStatus.Unavailable, message: `store returned status ${code}` };
  }
  try {
    const parsed = JSON.parse(body) as {
      versions?: Record<string, number>;
      conflicts?: string[];
    };
    if (code === 200 && parsed.versions !== undefined) {
      return { status: CommitStatus.Committed, versions: parsed.versions };
    }
    if (code === 409 && parsed.conflicts !== undefined) {
      return { status: CommitStatus.Conflict, conflicts: parsed.conflicts };
    }
  } catch {
    return { status: CommitStatus.Ambiguous, message: 'store returned invalid JSON' };
  }
  return { status: CommitStatus.Ambiguous, message: `store returned status ${code}` };
}

class HttpTable extends Table {
  constructor(private readonly client: HttpClient) {
    super();
  }

  getPartition(): string {
    return '';
  }

  async getRow(key: string): Promise<Result<Row | undefined, Fault>> {
    const query = new URLSearchParams({ key });
    const exchange = await this.client.send('GET', `/table/row?${query.toString()}`);
    if (exchange.status === ExchangeStatus.Answered && exchange.code === 404) {
      return Ok(undefined);
    }
    return parseStoreResponse<Row>(exchange);
  }

  async listRows(
    prefix: string,
    after = '',
    limit = defaultPageRows,
  ): Promise<Result<RowPage, Fault>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) });
    const exchange = await this.client.send('GET', `/table/rows?${query.toString()}`);
    return parseStoreResponse<RowPage>(exchange);
  }

  async commit(commit: Commit): Promise<CommitReply> {
    const exchange = await this.client.send('POST', '/table/commit', JSON.stringify(commit));
    if (exchange.status === ExchangeStatus.NotSent) {
      return { status: CommitStatus.Unavailable, message: exchange.message };
    }
    if (exchange.status === ExchangeStatus.Lost) {
      return { status: CommitStatus.Ambiguous, message: exchange.message };
    }
    return parseCommitResponse(exchange.code, exchange.body);
  }
}

/** Creates a client of the table over the platform's HTTP interface. */
export function createHttpTable(client: HttpClient): Table {
  return new HttpTable(client);
}
