import { createHash } from 'node:crypto';

/** Computes the SHA-256 of a UTF-8 text, in hexadecimal. Objects and revisions are addressed by it. */
export function computeHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
