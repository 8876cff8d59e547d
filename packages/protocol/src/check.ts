import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod/mini';

/** Checks a value that came from outside the process; an error names the first wrong field. */
export type Check<T> = (value: unknown) => Result<T, string>;

/** Creates the check of a schema. */
export function createCheck<T>(schema: z.core.$ZodType<T>): Check<T> {
  return (value) => {
    const checked = z.safeParse(schema, value);
    if (checked.success) return Ok(checked.data);
    const [issue] = checked.error.issues;
    const place = issue?.path.map(String).join('.') ?? '';
    return Err(`${place === '' ? '' : `${place}: `}${issue?.message ?? 'invalid'}`);
  };
}

/** Parses JSON text and checks its value. */
export function parseJson<T>(text: string, check: Check<T>): Result<T, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
  return check(value);
}
