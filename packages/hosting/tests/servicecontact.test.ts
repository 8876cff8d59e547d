import { test } from 'node:test';
import { createManualClock } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { createServiceContact } from '../src/index.ts';

// Guards against an outage that counts as contact, or a pause between two calls that counts as an outage.
test('a stretch of answers ends with a silence beyond the limit', async () => {
  const clock = createManualClock();
  const contact = createServiceContact({ clock, maxSilenceMs: 2500 });
  expect([contact.getContactMs(), contact.getSilenceMs()]).toEqual([0, Infinity]);
  contact.recordAnswer();
  await clock.advance(2000);
  contact.recordAnswer();
  await clock.advance(2500);
  expect([contact.getContactMs(), contact.getSilenceMs()]).toEqual([4500, 2500]);
  await clock.advance(1);
  expect(contact.getContactMs()).toEqual(0);
  contact.recordAnswer();
  await clock.advance(100);
  expect(contact.getContactMs()).toEqual(100);
});
