import { test } from 'node:test';
import { expect } from 'earl';
import { AnswerKind } from '../src/index.ts';
import type { CallerAnswer } from '../src/index.ts';
import { createRequest, createTestRouter, startHttpEndpoint } from './fakes.ts';

function getText(answer: CallerAnswer): string {
  return answer.kind === AnswerKind.Answer ? answer.body.toString() : answer.fault.code;
}

// Guards against a router that does not pass on the answer to a plain request.
test('passes on the answer of an endpoint', async () => {
  const endpoint = await startHttpEndpoint('e1', (request, response) => {
    response.setHeader('x-request-id', String(request.headers['x-request-id']));
    response.end('done');
  });
  const { router } = createTestRouter([endpoint]);
  const answers = await Promise.all(
    Array.from({ length: 50 }, () => router.handleRequest(createRequest())),
  );
  expect(answers.map(getText)).toEqual(Array.from({ length: 50 }, () => 'done'));
  await router.waitIdle();
  router.close();
  await endpoint.close();
});

// Guards against a second run of a non-idempotent request.
test('a repeated non-idempotent request gets the stored outcome', async () => {
  const endpoint = await startHttpEndpoint('e1', (_request, response) => {
    response.end('booked');
  });
  const { router } = createTestRouter([endpoint]);
  const request = createRequest({ isIdempotent: false });
  const first = await router.handleRequest(request);
  const second = await router.handleRequest(request);
  expect([first, second].map(getText)).toEqual(['booked', 'booked']);
  expect(endpoint.receivedIds).toEqual([request.requestId]);
  router.close();
  await endpoint.close();
});
