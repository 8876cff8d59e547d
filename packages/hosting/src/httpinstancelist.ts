import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import type { HttpClient } from './httpclient.ts';
import { parseStoreResponse } from './httptable.ts';
import { InstanceList } from './instance.ts';
import type { Instance } from './instance.ts';

class HttpInstanceList extends InstanceList {
  constructor(private readonly client: HttpClient) {
    super();
  }

  async listInstances(): Promise<Result<Instance[], Fault>> {
    const exchange = await this.client.send('GET', '/instances');
    return parseStoreResponse<{ instances: Instance[] }>(exchange).map(
      (response) => response.instances,
    );
  }
}

/** Creates a client of the instance list over the platform's HTTP interface. */
export function createHttpInstanceList(client: HttpClient): InstanceList {
  return new HttpInstanceList(client);
}
