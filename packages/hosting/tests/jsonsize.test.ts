import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { getJsonBytes } from '../src/index.ts';

// Guards against a row that is taken for one that fits, or is compressed or refused though it fits.
test('the size of a value is that of its text', () => {
  const text = fc.string({ unit: 'binary' });
  fc.assert(
    fc.property(fc.jsonValue({ stringUnit: 'binary' }), text, (value, name) => {
      const whole = { [name]: value, absent: undefined, lone: '\ud800"\n' };
      expect(getJsonBytes(whole)).toEqual(Buffer.byteLength(JSON.stringify(whole)));
    }),
    { seed: 1 },
  );
});
