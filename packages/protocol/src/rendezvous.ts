import { createHash } from 'node:crypto';

const cachedScoreLimit = 20_000;
const cachedScores = new Map<string, number>();

function computeScore(key: string, member: string): number {
  const name = `${key}\n${member}`;
  const cached = cachedScores.get(name);
  if (cached !== undefined) return cached;
  const score = createHash('sha1').update(name).digest().readUIntBE(0, 6);
  if (cachedScores.size >= cachedScoreLimit) cachedScores.clear();
  cachedScores.set(name, score);
  return score;
}

/**
 * Members in rendezvous (highest random weight) order for a key. Every process computes the same
 * order from the same members, and removing one member leaves the order of the others unchanged.
 */
export function rankMembers(key: string, members: readonly string[]): string[] {
  const scored = members.map((member) => ({ member, score: computeScore(key, member) }));
  scored.sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1));
  return scored.map((entry) => entry.member);
}
