import type { IncomingMessage, ServerResponse } from 'node:http';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Context } from 'hono';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Caller } from './auth.ts';

/** Types of the web application: the raw exchange and the caller found by authentication. */
export interface WebEnv {
  Bindings: { incoming: IncomingMessage; outgoing: ServerResponse };
  Variables: { caller: Caller };
}

/** Context of one HTTP exchange. */
export type WebContext = Context<WebEnv>;

/** Parses the JSON object in a body. Faults: `bad_request`. */
export function parseJsonObject(body: Buffer): Result<Record<string, unknown>, Fault> {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'));
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return Ok(value as Record<string, unknown>);
    }
    return Err(createFault(FaultCode.BadRequest, 'body must be a JSON object'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(createFault(FaultCode.BadRequest, `body is not JSON: ${reason}`));
  }
}
