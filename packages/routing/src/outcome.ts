import { createHash } from 'node:crypto';
import type { ClaimKey, StoredOutcome } from '@bergamotreach/ownership';
import { AnswerKind } from './request.ts';
import type { CallerRequest, EndpointAnswer } from './request.ts';

/** Identity of a request for its claim. */
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

/** Form in which an answer is stored with its claim. */
export function createStoredOutcome(answer: EndpointAnswer): StoredOutcome {
  return {
    status: answer.status,
    contentType: answer.headers['content-type'] ?? '',
    body: answer.body.toString('base64'),
  };
}

/** Answer to the repeat of a request whose outcome is stored. */
export function createRepeatAnswer(outcome: StoredOutcome): EndpointAnswer {
  return {
    kind: AnswerKind.Answer,
    status: outcome.status,
    headers: outcome.contentType === '' ? {} : { 'content-type': outcome.contentType },
    body: Buffer.from(outcome.body, 'base64'),
  };
}
