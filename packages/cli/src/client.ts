import { FaultCode, Outcome, createFault } from '@bergamotreach/protocol';
import type { Fault, FaultExtras } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CliIo } from './io.ts';

/** JSON object sent to or received from the operator interface. */
export type JsonRecord = Record<string, unknown>;

/** HTTP methods of the operator interface. */
export enum HttpMethod {
  Get = 'GET',
  Post = 'POST',
  Delete = 'DELETE',
}

/** Calls the operator interface of a daemon. */
export interface OperatorClient {
  /**
   * Sends one request. Faults: those of the daemon; `no_endpoint` when no daemon responds and the
   * request had no effect; `unknown_outcome` when the response to a change was lost; `protocol`.
   */
  sendRequest(
    method: HttpMethod,
    path: string,
    body?: JsonRecord,
  ): Promise<Result<JsonRecord, Fault>>;
}

/** Flags that select the daemon and the account. */
export interface ServerFlags {
  server?: string | undefined;
  token?: string | undefined;
}

// Covers several attempts of the daemon to commit a configuration change to a slow store.
const responseTimeoutMs = 30_000;
const connectErrorCodes = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client from flags, falling back to the environment. Faults: `bad_request`. */
export function createOperatorClient(io: CliIo, flags: ServerFlags): Result<OperatorClient, Fault> {
  const server = flags.server ?? io.env.BERGAMOTREACH_SERVER ?? '';
  const token = flags.token ?? io.env.BERGAMOTREACH_TOKEN ?? '';
  if (!/^https?:\/\/[^/]+\/?$/u.test(server) || !URL.canParse(server)) {
    const message = `server ${JSON.stringify(server)} is not of the form http://ip:port; set --server or BERGAMOTREACH_SERVER`;
    return Err(createFault(FaultCode.BadRequest, message, { path: ['server'] }));
  }
  const origin = new URL(server).origin;
  return Ok({
    sendRequest: (method, path, body) => sendRequest({ origin, token, method, path, body }),
  });
}

interface HttpCall {
  origin: string;
  token: string;
  method: HttpMethod;
  path: string;
  body: JsonRecord | undefined;
}

async function sendRequest(call: HttpCall): Promise<Result<JsonRecord, Fault>> {
  const { Client } = await import('undici');
  const client = new Client(call.origin, {
    headersTimeout: responseTimeoutMs,
    bodyTimeout: responseTimeoutMs,
  });
  try {
    const response = await client.request({
      method: call.method,
      path: call.path,
      headers: createHeaders(call),
      body: call.body === undefined ? null : JSON.stringify(call.body),
    });
    const text = await response.body.text();
    return parseResponse(call, response.statusCode, text, response.headers['x-outcome']);
  } catch (error) {
    return Err(createCallFault(call, error));
  } finally {
    await client.destroy();
  }
}

function createHeaders(call: HttpCall): Record<string, string> {
  return {
    accept: 'application/json',
    ...(call.token === '' ? {} : { authorization: `Bearer ${call.token}` }),
    ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
  };
}

function createCallFault(call: HttpCall, error: unknown): Fault {
  const { code = '', message = '' } = error as { code?: string; message?: string };
  const reason = message === '' ? code : message;
  if (call.method === HttpMethod.Get || connectErrorCodes.has(code)) {
    return createFault(FaultCode.NoEndpoint, `no response from ${call.origin}: ${reason}`);
  }
  const lostMessage = `response from ${call.origin} lost; change may have taken effect: ${reason}`;
  return createFault(FaultCode.UnknownOutcome, lostMessage);
}

function parseResponse(
  call: HttpCall,
  status: number,
  text: string,
  outcome: string | string[] | undefined,
): Result<JsonRecord, Fault> {
  const value = parseRecord(text);
  if (value === undefined) {
    const message = `${call.origin} responded with status ${status} and no JSON object`;
    return Err(createFault(FaultCode.Protocol, message));
  }
  if (status < 400) return Ok(value);
  return Err(parseFault(value.error, status, String(outcome)));
}

function parseRecord(text: string): JsonRecord | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Whether a value is a JSON object. */
export function isRecord(value: unknown): value is JsonRecord {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseFault(error: unknown, status: number, outcome: string): Fault {
  const record = isRecord(error) ? error : {};
  const code = Object.values(FaultCode).find((known: string) => known === record.code);
  if (code === undefined) {
    return createFault(
      FaultCode.Protocol,
      `daemon responded with status ${status} and no known error code`,
    );
  }
  const known = Object.values(Outcome).find((value: string) => value === outcome);
  const extras: FaultExtras = {
    ...(known === undefined ? {} : { outcome: known }),
    ...(typeof record.retryAfterMs === 'number' ? { retryAfterMs: record.retryAfterMs } : {}),
    ...(record.details === undefined ? {} : { details: record.details }),
    ...(Array.isArray(record.path) ? { path: record.path as (string | number)[] } : {}),
  };
  return createFault(code, String(record.message), extras);
}
