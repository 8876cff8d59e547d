import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod/mini';

/** Validates a value from outside the process; the error names the path of the first invalid field. */
export type Check<T> = (value: unknown) => Result<T, string>;

/** Creates a check from a schema. */
export function createCheck<T>(schema: z.core.$ZodType<T>): Check<T> {
  return (value) => {
    const checked = z.safeParse(schema, value);
    if (checked.success) return Ok(checked.data);
    const [issue] = checked.error.issues;
    const path = issue?.path.map(String).join('.') ?? '';
    return Err(`${path === '' ? '' : `${path}: `}${issue?.message ?? 'invalid'}`);
  };
}

/** Parses JSON text and checks the value. The error is that of the parser or of the check. */
export function parseJson<T>(text: string, check: Check<T>): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
  return check(value);
}
