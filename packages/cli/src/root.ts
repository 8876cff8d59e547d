import type { CommandDef } from 'citty';
import { ExitCode } from '@bergamotreach/protocol';
import { createCommand } from './command.ts';
import type { CliIo } from './io.ts';

/** Version of the binary. */
export const version = '0.1.0';

const exitCodeMeanings: Record<ExitCode, string> = {
  [ExitCode.Ok]: 'success',
  [ExitCode.Usage]: 'wrong command line or malformed request',
  [ExitCode.Invalid]: 'input refused: configuration not valid or oversold, job never fits',
  [ExitCode.Conflict]: 'conflict with another change or id',
  [ExitCode.Denied]: 'token not accepted or not allowed',
  [ExitCode.NotFound]: 'no such object',
  [ExitCode.Refused]: 'refused for now: quota, queue or deadline',
  [ExitCode.Unavailable]: 'daemon or store not reachable',
  [ExitCode.Unknown]: 'not known whether it took effect',
  [ExitCode.Failed]: 'the work ran and failed',
};

/** Exit codes for the help text, one per line. */
export const exitCodeLines = [
  'EXIT CODES',
  '',
  ...Object.entries(exitCodeMeanings).map(([code, meaning]) => `  ${code.padStart(2)}  ${meaning}`),
  '',
].join('\n');

/** Creates the command tree. The module of a command is loaded when it is run or listed. */
export function createRootCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'bergamotreach', version, description: 'Scheduler of gang jobs and requests' },
    subCommands: {
      serve: async () => (await import('./commands/serve.ts')).createServeCommand(),
      config: async () => (await import('./commands/config.ts')).createConfigCommand(io),
      evacuate: async () => (await import('./commands/evacuate.ts')).createEvacuateCommand(io),
      account: async () => (await import('./commands/account.ts')).createAccountCommand(io),
      job: async () => (await import('./commands/job.ts')).createJobCommand(io),
      worker: async () => (await import('./commands/instance.ts')).createWorkerCommand(io),
      instance: async () => (await import('./commands/instance.ts')).createInstanceCommand(io),
      log: async () => (await import('./commands/log.ts')).createLogCommand(io),
      drain: async () => (await import('./commands/daemon.ts')).createDrainCommand(io),
      dump: async () => (await import('./commands/daemon.ts')).createDumpCommand(io),
    },
  });
}
