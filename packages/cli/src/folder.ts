import { readFile, readdir } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok, Result } from 'ts-results-es';

/** Reads the `.json` files of a folder, keyed by name. Faults: `not_found`, `bad_request` if empty. */
export async function readFolder(path: string): Promise<Result<Record<string, string>, Fault>> {
  try {
    const entries = await readdir(path, { withFileTypes: true });
    const names = entries
      .filter((entry) => !entry.isDirectory() && entry.name.endsWith('.json'))
      .map(({ name }) => join(path, name));
    if (names.length > 0) return await readFiles(names);
    // Applying an empty folder would remove the whole configuration, most likely by mistake.
    return Err(createFault(FaultCode.BadRequest, `folder ${path} has no .json file`));
  } catch (error) {
    return Err(createReadFault(path, error));
  }
}

/** Reads files, keyed by base name. Faults: `not_found`, `bad_request` for a duplicate name. */
export async function readFiles(
  paths: readonly string[],
): Promise<Result<Record<string, string>, Fault>> {
  const names = paths.map((path) => basename(path));
  const duplicate = names.find((name, index) => names.indexOf(name) !== index);
  if (duplicate !== undefined) {
    return Err(createFault(FaultCode.BadRequest, `two files are named ${duplicate}`));
  }
  const contents = await Promise.all(paths.map(readText));
  return Result.all(contents).map((texts) =>
    Object.fromEntries(texts.map((text, index) => [names[index] ?? '', text])),
  );
}

async function readText(path: string): Promise<Result<string, Fault>> {
  try {
    return Ok(await readFile(path, 'utf8'));
  } catch (error) {
    return Err(createReadFault(path, error));
  }
}

function createReadFault(path: string, error: unknown): Fault {
  return createFault(FaultCode.NotFound, `cannot read ${path}: ${(error as Error).message}`);
}
