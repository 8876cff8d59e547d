import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import {
  findField,
  findNearest,
  findValue,
  formatAllowed,
  formatFound,
  formatPath,
} from './describe.ts';
import { buildEffectiveConfig } from './effective.ts';
import type { EffectiveConfig } from './effective.ts';
import { FieldKind, namePattern } from './field.ts';
import { mergeFolder } from './merge.ts';
import type { JsonPath, MergedFolder } from './merge.ts';
import { listRuleFindings } from './rules.ts';
import type { Finding } from './rules.ts';
import { listOversoldFindings } from './oversold.ts';
import type { SchemaIssue } from './schema.ts';

/**
 * Maximum total size of the files. A revision is pushed to peers in one frame of at most 1 MiB, which
 * also contains the manifest.
 */
export const maxFolderBytes = 768 * 1024;

/** Maximum number of files in a folder. */
export const maxFolderFiles = 1000;

/** Maximum number of faults that are listed, to bound memory for a folder full of unknown keys. */
export const maxListedFaults = 1000;

/**
 * Checks a configuration folder and returns the merged configuration with defaults. Reports all
 * faults together: `too_large`, and `config_invalid` and `oversold` with the path `[file, key, ...]`
 * and the details `{file, found, allowed, nearest}`. Loads the schema library on first use.
 */
export async function checkFolder(
  files: Readonly<Record<string, string>>,
): Promise<Result<EffectiveConfig, Fault[]>> {
  const sizeFault = checkSize(files);
  if (sizeFault !== undefined) return Err([sizeFault]);
  const folder = mergeFolder(files);
  const { listIssues } = await import('./schema.ts');
  const issues = listIssues(folder.merged).flatMap((issue) => buildIssueFaults(folder, issue));
  const faults = [...folder.faults, ...issues];
  if (faults.length > 0) return Err(limitFaults(faults));
  return checkRules(folder);
}

/**
 * Builds the effective configuration of a committed revision, which was checked before its commit.
 * Does not load the schema library. Faults: `config_invalid` when a file is not JSON.
 */
export function buildAcceptedConfig(
  files: Readonly<Record<string, string>>,
): Result<EffectiveConfig, Fault> {
  const folder = mergeFolder(files);
  const fault = folder.faults[0];
  return fault === undefined ? Ok(buildEffectiveConfig(folder.merged)) : Err(fault);
}

function limitFaults(faults: Fault[]): Fault[] {
  if (faults.length <= maxListedFaults) return faults;
  const message = `there are more than ${maxListedFaults} faults; the others are not listed`;
  return [
    ...faults.slice(0, maxListedFaults),
    createFault(FaultCode.ConfigInvalid, message, { details: { file: '' } }),
  ];
}

function checkSize(files: Readonly<Record<string, string>>): Fault | undefined {
  const contents = Object.values(files);
  const bytes = contents.reduce((sum, content) => sum + Buffer.byteLength(content), 0);
  if (contents.length <= maxFolderFiles && bytes <= maxFolderBytes) return undefined;
  const allowed = `${maxFolderFiles} files and ${maxFolderBytes} bytes`;
  const found = `${contents.length} files and ${bytes} bytes`;
  return createFault(FaultCode.TooLarge, `found ${found}, allowed: at most ${allowed}`);
}

function checkRules(folder: MergedFolder): Result<EffectiveConfig, Fault[]> {
  const config = buildEffectiveConfig(folder.merged);
  const findings = listRuleFindings(config).map((finding) => buildFault(folder, finding));
  if (findings.length > 0) return Err(findings);
  const oversold = listOversoldFindings(config).map((finding) =>
    buildFault(folder, finding, FaultCode.Oversold),
  );
  return oversold.length > 0 ? Err(oversold) : Ok(config);
}

function buildIssueFaults(folder: MergedFolder, issue: SchemaIssue): Fault[] {
  if (issue.unknownKeys.length > 0) {
    const keys = issue.unknownKeys.slice(0, maxListedFaults + 1);
    return keys.map((key) => buildUnknownKeyFault(folder, issue.path, key));
  }
  const value = findValue(folder.merged, issue.path);
  const field = findField(issue.path);
  const parent = findField(issue.path.slice(0, -1));
  const found = formatFound(value, issue.path);
  const allowed = field === undefined ? '' : formatAllowed(field);
  const name = issue.path.at(-1);
  const hasInvalidName = parent?.kind === FieldKind.Map && !namePattern.test(String(name));
  return [
    buildFault(folder, {
      path: issue.path,
      found: hasInvalidName ? `name ${JSON.stringify(name)}` : found,
      allowed: hasInvalidName ? `name matching ${namePattern.source}` : allowed,
    }),
  ];
}

function buildUnknownKeyFault(folder: MergedFolder, path: JsonPath, key: string): Fault {
  const field = findField(path);
  const known = field?.kind === FieldKind.Group ? Object.keys(field.keys) : [];
  return buildFault(folder, {
    path: [...path, key],
    found: `unknown key ${JSON.stringify(key)}`,
    allowed: known.join(', '),
    nearest: findNearest(key, known),
  });
}

function buildFault(
  folder: MergedFolder,
  finding: Finding,
  code: FaultCode = FaultCode.ConfigInvalid,
): Fault {
  const { path, found, allowed, nearest, data } = finding;
  const file = folder.findFile(path);
  const location = `${file === '' ? 'configuration' : file}: ${formatPath(path)}`;
  const hint = nearest === undefined ? '' : `; nearest known: ${JSON.stringify(nearest)}`;
  return createFault(code, `${location}: found ${found}, allowed: ${allowed}${hint}`, {
    path: [file, ...path],
    details: { file, found, allowed, ...(nearest === undefined ? {} : { nearest }), ...data },
  });
}
