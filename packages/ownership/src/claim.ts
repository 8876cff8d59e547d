import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Stored outcome of a non-idempotent request. */
export interface StoredOutcome {
  /** HTTP status of the endpoint's answer. */
  status: number;
  /** `content-type` of the answer; empty when it had none. */
  contentType: string;
  /** Body in base64. Bodies above `maxStoredBodyBytes` are kept in the object store. */
  body: string;
}

/** What came of a claim. */
export enum ClaimStatus {
  /** This daemon holds the claim and may dispatch once. */
  Acquired = 'acquired',
  /** The request was claimed before and its outcome is stored. */
  Stored = 'stored',
  /** The request was claimed before and its outcome is not known. */
  Unknown = 'unknown',
  /** The id was used before for a request with a different body. */
  Mismatch = 'mismatch',
}

/** Reply to a claim. */
export type ClaimReply =
  | { status: ClaimStatus.Acquired }
  | { status: ClaimStatus.Stored; outcome: StoredOutcome }
  | { status: ClaimStatus.Unknown }
  | { status: ClaimStatus.Mismatch };

/** Identity of a non-idempotent request. */
export interface ClaimKey {
  account: string;
  requestId: string;
  /** SHA-256 of method, path and body, in hexadecimal; tells a repeat from a reuse of the id. */
  digest: string;
}

/** Durable claims for non-idempotent requests. */
export interface Claims {
  /**
   * Writes the claim before the first dispatch, in a group with others.
   * Fault `store_unavailable`: no claim of this call is in force and the request must not be
   * dispatched. When the write's fate stays unknown, the reply is `unknown`.
   */
  claim(key: ClaimKey): Promise<Result<ClaimReply, Fault>>;
  /** Stores the outcome. A failure leaves the claim without outcome: a repeat gets `unknown`. */
  storeOutcome(key: ClaimKey, outcome: StoredOutcome): Promise<Result<void, Fault>>;
  /** Deletes a claim whose request certainly was not dispatched, so that a repeat may run. */
  releaseClaim(key: ClaimKey): Promise<Result<void, Fault>>;
}
