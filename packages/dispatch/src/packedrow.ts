import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { getJsonBytes } from '@bergamotreach/hosting';
import type { RowValue } from '@bergamotreach/hosting';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Bounds what a small row can make a reader hold. */
const maxUnpackedBytes = 4 * 1024 * 1024;

/**
 * Compresses a value that exceeds `maxBytes` as JSON: the steps of a job repeat much. Versions that do not know the
 * form skip the row, which they could not have stored.
 */
export function encodePacked(value: RowValue, maxBytes: number): RowValue {
  if (getJsonBytes(value) <= maxBytes) return value;
  return { packed: deflateRawSync(JSON.stringify(value)).toString('base64') };
}

/** Restores a value that was compressed; other values stay as they are. */
export function decodePacked(value: unknown): Result<unknown, string> {
  if (typeof value !== 'object' || value === null || !('packed' in value)) return Ok(value);
  const { packed } = value;
  if (typeof packed !== 'string') return Err('packed: expected text');
  try {
    const bytes = inflateRawSync(Buffer.from(packed, 'base64'), {
      maxOutputLength: maxUnpackedBytes,
    });
    return Ok(JSON.parse(bytes.toString('utf8')));
  } catch (error) {
    return Err(`packed: ${error instanceof Error ? error.message : String(error)}`);
  }
}
