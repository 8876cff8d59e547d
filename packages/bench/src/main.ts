import { defineCommand, runMain } from 'citty';

const main = defineCommand({
  meta: { name: 'bench', description: 'Benchmarks of bergamotreach' },
  subCommands: {
    // Each benchmark is loaded only when it is run.
    placement: () => import('./placement/command.ts').then((module) => module.placementCommand),
  },
});

await runMain(main);
