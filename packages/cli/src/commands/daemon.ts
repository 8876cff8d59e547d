import type { CommandDef } from 'citty';
import { createCommand } from '../command.ts';
import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient } from '../client.ts';
import type { ServerFlags } from '../client.ts';
import { serverFlags } from '../flags.ts';
import type { CliIo } from '../io.ts';
import { printResult } from '../output.ts';
import type { CommandOutput } from '../output.ts';

/** Creates `drain`, which shuts the called daemon down without interrupting requests. */
export function createDrainCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'drain', description: 'Shut the called daemon down gracefully' },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, requestDrain(io, args)),
  });
}

/** Creates `dump`, which prints the state of the called daemon. */
export function createDumpCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'dump', description: 'Print the state of the called daemon as JSON' },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, loadDump(io, args)),
  });
}

async function requestDrain(io: CliIo, flags: ServerFlags): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const response = await client.value.sendRequest(HttpMethod.Post, '/v1/drain', {});
  return response.map((data) => ({ data, text: 'draining\n' }));
}

async function loadDump(io: CliIo, flags: ServerFlags): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const response = await client.value.sendRequest(HttpMethod.Get, '/v1/dump');
  return response.map((data) => ({ data, text: `${JSON.stringify(data, null, 2)}\n` }));
}
