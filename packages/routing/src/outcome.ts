import { createHash } from 'node:crypto';
import type { ClaimKey, StoredOutcome } from '@bergamotreach/ownership';
import { AnswerKind } from './request.ts';
import type { CallerRequest, EndpointAnswer } from './request.ts';

/** Creates the key of a request's claim; its digest covers method, service, path and body. */
export function createClaimKey(request: CallerRequest): ClaimKey {
  const hash = createHash('sha256');
  hash.update(`${request.method}\n${request.service}\n${request.path}\n`);
  hash.update(request.body);
  return {
    account: request.account,
    requestId: request.requestId,
    digest: hash.digest('hex'),
  };
}

/** Converts an answer to the form that is stored with its claim. */
export function createStoredOutcome(answer: EndpointAnswer): StoredOutcome {
  return {
    status: answer.status,
    contentType: answer.headers['content-type'] ?? '',
    body: answer.body.toString('base64'),
  };
}

/** Restores the answer to a repeated request from its stored outcome. */
export function createRepeatAnswer(outcome: StoredOutcome): EndpointAnswer {
  return {
    kind: AnswerKind.Answer,
    status: outcome.status,
    headers: outcome.contentType === '' ? {} : { 'content-type': outcome.contentType },
    body: Buffer.from(outcome.body, 'base64'),
  };
}
