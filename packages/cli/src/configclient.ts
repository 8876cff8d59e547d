import { randomUUID } from 'node:crypto';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { HttpMethod, isRecord } from './client.ts';
import type { OperatorClient } from './client.ts';
import type { CliIo } from './io.ts';

/** Active configuration of a daemon. */
export interface ActiveConfig {
  revision: number;
  manifest: string;
  /** Contents by file name. */
  files: Record<string, string>;
}

/** Change of a configuration folder. */
export interface FolderChange {
  /** New contents by file name. */
  put: Record<string, string>;
  /** Names of files to remove. */
  remove: string[];
}

const maxAttempts = 4;
const retryDelayMs = 500;

/** Loads the active configuration. Faults: those of the client, `protocol`. */
export async function loadActiveConfig(
  client: OperatorClient,
): Promise<Result<ActiveConfig, Fault>> {
  const response = await client.sendRequest(HttpMethod.Get, '/v1/config');
  if (response.isErr()) return response;
  const { revision, manifest, files } = response.value;
  if (typeof revision !== 'number' || !isRecord(files)) {
    return Err(createFault(FaultCode.Protocol, 'response has no revision or no files'));
  }
  const texts = Object.entries(files).map(([name, text]) => [name, String(text)] as const);
  const isManifestText = typeof manifest === 'string';
  return Ok({
    revision,
    manifest: isManifestText ? manifest : '',
    files: Object.fromEntries(texts),
  });
}

/** Computes the change from the active files to the wanted ones. */
export function computeChange(
  active: Readonly<Record<string, string>>,
  wanted: Readonly<Record<string, string>>,
): FolderChange {
  const put = Object.entries(wanted).filter(([name, content]) => active[name] !== content);
  const remove = Object.keys(active).filter((name) => !Object.hasOwn(wanted, name));
  return { put: Object.fromEntries(put), remove };
}

/** Validates files before they are sent. Fault: code of the first error, all in the details. */
export async function checkLocally(
  files: Readonly<Record<string, string>>,
): Promise<Result<void, Fault>> {
  // The full package would also load the HTTP client, which a local check does not need.
  const { checkFolder } = await import('@bergamotreach/config/check');
  const checked = await checkFolder(files);
  if (checked.isOk()) return Ok(undefined);
  const faults = checked.error;
  const code = faults[0]?.code ?? FaultCode.ConfigInvalid;
  const count = faults.length === 1 ? '1 fault' : `${faults.length} faults`;
  return Err(createFault(code, `configuration has ${count}`, { details: { faults } }));
}

/**
 * Sends a change based on `baseRevision`; resolves to the new revision. After a lost response it
 * retries with the same operation id; if the change took effect, the daemon returns its revision.
 */
export async function sendChange(
  io: CliIo,
  client: OperatorClient,
  baseRevision: number,
  change: FolderChange,
): Promise<Result<number, Fault>> {
  const body = { baseRevision, ...change, operationId: randomUUID() };
  let hasLostResponse = false;
  for (let attempt = 1; ; attempt += 1) {
    const response = await client.sendRequest(HttpMethod.Post, '/v1/config', body);
    if (response.isOk()) return readRevision(response.value);
    hasLostResponse ||= response.error.code === FaultCode.UnknownOutcome;
    if (!hasLostResponse || !isRetryable(response.error)) return response;
    if (attempt === maxAttempts) return Err(createLostFault(response.error, body.operationId));
    await io.wait(retryDelayMs * attempt);
  }
}

function isRetryable({ code }: Fault): boolean {
  const codes = [FaultCode.UnknownOutcome, FaultCode.NoEndpoint, FaultCode.StoreUnavailable];
  return [...codes, FaultCode.Draining, FaultCode.Protocol].includes(code);
}

function createLostFault(last: Fault, operationId: string): Fault {
  const message = `response lost and retries failed: ${last.message}`;
  return createFault(FaultCode.UnknownOutcome, message, { details: { operationId } });
}

function readRevision(response: Record<string, unknown>): Result<number, Fault> {
  if (typeof response.revision === 'number') return Ok(response.revision);
  return Err(createFault(FaultCode.Protocol, 'response to the change has no revision'));
}
