import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Stored outcome of a non-idempotent request. */
export interface StoredOutcome {
  /** HTTP status of the endpoint's answer. */
  status: number;
  /** `content-type` of the answer; empty when it has none. */
  contentType: string;
  /** Body in base64. Bodies above `maxInlineBodyBytes` are stored in the object store. */
  body: string;
}

/** Result of an attempt to claim a request. */
export enum ClaimStatus {
  /** This daemon holds the claim and may dispatch once. */
  Acquired = 'acquired',
  /** The request was claimed before and its outcome is stored. */
  Stored = 'stored',
  /** The request was claimed before, or may have been, and its outcome is not known. */
  Unknown = 'unknown',
  /** The request id was used before for a request with a different digest. */
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
  /** SHA-256 of method, service, path and body in hexadecimal; tells a retry from a reused id. */
  digest: string;
}

/** Durable claims, so that a non-idempotent request is dispatched at most once. */
export interface Claims {
  /**
   * Writes the claim before the first dispatch, by group commit. The reply to a write whose outcome
   * stays ambiguous is `unknown`. Fault `store_unavailable`: this call acquired no claim and the
   * request must not be dispatched.
   */
  claim(key: ClaimKey): Promise<Result<ClaimReply, Fault>>;
  /** Stores the outcome. After a failure the claim has no outcome, so a retry gets `unknown`. */
  storeOutcome(key: ClaimKey, outcome: StoredOutcome): Promise<Result<void, Fault>>;
  /** Deletes a claim whose request was certainly not dispatched, so that a retry can run. */
  releaseClaim(key: ClaimKey): Promise<Result<void, Fault>>;
}
