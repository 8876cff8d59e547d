import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** The platform's object store, addressed by SHA-256 of the content in hexadecimal. */
export abstract class ObjectStore {
  /** Stores content and returns its hash. Storing the same content again is harmless. */
  abstract putObject(content: string): Promise<Result<string, Fault>>;
  /** Reads content; checks that it matches the hash. Faults: `not_found`, `store_unavailable`. */
  abstract getObject(hash: string): Promise<Result<string, Fault>>;
}
