import { ObjectStore } from '@bergamotreach/hosting';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';

/** In-memory object store. */
export class FakeObjects extends ObjectStore {
  private readonly contents: string[] = [];

  putObject(content: string) {
    return Promise.resolve(Ok(String(this.contents.push(content) - 1)));
  }

  getObject(hash: string) {
    const content = this.contents[Number(hash)];
    const missing = Err(createFault(FaultCode.NotFound, hash));
    return Promise.resolve(content === undefined ? missing : Ok(content));
  }
}
