import { randomUUID } from 'node:crypto';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { HttpMethod, isRecord } from './client.ts';
import type { OperatorClient } from './client.ts';
import type { CliIo } from './io.ts';

/** Configuration in force at a daemon. */
export interface ServedConfig {
  revision: number;
  manifest: string;
  /** File name to content. */
  files: Record<string, string>;
}

/** Files to write and names to remove. */
export interface FolderChange {
  put: Record<string, string>;
  remove: string[];
}

const maxSends = 4;
const repeatMs = 500;

/** Reads the configuration in force. Faults: those of the client, `protocol`. */
export async function loadServed(client: OperatorClient): Promise<Result<ServedConfig, Fault>> {
  const answer = await client.sendRequest(HttpMethod.Get, '/v1/config');
  if (answer.isErr()) return answer;
  const { revision, manifest, files } = answer.value;
  if (typeof revision !== 'number' || !isRecord(files)) {
    return Err(createFault(FaultCode.Protocol, 'answer lacks revision or files'));
  }
  const texts = Object.entries(files).map(([name, text]) => [name, String(text)] as const);
  const isText = typeof manifest === 'string';
  return Ok({ revision, manifest: isText ? manifest : '', files: Object.fromEntries(texts) });
}

/** Computes what turns the files in force into the wanted ones. */
export function computeChange(
  current: Readonly<Record<string, string>>,
  wanted: Readonly<Record<string, string>>,
): FolderChange {
  const put = Object.entries(wanted).filter(([name, content]) => current[name] !== content);
  const remove = Object.keys(current).filter((name) => !Object.hasOwn(wanted, name));
  return { put: Object.fromEntries(put), remove };
}

/** Checks files before they are sent. Faults: the first one found, with all in the details. */
export async function checkLocally(
  files: Readonly<Record<string, string>>,
): Promise<Result<void, Fault>> {
  // The whole package would load the HTTP client too, which a local check does not need.
  const { checkFolder } = await import('@bergamotreach/config/check');
  const checked = await checkFolder(files);
  if (checked.isOk()) return Ok(undefined);
  const faults = checked.error;
  const code = faults[0]?.code ?? FaultCode.ConfigInvalid;
  const count = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
  return Err(createFault(code, `configuration has ${count}`, { details: { faults } }));
}

/**
 * Sends a change against the revision it was made for. A lost answer is repeated under the same
 * operation id, which the daemon answers with the revision that the change became.
 */
export async function sendChange(
  io: CliIo,
  client: OperatorClient,
  baseRevision: number,
  change: FolderChange,
): Promise<Result<number, Fault>> {
  const body = { baseRevision, ...change, operationId: randomUUID() };
  let hasLostAnswer = false;
  for (let sends = 1; ; sends += 1) {
    const answer = await client.sendRequest(HttpMethod.Post, '/v1/config', body);
    if (answer.isOk()) return readRevision(answer.value);
    hasLostAnswer ||= answer.error.code === FaultCode.UnknownOutcome;
    if (!hasLostAnswer || !isRepeatable(answer.error)) return answer;
    if (sends === maxSends) return Err(createLost(answer.error, body.operationId));
    await io.wait(repeatMs * sends);
  }
}

function isRepeatable({ code }: Fault): boolean {
  const codes = [FaultCode.UnknownOutcome, FaultCode.NoEndpoint, FaultCode.StoreUnavailable];
  return [...codes, FaultCode.Draining, FaultCode.Protocol].includes(code);
}

function createLost(last: Fault, operationId: string): Fault {
  const message = `the answer was lost and repeats failed: ${last.message}`;
  return createFault(FaultCode.UnknownOutcome, message, { details: { operationId } });
}

function readRevision(answer: Record<string, unknown>): Result<number, Fault> {
  if (typeof answer.revision === 'number') return Ok(answer.revision);
  return Err(createFault(FaultCode.Protocol, 'answer to the change lacks its revision'));
}
