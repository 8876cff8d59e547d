import { FaultCode, computeHash, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ExchangeStatus } from './exchange.ts';
import type { HttpClient } from './httpclient.ts';
import { ObjectStore } from './objectstore.ts';

class HttpObjectStore extends ObjectStore {
  constructor(private readonly client: HttpClient) {
    super();
  }

  async putObject(content: string): Promise<Result<string, Fault>> {
    const hash = computeHash(content);
    const exchange = await this.client.send('PUT', `/objects/${hash}`, content);
    if (exchange.status === ExchangeStatus.Answered && exchange.code === 200) return Ok(hash);
    return Err(createFault(FaultCode.StoreUnavailable, `object ${hash} could not be stored`));
  }

  async getObject(hash: string): Promise<Result<string, Fault>> {
    const exchange = await this.client.send('GET', `/objects/${hash}`);
    if (exchange.status !== ExchangeStatus.Answered) {
      return Err(createFault(FaultCode.StoreUnavailable, exchange.message));
    }
    if (exchange.code === 404) {
      return Err(createFault(FaultCode.NotFound, `object ${hash} does not exist`));
    }
    if (exchange.code !== 200 || computeHash(exchange.body) !== hash) {
      return Err(createFault(FaultCode.StoreUnavailable, `object ${hash} could not be read`));
    }
    return Ok(exchange.body);
  }
}

/** Creates a client of the object store over the platform's HTTP interface. */
export function createHttpObjectStore(client: HttpClient): ObjectStore {
  return new HttpObjectStore(client);
}
