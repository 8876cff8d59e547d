import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createOperatorClient } from './client.ts';
import type { ServerFlags } from './client.ts';
import { checkLocally, computeChange, loadActiveConfig, sendChange } from './configclient.ts';
import type { ActiveConfig, FolderChange } from './configclient.ts';
import { readFiles, readFolder } from './folder.ts';
import type { CliIo } from './io.ts';
import type { CommandOutput } from './output.ts';

type Files = Record<string, string>;
type ChangePlanner = (active: ActiveConfig) => Result<FolderChange, Fault>;

/** Validates a folder without a server. Faults: `config_invalid`, `oversold`, `not_found`. */
export async function checkDirectory(path: string): Promise<Result<CommandOutput, Fault>> {
  const files = await readFolder(path);
  if (files.isErr()) return files;
  const checked = await checkLocally(files.value);
  if (checked.isErr()) return checked;
  const count = Object.keys(files.value).length;
  return Ok({ data: { isValid: true, files: count }, text: `${count} files are valid\n` });
}

/** Replaces the configuration by a folder. Faults: those of a change, `not_found`. */
export async function applyFolder(
  io: CliIo,
  flags: ServerFlags,
  path: string,
  isDryRun: boolean,
): Promise<Result<CommandOutput, Fault>> {
  const files = await readFolder(path);
  if (files.isErr()) return files;
  const checked = await checkLocally(files.value);
  if (checked.isErr()) return checked;
  return runChange(io, flags, isDryRun, (active) => Ok(computeChange(active.files, files.value)));
}

/** Adds or replaces files. Faults: those of a change, `not_found` for a file. */
export async function putFiles(
  io: CliIo,
  flags: ServerFlags,
  paths: readonly string[],
  isDryRun: boolean,
): Promise<Result<CommandOutput, Fault>> {
  const files = await readFiles(paths);
  if (files.isErr()) return files;
  return runChange(io, flags, isDryRun, (active) =>
    Ok(computeChange(active.files, { ...active.files, ...files.value })),
  );
}

/** Removes files. Faults: those of a change, `not_found` for a name. */
export function removeFiles(
  io: CliIo,
  flags: ServerFlags,
  names: readonly string[],
  isDryRun: boolean,
): Promise<Result<CommandOutput, Fault>> {
  return runChange(io, flags, isDryRun, (active) => {
    const missing = names.find((name) => !Object.hasOwn(active.files, name));
    if (missing === undefined) return Ok({ put: {}, remove: [...new Set(names)] });
    const message = `file ${missing} is not in revision ${active.revision}`;
    return Err(createFault(FaultCode.NotFound, message));
  });
}

/**
 * Evacuates a data centre, or takes it back, by a file of its own that sets `isEvacuated`. Faults: those
 * of a change, `not_found` if the active configuration has no such data centre.
 */
export async function evacuateDataCentre(
  io: CliIo,
  flags: ServerFlags,
  dataCentre: string,
  isEnding: boolean,
): Promise<Result<CommandOutput, Fault>> {
  const { isObject, mergeFolder } = await import('@bergamotreach/config');
  const name = `evacuation-${dataCentre}.json`;
  const content = JSON.stringify({ dataCentres: { [dataCentre]: { isEvacuated: true } } });
  return runChange(io, flags, false, ({ revision, files }) => {
    const isActive = Object.hasOwn(files, name);
    if (isEnding) return Ok({ put: {}, remove: isActive ? [name] : [] });
    const { dataCentres } = mergeFolder(files).merged;
    if (!isObject(dataCentres) || !Object.hasOwn(dataCentres, dataCentre)) {
      const message = `data centre ${dataCentre} is not in revision ${revision}`;
      return Err(createFault(FaultCode.NotFound, message));
    }
    return Ok({ put: files[name] === content ? {} : { [name]: content }, remove: [] });
  });
}

async function runChange(
  io: CliIo,
  flags: ServerFlags,
  isDryRun: boolean,
  plan: ChangePlanner,
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const active = await loadActiveConfig(client.value);
  if (active.isErr()) return active;
  const { revision, files } = active.value;
  const planned = plan(active.value);
  if (planned.isErr()) return planned;
  const change = planned.value;
  const checked = await checkLocally(applyChange(files, change));
  if (checked.isErr()) return checked;
  if (isEmpty(change)) return Ok(renderChange(revision, change, 'no change from active'));
  if (isDryRun) return Ok(renderChange(revision, change, 'not sent; based on active'));
  const sent = await sendChange(io, client.value, revision, change);
  return sent.map((accepted) => renderChange(accepted, change, 'accepted as'));
}

function applyChange(files: Files, change: FolderChange): Files {
  const kept = Object.entries(files).filter(([name]) => !change.remove.includes(name));
  return { ...Object.fromEntries(kept), ...change.put };
}

function isEmpty({ put, remove }: FolderChange): boolean {
  return Object.keys(put).length + remove.length === 0;
}

function renderChange(revision: number, change: FolderChange, status: string): CommandOutput {
  const put = Object.keys(change.put).sort();
  const remove = [...change.remove].sort();
  const lines = [
    ...put.map((name) => `put     ${name}`),
    ...remove.map((name) => `remove  ${name}`),
    `${status} revision ${revision}`,
  ];
  return { data: { revision, put, remove }, text: lines.map((line) => `${line}\n`).join('') };
}
