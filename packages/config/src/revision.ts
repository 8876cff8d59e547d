import { computeHash, FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { isObject } from './merge.ts';

/** Description of a revision, stored as a JSON object under its own hash. */
export interface Manifest {
  revision: number;
  /** Hash of the previous revision's manifest; empty for the first revision. */
  parent: string;
  author: string;
  operationId: string;
  /** Names of the files that the change added or replaced. */
  put: string[];
  /** Names of the files that the change removed. */
  remove: string[];
  /** File name to SHA-256 of its content. */
  files: Record<string, string>;
}

/** A complete revision: its manifest and the content of all files. */
export interface ConfigRevision {
  revision: number;
  /** SHA-256 of `manifestText`. */
  manifest: string;
  manifestText: string;
  files: Record<string, string>;
}

/** A revision as sent between daemons, with the fields of a `configPush` message. */
export interface ConfigPush {
  revision: number;
  /** SHA-256 of the manifest, in hexadecimal. */
  manifest: string;
  /** Content of all files by name, and the text of the manifest under `manifestEntry`. */
  files: Record<string, string>;
}

/** Name of the manifest in the files of a push. It is not a valid name of a configuration file. */
export const manifestEntry = '#manifest';

/** Formats a manifest as JSON with a fixed key order, so that its hash is stable. */
export function formatManifest(manifest: Manifest): string {
  const names = Object.keys(manifest.files).sort();
  const files = Object.fromEntries(names.map((name) => [name, manifest.files[name]]));
  const { revision, parent, author, operationId, put, remove } = manifest;
  return JSON.stringify({ revision, parent, author, operationId, put, remove, files });
}

/** Parses the text of a manifest. Faults: `config_invalid`. */
export function parseManifest(text: string): Result<Manifest, Fault> {
  try {
    const value: unknown = JSON.parse(text);
    if (isManifest(value)) return Ok(value);
    return Err(createFault(FaultCode.ConfigInvalid, 'manifest has missing or invalid fields'));
  } catch (error) {
    const message = `manifest is not JSON: ${(error as Error).message}`;
    return Err(createFault(FaultCode.ConfigInvalid, message));
  }
}

function isManifest(value: unknown): value is Manifest {
  if (!isObject(value) || !isObject(value.files)) return false;
  const hasAllFields = typeof value.revision === 'number' && Array.isArray(value.put);
  return hasAllFields && typeof value.parent === 'string' && Array.isArray(value.remove);
}

/** Verifies the hashes of a revision. Faults: `config_invalid`, which names the first mismatch. */
export function checkRevision(candidate: ConfigRevision): Result<Manifest, Fault> {
  if (computeHash(candidate.manifestText) !== candidate.manifest) {
    return refuseRevision(candidate, 'manifest does not match its hash');
  }
  const parsed = parseManifest(candidate.manifestText);
  if (parsed.isErr()) return parsed;
  const manifest = parsed.value;
  if (manifest.revision !== candidate.revision) {
    return refuseRevision(candidate, `manifest belongs to revision ${manifest.revision}`);
  }
  const names = Object.keys(candidate.files);
  if (names.length !== Object.keys(manifest.files).length) {
    return refuseRevision(candidate, 'files do not match the manifest');
  }
  const mismatched = names.find(
    (name) => computeHash(candidate.files[name] ?? '') !== manifest.files[name],
  );
  if (mismatched !== undefined)
    return refuseRevision(candidate, `file ${mismatched} does not match its hash`);
  return Ok(manifest);
}

function refuseRevision(candidate: ConfigRevision, reason: string): Result<Manifest, Fault> {
  const message = `revision ${candidate.revision} refused: ${reason}`;
  return Err(createFault(FaultCode.ConfigInvalid, message));
}

/** Creates the push of a revision. */
export function createPush(revision: ConfigRevision): ConfigPush {
  return {
    revision: revision.revision,
    manifest: revision.manifest,
    files: { ...revision.files, [manifestEntry]: revision.manifestText },
  };
}

/** Reads the revision in a push without verifying its hashes. */
export function readPush(push: ConfigPush): ConfigRevision {
  const { [manifestEntry]: manifestText = '', ...files } = push.files;
  return { revision: push.revision, manifest: push.manifest, manifestText, files };
}
