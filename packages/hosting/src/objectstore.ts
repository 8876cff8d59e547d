import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** The platform's object store. Objects are addressed by the SHA-256 of their content, in hex. */
export abstract class ObjectStore {
  /** Stores content and returns its hash. Idempotent. Faults: `store_unavailable`. */
  abstract putObject(content: string): Promise<Result<string, Fault>>;
  /** Reads content and verifies its hash. Faults: `not_found`, `store_unavailable`. */
  abstract getObject(hash: string): Promise<Result<string, Fault>>;
}
