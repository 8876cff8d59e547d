import { createSystemClock } from '@bergamotreach/protocol';
import { defineCommand, runMain } from 'citty';
import { ezelpadLayout, trinacriaLayout } from './layout.ts';
import { startPlatform } from './platform.ts';

const layouts = new Map([ezelpadLayout, trinacriaLayout].map((layout) => [layout.name, layout]));

const command = defineCommand({
  meta: { name: 'standin', description: 'Runs a platform stand-in until SIGTERM' },
  args: {
    layout: { type: 'string', default: 'ezelpad', description: 'ezelpad or trinacria' },
    port: { type: 'string', default: '0', description: 'port of the platform services' },
    seed: { type: 'string', default: '1', description: 'seed of the random faults' },
  },
  run: async ({ args }) => {
    const layout = layouts.get(args.layout);
    if (layout === undefined) throw new Error(`layout "${args.layout}" does not exist`);
    const platform = await startPlatform({
      layout,
      clock: createSystemClock(),
      host: '127.0.0.1',
      port: Number(args.port),
      seed: Number(args.seed),
    });
    process.stdout.write(`${JSON.stringify({ address: platform.address })}\n`);
    process.once('SIGTERM', () => {
      void platform.close().then(() => process.exit(0));
    });
  },
});

await runMain(command);
