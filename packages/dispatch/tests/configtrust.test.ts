import { test } from 'node:test';
import { expect } from 'earl';
import { isConfigTrusted } from '../src/configtrust.ts';
import type { ConfigEvidence } from '../src/configtrust.ts';

const configApplyMs = 4000;
const old: ConfigEvidence = {
  ageMs: 6000,
  outageMs: 5000,
  storeSilenceMs: 100,
  storeContactMs: 60_000,
};

function checkTrust(changes: Partial<ConfigEvidence>): boolean {
  return isConfigTrusted({ ...old, ...changes }, configApplyMs);
}

// Guards against an old configuration that decides, and against a service that ends with its store.
test('an old configuration decides only while the whole store is away', () => {
  expect(checkTrust({})).toEqual(false);
  expect(checkTrust({ ageMs: 3000, outageMs: 2500 })).toEqual(true);
  expect(checkTrust({ outageMs: 0 })).toEqual(false);
  expect(checkTrust({ storeSilenceMs: 4900 })).toEqual(true);
  expect(checkTrust({ storeSilenceMs: 120_000, outageMs: 120_000, storeContactMs: 0 })).toEqual(
    true,
  );
  expect(checkTrust({ storeContactMs: 500 })).toEqual(true);
});
