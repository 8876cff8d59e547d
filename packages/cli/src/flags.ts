import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Flags of commands that can print JSON. */
export const jsonFlags = {
  json: { type: 'boolean', description: 'Print JSON for scripts', default: false },
} as const;

/** Flags of every command that calls a daemon. */
export const serverFlags = {
  server: {
    type: 'string',
    valueHint: 'URL',
    description: 'Daemon to call, http://ip:port (BERGAMOTREACH_SERVER)',
  },
  token: {
    type: 'string',
    valueHint: 'TOKEN',
    description: 'Bearer token of the account (BERGAMOTREACH_TOKEN)',
  },
  ...jsonFlags,
} as const;

/** Parses an integer flag; `undefined` when it is not set. Faults: `bad_request`. */
export function parseInteger(
  name: string,
  text: string | undefined,
  min: number,
): Result<number | undefined, Fault> {
  if (text === undefined) return Ok(undefined);
  const value = Number(text);
  if (/^\d+$/u.test(text) && Number.isSafeInteger(value) && value >= min) return Ok(value);
  const message = `--${name} is ${JSON.stringify(text)}; allowed: integer of at least ${min}`;
  return Err(createFault(FaultCode.BadRequest, message, { path: [name] }));
}
