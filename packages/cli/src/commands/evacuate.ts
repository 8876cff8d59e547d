import type { CommandDef } from 'citty';
import { createCommand } from '../command.ts';
import { evacuateDataCentre } from '../configchange.ts';
import { serverFlags } from '../flags.ts';
import type { CliIo } from '../io.ts';
import { printResult } from '../output.ts';

/** Creates `evacuate`. */
export function createEvacuateCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: {
      name: 'evacuate',
      description: 'Start nothing more in a data centre; running gangs are left to end',
    },
    args: {
      name: { type: 'positional', required: true, description: 'Data centre' },
      end: { type: 'boolean', description: 'Take the data centre back', default: false },
      ...serverFlags,
    },
    run: ({ args }) =>
      printResult(io, args.json, evacuateDataCentre(io, args, args.name, args.end)),
  });
}
