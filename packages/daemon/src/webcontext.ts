import type { IncomingMessage, ServerResponse } from 'node:http';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Context } from 'hono';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Caller } from './auth.ts';

/** Hono environment: the Node.js request and response, and the authenticated caller. */
export interface WebEnv {
  Bindings: { incoming: IncomingMessage; outgoing: ServerResponse };
  Variables: { caller: Caller };
}

/** Hono context of one request. */
export type WebContext = Context<WebEnv>;

/** Parses a body that must be a JSON object. Faults: `bad_request`. */
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
