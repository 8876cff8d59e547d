import type { CommandDef } from 'citty';
import { createCommand } from '../command.ts';
import { jsonFlags, serverFlags } from '../flags.ts';
import type { CliIo } from '../io.ts';
import { printResult } from '../output.ts';
import { applyFolder, checkDirectory, putFiles, removeFiles } from '../configchange.ts';
import { listFiles, listHistory, showFiles } from '../configview.ts';

const dryRun = {
  type: 'boolean',
  description: 'Show the change without sending it',
  default: false,
} as const;

/** Creates `config` with its subcommands. */
export function createConfigCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'config', description: 'Check, change and show the configuration' },
    subCommands: { ...createChangeCommands(io), ...createViewCommands(io) },
  });
}

function createChangeCommands(io: CliIo): Record<string, CommandDef> {
  const check = createCommand({
    meta: { description: 'Check a folder without a server' },
    args: {
      dir: { type: 'positional', required: true, description: 'Configuration folder' },
      ...jsonFlags,
    },
    run: ({ args }) => printResult(io, args.json, checkDirectory(args.dir)),
  });
  const apply = createCommand({
    meta: { description: 'Apply a whole folder; files not in it are removed' },
    args: {
      dir: { type: 'positional', required: true, description: 'Configuration folder' },
      'dry-run': dryRun,
      ...serverFlags,
    },
    run: ({ args }) => printResult(io, args.json, applyFolder(io, args, args.dir, args['dry-run'])),
  });
  const put = createCommand({
    meta: { description: 'Add or replace files under their base names' },
    args: {
      file: { type: 'positional', required: true, valueHint: '...', description: 'Files to send' },
      'dry-run': dryRun,
      ...serverFlags,
    },
    run: ({ args }) => printResult(io, args.json, putFiles(io, args, args._, args['dry-run'])),
  });
  const rm = createCommand({
    meta: { description: 'Remove files' },
    args: {
      name: { type: 'positional', required: true, valueHint: '...', description: 'Names of files' },
      'dry-run': dryRun,
      ...serverFlags,
    },
    run: ({ args }) => printResult(io, args.json, removeFiles(io, args, args._, args['dry-run'])),
  });
  return { check, apply, put, rm };
}

function createViewCommands(io: CliIo): Record<string, CommandDef> {
  const ls = createCommand({
    meta: { description: 'List the active files' },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, listFiles(io, args)),
  });
  const show = createCommand({
    meta: { description: 'Show one file, or the merged configuration' },
    args: {
      name: { type: 'positional', required: false, description: 'Name of a file' },
      ...serverFlags,
    },
    run: ({ args }) => printResult(io, args.json, showFiles(io, args, args.name)),
  });
  const history = createCommand({
    meta: { description: 'List accepted changes, newest first' },
    args: { ...serverFlags },
    run: ({ args }) => printResult(io, args.json, listHistory(io, args)),
  });
  return { ls, show, history };
}
