import { defineCommand } from 'citty';

/** `npm run bench -- capacity`: cost of each role of a daemon, and its value at the design size. */
export const capacityCommand = defineCommand({
  meta: { name: 'capacity', description: 'Measures the cost of each role of a daemon' },
  run: async () => {
    const { closeClient } = await import('../cluster/index.ts');
    const { runCapacity } = await import('./report.ts');
    await runCapacity();
    await closeClient();
  },
});
