import { FaultCode, Outcome, createFault } from '@bergamotreach/protocol';
import type { Fault, FaultExtras } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CliIo } from './io.ts';

/** A JSON object of the operator interface. */
export type JsonRecord = Record<string, unknown>;

/** Methods of the operator interface. */
export enum HttpMethod {
  Get = 'GET',
  Post = 'POST',
  Delete = 'DELETE',
}

/** Calls the operator interface of a daemon. */
export interface OperatorClient {
  /**
   * Sends one request. Faults: those of the daemon; `no_endpoint` when none answers and the request
   * had no effect; `unknown_outcome` when the answer to a change was lost; `protocol`.
   */
  sendRequest(
    method: HttpMethod,
    path: string,
    body?: JsonRecord,
  ): Promise<Result<JsonRecord, Fault>>;
}

/** Flags that say which daemon to call. */
export interface ServerFlags {
  server?: string | undefined;
  token?: string | undefined;
}

// A configuration change may wait for several attempts of the daemon at a slow store.
const answerTimeoutMs = 30_000;
const connectErrors = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Creates a client from flags, else from the environment. Faults: `bad_request`. */
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

interface Call {
  origin: string;
  token: string;
  method: HttpMethod;
  path: string;
  body: JsonRecord | undefined;
}

async function sendRequest(call: Call): Promise<Result<JsonRecord, Fault>> {
  const { Client } = await import('undici');
  const client = new Client(call.origin, {
    headersTimeout: answerTimeoutMs,
    bodyTimeout: answerTimeoutMs,
  });
  try {
    const answer = await client.request({
      method: call.method,
      path: call.path,
      headers: createHeaders(call),
      body: call.body === undefined ? null : JSON.stringify(call.body),
    });
    const text = await answer.body.text();
    return readAnswer(call, answer.statusCode, text, answer.headers['x-outcome']);
  } catch (error) {
    return Err(createCallFault(call, error));
  } finally {
    await client.destroy();
  }
}

function createHeaders(call: Call): Record<string, string> {
  return {
    accept: 'application/json',
    ...(call.token === '' ? {} : { authorization: `Bearer ${call.token}` }),
    ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
  };
}

function createCallFault(call: Call, error: unknown): Fault {
  const { code = '', message = '' } = error as { code?: string; message?: string };
  const reason = message === '' ? code : message;
  if (call.method === HttpMethod.Get || connectErrors.has(code)) {
    return createFault(FaultCode.NoEndpoint, `no daemon answers at ${call.origin}: ${reason}`);
  }
  const lost = `the answer of ${call.origin} was lost and the change may be in force: ${reason}`;
  return createFault(FaultCode.UnknownOutcome, lost);
}

function readAnswer(
  call: Call,
  status: number,
  text: string,
  outcome: string | string[] | undefined,
): Result<JsonRecord, Fault> {
  const value = parseRecord(text);
  if (value === undefined) {
    const message = `${call.origin} answered ${status} without a JSON object`;
    return Err(createFault(FaultCode.Protocol, message));
  }
  if (status < 400) return Ok(value);
  return Err(readFault(value.error, status, String(outcome)));
}

function parseRecord(text: string): JsonRecord | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isRecord(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Tells whether a value is a JSON object. */
export function isRecord(value: unknown): value is JsonRecord {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function readFault(error: unknown, status: number, outcome: string): Fault {
  const record = isRecord(error) ? error : {};
  const code = Object.values(FaultCode).find((known: string) => known === record.code);
  if (code === undefined) {
    return createFault(FaultCode.Protocol, `daemon answered ${status} without a known error code`);
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
