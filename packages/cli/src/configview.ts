import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient } from './client.ts';
import type { JsonRecord, ServerFlags } from './client.ts';
import { loadActiveConfig } from './configclient.ts';
import type { ActiveConfig } from './configclient.ts';
import { canUseColours } from './io.ts';
import type { CliIo } from './io.ts';
import type { CommandOutput } from './output.ts';
import { listRecords, renderTable } from './table.ts';

async function loadConfig(io: CliIo, flags: ServerFlags): Promise<Result<ActiveConfig, Fault>> {
  const client = createOperatorClient(io, flags);
  return client.isErr() ? client : loadActiveConfig(client.value);
}

/** Lists the active files with their sizes. */
export async function listFiles(
  io: CliIo,
  flags: ServerFlags,
): Promise<Result<CommandOutput, Fault>> {
  const active = await loadConfig(io, flags);
  return active.map(({ revision, manifest, files }) => {
    const rows = Object.keys(files)
      .sort()
      .map((name) => ({ name, bytes: Buffer.byteLength(files[name] ?? '') }));
    const table = renderTable(
      rows,
      [
        { heading: 'NAME', getCell: ({ name }) => name },
        { heading: 'BYTES', getCell: ({ bytes }) => bytes },
      ],
      canUseColours(io),
    );
    const text = `${table}revision ${revision}\n`;
    return { data: { revision, manifest, files: rows }, text };
  });
}

/** Shows one file unchanged, or the merged configuration. Faults: `not_found` for the name. */
export async function showFiles(
  io: CliIo,
  flags: ServerFlags,
  name: string | undefined,
): Promise<Result<CommandOutput, Fault>> {
  const active = await loadConfig(io, flags);
  if (active.isErr()) return active;
  const { revision, files } = active.value;
  if (name === undefined) {
    const { mergeFolder } = await import('@bergamotreach/config');
    const { merged } = mergeFolder(files);
    return Ok({ data: { revision, merged }, text: `${JSON.stringify(merged, null, 2)}\n` });
  }
  const content = Object.hasOwn(files, name) ? files[name] : undefined;
  if (content === undefined) {
    const message = `file ${name} is not in revision ${revision}`;
    return Err(createFault(FaultCode.NotFound, message));
  }
  const text = content.endsWith('\n') ? content : `${content}\n`;
  return Ok({ data: { revision, name, content }, text });
}

/** Lists accepted changes, newest first. */
export async function listHistory(
  io: CliIo,
  flags: ServerFlags,
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const response = await client.value.sendRequest(HttpMethod.Get, '/v1/config/history');
  return response.map((data) => {
    const columns = [
      { heading: 'REVISION', getCell: (row: JsonRecord) => row.revision },
      { heading: 'AUTHOR', getCell: (row: JsonRecord) => row.author },
      { heading: 'PUT', getCell: (row: JsonRecord) => formatNames(row.put) },
      { heading: 'REMOVED', getCell: (row: JsonRecord) => formatNames(row.remove) },
    ];
    return { data, text: renderTable(listRecords(data, 'entries'), columns, canUseColours(io)) };
  });
}

// Limits the line length: the first `apply` puts every file of a folder.
const maxShownNames = 4;

function formatNames(names: unknown): string {
  if (!Array.isArray(names)) return '';
  const hidden = names.length - maxShownNames;
  const shown = names.slice(0, maxShownNames).join(' ');
  return hidden > 0 ? `${shown} and ${hidden} more` : shown;
}
