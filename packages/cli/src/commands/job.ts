import type { ArgsDef, CommandDef } from 'citty';
import { createCommand } from '../command.ts';
import { serverFlags } from '../flags.ts';
import type { CliIo } from '../io.ts';
import { cancelJob, listJobs, showJob, waitForJob } from '../jobview.ts';
import { submitJob } from '../jobsubmit.ts';
import { finishCommand } from '../output.ts';

const submitFlags = {
  id: { type: 'string', valueHint: 'ID', description: 'Job id; made up when absent' },
  members: { type: 'string', valueHint: 'N', description: 'Gang members', default: '1' },
  accelerators: { type: 'string', valueHint: 'N', description: 'Per member', default: '1' },
  cores: { type: 'string', valueHint: 'N', description: 'Cores per member', default: '1' },
  memory: { type: 'string', valueHint: 'MB', description: 'Memory per member', default: '1024' },
  within: {
    type: 'string',
    valueHint: 'LEVEL',
    description: 'worker, rack or dataCentre',
    default: 'dataCentre',
  },
  urgent: { type: 'boolean', description: 'Start before other work', default: false },
  seconds: {
    type: 'string',
    valueHint: 'S',
    description: 'Declared run time, a hint',
    default: '3600',
  },
  region: { type: 'string', valueHint: 'NAME', description: 'Region; default the daemon’s own' },
  'data-centre': { type: 'string', valueHint: 'NAME', description: 'Only in this data centre' },
  payload: { type: 'string', valueHint: 'TEXT', description: 'Passed to each task' },
  'payload-file': { type: 'string', valueHint: 'FILE', description: 'Payload read from a file' },
} as const satisfies ArgsDef;

const idArgument = { id: { type: 'positional', required: true, description: 'Job id' } } as const;

/** Creates `job` with its subcommands. */
export function createJobCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'job', description: 'Submit, show, cancel and await jobs' },
    subCommands: { ...createActions(io), ...createViews(io) },
  });
}

function createActions(io: CliIo): Record<string, CommandDef> {
  const submit = createCommand({
    meta: { description: 'Submit a gang job' },
    args: { ...submitFlags, ...serverFlags },
    run: ({ args }) => finishCommand(io, args.json, submitJob(io, args)),
  });
  const cancel = createCommand({
    meta: { description: 'Cancel a job' },
    args: { ...idArgument, ...serverFlags },
    run: ({ args }) => finishCommand(io, args.json, cancelJob(io, args, args.id)),
  });
  const wait = createCommand({
    meta: { description: 'Wait until a job has ended; exit code 0 only when it is done' },
    args: {
      ...idArgument,
      timeout: { type: 'string', valueHint: 'S', description: 'Longest wait in seconds' },
      ...serverFlags,
    },
    run: ({ args }) => finishCommand(io, args.json, waitForJob(io, args, args.id, args.timeout)),
  });
  return { submit, cancel, wait };
}

function createViews(io: CliIo): Record<string, CommandDef> {
  const status = createCommand({
    meta: { description: 'Show a job' },
    args: { ...idArgument, ...serverFlags },
    run: ({ args }) => finishCommand(io, args.json, showJob(io, args, args.id)),
  });
  const ls = createCommand({
    meta: { description: 'List jobs' },
    args: {
      state: { type: 'string', valueHint: 'STATE', description: 'Only jobs in this state' },
      account: { type: 'string', valueHint: 'ID', description: 'Only jobs of this account' },
      ...serverFlags,
    },
    run: ({ args }) => finishCommand(io, args.json, listJobs(io, args, args)),
  });
  return { status, ls };
}
