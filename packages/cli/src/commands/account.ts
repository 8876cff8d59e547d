import type { CommandDef } from 'citty';
import { createCommand } from '../command.ts';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient } from '../client.ts';
import type { JsonRecord, ServerFlags } from '../client.ts';
import { serverFlags } from '../flags.ts';
import { canUseColours } from '../io.ts';
import type { CliIo } from '../io.ts';
import { printResult } from '../output.ts';
import type { CommandOutput } from '../output.ts';
import { createColumns, listRecords, renderRecord, renderTable } from '../table.ts';

const accountColumns = createColumns(['id', 'weight', 'quotaAccelerators', 'inUse', 'queued']);
const guaranteeColumns = createColumns([
  'account',
  'dataCentre',
  'accelerators',
  'guaranteed',
  'inUse',
  'lentOut',
  'reclaimable',
]);

/** Creates `account` with its subcommands. */
export function createAccountCommand(io: CliIo): CommandDef {
  const ls = createCommand({
    meta: { description: 'List accounts with their usage' },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, listAccounts(io, args)),
  });
  const show = createCommand({
    meta: { description: 'Show an account with its guarantees' },
    args: { id: { type: 'positional', required: true, description: 'Account' }, ...serverFlags },
    run: ({ args }) => printResult(io, args.json, showAccount(io, args, args.id)),
  });
  return createCommand({
    meta: { name: 'account', description: 'Show client accounts and their guarantees' },
    subCommands: { ls, show },
  });
}

async function loadAccounts(io: CliIo, flags: ServerFlags): Promise<Result<JsonRecord, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  return client.value.sendRequest(HttpMethod.Get, '/v1/accounts');
}

async function listAccounts(io: CliIo, flags: ServerFlags): Promise<Result<CommandOutput, Fault>> {
  const response = await loadAccounts(io, flags);
  return response.map((data) => {
    const table = renderTable(listRecords(data, 'accounts'), accountColumns, canUseColours(io));
    return { data, text: `${table}${formatUnreachable(data.unreachableRegions)}` };
  });
}

// The totals exclude usage in regions that did not respond.
function formatUnreachable(regions: unknown): string {
  const isPartial = Array.isArray(regions) && regions.length > 0;
  return isPartial ? `excluding regions that did not respond: ${regions.join(', ')}\n` : '';
}

async function showAccount(
  io: CliIo,
  flags: ServerFlags,
  id: string,
): Promise<Result<CommandOutput, Fault>> {
  const response = await loadAccounts(io, flags);
  if (response.isErr()) return response;
  const account = listRecords(response.value, 'accounts').find((row) => row.id === id);
  if (account === undefined) {
    return Err(createFault(FaultCode.NotFound, `account ${JSON.stringify(id)} does not exist`));
  }
  const guarantees = listRecords(response.value, 'guarantees').filter((row) => row.account === id);
  const table = renderTable(guarantees, guaranteeColumns, canUseColours(io));
  const text = `${renderRecord(account)}\n${table}`;
  return Ok({ data: { account, guarantees }, text });
}
