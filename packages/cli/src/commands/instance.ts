import type { CommandDef } from 'citty';
import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient, isRecord } from '../client.ts';
import type { JsonRecord, ServerFlags } from '../client.ts';
import { createCommand } from '../command.ts';
import { serverFlags } from '../flags.ts';
import { canUseColours } from '../io.ts';
import type { CliIo } from '../io.ts';
import { printResult } from '../output.ts';
import type { CommandOutput } from '../output.ts';
import { createColumns, listRecords, renderTable } from '../table.ts';
import type { Column } from '../table.ts';

const workerColumns: Column<JsonRecord>[] = [
  ...createColumns(['id', 'region', 'dataCentre', 'rack', 'state']),
  { heading: 'ACCELERATORS', getCell: ({ capacity }) => getAccelerators(capacity) },
  ...createColumns(['isQuarantined', 'isEvacuated']),
];
const instanceColumns = createColumns(['id', 'kind', 'region', 'dataCentre', 'address', 'state']);

/** Creates `worker` with its subcommand. */
export function createWorkerCommand(io: CliIo): CommandDef {
  return createListCommand(io, 'worker', 'Show workers', 'workers', workerColumns);
}

/** Creates `instance` with its subcommand. */
export function createInstanceCommand(io: CliIo): CommandDef {
  const description = 'Show daemons, workers and endpoints';
  return createListCommand(io, 'instance', description, 'instances', instanceColumns);
}

function getAccelerators(capacity: unknown): unknown {
  return isRecord(capacity) ? capacity.accelerators : undefined;
}

function createListCommand(
  io: CliIo,
  name: string,
  description: string,
  key: string,
  columns: Column<JsonRecord>[],
): CommandDef {
  const ls = createCommand({
    meta: { description: `List ${key}` },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, listRows(io, args, key, columns)),
  });
  return createCommand({
    meta: { name, description },
    subCommands: { ls },
  });
}

async function listRows(
  io: CliIo,
  flags: ServerFlags,
  key: string,
  columns: Column<JsonRecord>[],
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const response = await client.value.sendRequest(HttpMethod.Get, `/v1/${key}`);
  return response.map((data) => ({
    data,
    text: renderTable(listRecords(data, key), columns, canUseColours(io)),
  }));
}
