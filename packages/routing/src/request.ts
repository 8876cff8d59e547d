import type { Fault } from '@bergamotreach/protocol';

/** A request of a caller, read as a whole. */
export interface CallerRequest {
  account: string;
  /** Chosen by the caller; unique per account for requests that must not run twice. */
  requestId: string;
  service: string;
  method: string;
  /** Path and query passed to the endpoint; starts with `/`. */
  path: string;
  contentType: string;
  body: Buffer;
  /** Time that the caller still waits, in milliseconds from now. */
  deadlineMs: number;
  isIdempotent: boolean;
  /** Aborted when the caller has gone. */
  signal?: AbortSignal;
}

/** Kinds of answers to a caller. */
export enum AnswerKind {
  /** The endpoint's own answer. */
  Answer = 'answer',
  Fault = 'fault',
}

/** The whole answer of an endpoint. */
export interface EndpointAnswer {
  kind: AnswerKind.Answer;
  status: number;
  /** Names in lower case, without those that concern only one connection. */
  headers: Record<string, string>;
  body: Buffer;
}

/** What a caller gets. */
export type CallerAnswer = EndpointAnswer | { kind: AnswerKind.Fault; fault: Fault };

/** Creates the answer for a fault. */
export function createFaultAnswer(fault: Fault): CallerAnswer {
  return { kind: AnswerKind.Fault, fault };
}
