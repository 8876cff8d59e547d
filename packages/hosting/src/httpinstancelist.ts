import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import type { HttpClient } from './httpclient.ts';
import { parseStoreAnswer } from './httptable.ts';
import { InstanceList } from './instance.ts';
import type { Instance } from './instance.ts';

class HttpInstanceList extends InstanceList {
  constructor(private readonly client: HttpClient) {
    super();
  }

  async listInstances(): Promise<Result<Instance[], Fault>> {
    const exchange = await this.client.send('GET', '/instances');
    return parseStoreAnswer<{ instances: Instance[] }>(exchange).map((answer) => answer.instances);
  }
}

/** Creates an instance list client over the platform's HTTP interface. */
export function createHttpInstanceList(client: HttpClient): InstanceList {
  return new HttpInstanceList(client);
}
