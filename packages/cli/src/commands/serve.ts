import type { CommandDef } from 'citty';
import { createCommand } from '../command.ts';

/** Creates `serve`, which runs the daemon until it is stopped. */
export function createServeCommand(): CommandDef {
  return createCommand({
    meta: { name: 'serve', description: 'Run a daemon' },
    args: {
      settings: {
        type: 'string',
        required: true,
        valueHint: 'FILE',
        description: 'Settings file of the daemon, JSON',
      },
    },
    run: async ({ args }) => {
      const { runDaemon } = await import('@bergamotreach/daemon');
      return runDaemon(args.settings);
    },
  });
}
