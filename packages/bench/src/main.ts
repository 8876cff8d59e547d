import { defineCommand, runMain } from 'citty';

const main = defineCommand({
  meta: { name: 'bench', description: 'Benchmarks on real processes and on loopback only' },
  subCommands: {
    restarts: async () => (await import('./restarts/command.ts')).restartsCommand,
  },
});

await runMain(main);
