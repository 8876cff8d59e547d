import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod/mini';

/** Validates a value from outside the process; the error names the path of the first invalid field. */
export type Check<T> = (value: unknown) => Result<T, string>;

/** Later steps visit values recursively, so their depth is bounded; no message needs more than a few levels. */
export const maxJsonDepth = 64;
/** Longest reason; a reason may repeat what another writer left. */
const maxReasonChars = 200;

/** Creates a check from a schema. */
export function createCheck<T>(schema: z.core.$ZodType<T>): Check<T> {
  return (value) => {
    const checked = z.safeParse(schema, value);
    if (checked.success) return Ok(checked.data);
    const [issue] = checked.error.issues;
    const path = issue?.path.map(String).join('.') ?? '';
    const reason = `${path === '' ? '' : `${path}: `}${issue?.message ?? 'invalid'}`;
    return Err(reason.slice(0, maxReasonChars));
  };
}

const quote = '"'.charCodeAt(0);
const backslash = '\\'.charCodeAt(0);
const opening = new Set(['[', '{'].map((char) => char.charCodeAt(0)));
const closing = new Set([']', '}'].map((char) => char.charCodeAt(0)));

/** Whether the arrays and objects of a JSON text are nested deeper than `maxJsonDepth`. */
function isTooDeep(text: string): boolean {
  let depth = 0;
  let isInText = false;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (isInText) {
      if (code === backslash) index += 1;
      else if (code === quote) isInText = false;
    } else if (code === quote) isInText = true;
    else if (opening.has(code)) {
      depth += 1;
      if (depth > maxJsonDepth) return true;
    } else if (closing.has(code)) depth -= 1;
  }
  return false;
}

/** Parses JSON text and checks the value. The error is that of the parser or of the check. */
export function parseJson<T>(text: string, check: Check<T>): Result<T, string> {
  if (isTooDeep(text)) return Err(`nested deeper than ${maxJsonDepth} levels`);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err((error instanceof Error ? error.message : String(error)).slice(0, maxReasonChars));
  }
  return check(value);
}
