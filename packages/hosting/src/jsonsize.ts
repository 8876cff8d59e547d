const quoteBytes = 2;
const nullBytes = 4;
const separatorBytes = 1;
/** Characters that JSON escapes, or that UTF-8 cannot hold alone. */
const escapedPattern = /["\\\u0000-\u001f\ud800-\udfff]/u;

function getTextBytes(text: string): number {
  if (escapedPattern.test(text)) return Buffer.byteLength(JSON.stringify(text));
  return Buffer.byteLength(text) + quoteBytes;
}

function getObjectBytes(value: object): number {
  let bytes = quoteBytes;
  let count = 0;
  if (Array.isArray(value)) {
    for (const item of value) bytes += item === undefined ? nullBytes : getJsonBytes(item);
    count = value.length;
  } else {
    for (const [key, item] of Object.entries(value)) {
      if (item === undefined) continue;
      bytes += getTextBytes(key) + separatorBytes + getJsonBytes(item);
      count += 1;
    }
  }
  return bytes + Math.max(0, count - 1) * separatorBytes;
}

/**
 * Size of a plain JSON value in UTF-8, in bytes. Its text is not built: sizes are checked for each submission, also
 * for those that are refused.
 */
export function getJsonBytes(value: unknown): number {
  if (typeof value === 'string') return getTextBytes(value);
  if (typeof value === 'number') return Number.isFinite(value) ? String(value).length : nullBytes;
  if (typeof value === 'boolean') return String(value).length;
  return typeof value === 'object' && value !== null ? getObjectBytes(value) : nullBytes;
}
