import { defineCommand } from 'citty';

/**
 * `bench capacity`: measures the cost of each role of a daemon and extrapolates to the design size.
 */
export const capacityCommand = defineCommand({
  meta: { name: 'capacity', description: 'Measures the cost of each role of a daemon' },
  args: { role: { type: 'string', default: '', description: 'part of a role name; empty: all' } },
  run: async ({ args }) => {
    const { closeClient } = await import('../cluster/index.ts');
    const { runCapacity } = await import('./report.ts');
    await runCapacity(args.role);
    await closeClient();
  },
});
