import type { Fault } from '@bergamotreach/protocol';

/** A caller's request with its complete body. */
export interface CallerRequest {
  account: string;
  /** Chosen by the caller; must be unique within the account for non-idempotent requests. */
  requestId: string;
  service: string;
  method: string;
  /** Path and query passed to the endpoint; starts with `/`. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Time until the caller's deadline, in milliseconds from now. */
  deadlineMs: number;
  isIdempotent: boolean;
  /** Aborted when the caller disconnects. */
  signal?: AbortSignal;
}

/** Kinds of answers to a caller. */
export enum AnswerKind {
  /** The endpoint's own answer. */
  Answer = 'answer',
  Fault = 'fault',
}

/** Complete answer of an endpoint. */
export interface EndpointAnswer {
  kind: AnswerKind.Answer;
  status: number;
  /** Names in lower case, without hop-by-hop headers. */
  headers: Record<string, string>;
  body: Buffer;
}

/** Answer to a caller: that of an endpoint, or a fault. */
export type CallerAnswer = EndpointAnswer | { kind: AnswerKind.Fault; fault: Fault };

/** Wraps a fault as the answer to a caller. */
export function createFaultAnswer(fault: Fault): CallerAnswer {
  return { kind: AnswerKind.Fault, fault };
}
