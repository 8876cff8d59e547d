import { createHash } from 'node:crypto';

const maxCachedScores = 20_000;
const cachedScores = new Map<string, number>();

function computeScore(key: string, member: string): number {
  const input = `${key}\n${member}`;
  const cached = cachedScores.get(input);
  if (cached !== undefined) return cached;
  const score = createHash('sha1').update(input).digest().readUIntBE(0, 6);
  if (cachedScores.size >= maxCachedScores) cachedScores.clear();
  cachedScores.set(input, score);
  return score;
}

/**
 * Orders members by rendezvous hashing (highest random weight) for a key. Every process computes the
 * same order from the same members, and removing a member does not change the order of the others.
 */
export function rankMembers(key: string, members: readonly string[]): string[] {
  const scored = members.map((member) => ({ member, score: computeScore(key, member) }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map((entry) => entry.member);
}
