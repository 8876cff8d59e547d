import { createHash } from 'node:crypto';

/** SHA-256 of a text in UTF-8, in hexadecimal. Objects and revisions are addressed by it. */
export function computeHash(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}
