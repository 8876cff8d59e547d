import { test } from 'node:test';
import { expect } from 'earl';
import { createAnswerTime } from '../src/index.ts';

const limits = { shortestMs: 300, longestMs: 1200 };

// Guards against calls that are given up before anything is known of the service.
test('the first timeout is the longest', () => {
  expect(createAnswerTime(limits).getTimeoutMs()).toEqual(1200);
});

// Guards against a lost answer that is noticed after the longest timeout although the service is quick.
test('quick answers shorten the timeout to its bound', () => {
  const time = createAnswerTime(limits);
  for (let call = 0; call < 30; call += 1) time.note(20);
  expect(time.getTimeoutMs()).toEqual(300);
});

// Guards against calls to a slow service that are given up and sent again, which slows it further.
test('timeouts in a row back off, and a slow answer is learned', () => {
  const time = createAnswerTime(limits);
  for (let call = 0; call < 30; call += 1) time.note(20);
  time.noteTimeout();
  expect(time.getTimeoutMs()).toEqual(600);
  time.note(550);
  expect(time.getTimeoutMs() >= 600).toEqual(true);
  for (let call = 0; call < 10; call += 1) time.noteTimeout();
  expect(time.getTimeoutMs()).toEqual(1200);
});

// Guards against a service that stays slow for the client after it has become quick again.
test('the timeout returns to its bound', () => {
  const time = createAnswerTime(limits);
  for (let call = 0; call < 5; call += 1) time.note(600);
  for (let call = 0; call < 60; call += 1) time.note(20);
  expect(time.getTimeoutMs()).toEqual(300);
});
