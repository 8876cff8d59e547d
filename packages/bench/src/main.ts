import { defineCommand, runMain } from 'citty';

const main = defineCommand({
  meta: { name: 'bench', description: 'Benchmarks of bergamotreach; load goes to loopback only' },
  // Benchmarks are imported on demand.
  subCommands: {
    placement: async () => (await import('./placement/command.ts')).placementCommand,
    requests: async () => (await import('./requests/command.ts')).requestsCommand,
    planning: async () => (await import('./planning/command.ts')).planningCommand,
    decisions: async () => (await import('./decisions/command.ts')).decisionsCommand,
    capacity: async () => (await import('./capacity/command.ts')).capacityCommand,
    restarts: async () => (await import('./restarts/command.ts')).restartsCommand,
  },
});

await runMain(main);
