import { test } from 'node:test';
import { expect } from 'earl';
import { rankMembers } from '../src/index.ts';

// Guards against ownership changes between the remaining members when one member leaves.
test('removing a member keeps the order of the others', () => {
  const members = ['a', 'b', 'c', 'd', 'e'];
  for (let key = 0; key < 50; key += 1) {
    const all = rankMembers(`key-${key}`, members);
    const removed = all[key % all.length];
    const fewer = rankMembers(
      `key-${key}`,
      members.filter((member) => member !== removed),
    );
    expect(fewer).toEqual(all.filter((member) => member !== removed));
  }
});

// Guards against an uneven distribution, in which one member owns nearly everything.
test('first ranks are spread evenly over the members', () => {
  const members = ['a', 'b', 'c'];
  const firsts = new Map<string, number>();
  for (let key = 0; key < 3000; key += 1) {
    const first = rankMembers(`endpoint-${key}`, members)[0] ?? '';
    firsts.set(first, (firsts.get(first) ?? 0) + 1);
  }
  expect([...firsts.values()].every((count) => count > 850 && count < 1150)).toEqual(true);
});
