import { CostMeasure } from '@bergamotreach/scheduling';
import { defineCommand } from 'citty';
import { measurePlanning } from './planning.ts';
import type { PlanningTimes } from './planning.ts';

const workerCounts = [100, 378, 1500];
const waitingCounts = [20, 100, 400];
const defaultRounds = '15';

function formatRow({ workers, waitingGroups, p50Ms, maxMs }: PlanningTimes): string {
  const cells = [workers, waitingGroups, p50Ms.toFixed(1), maxMs.toFixed(1)];
  return cells.map((cell) => String(cell).padStart(10)).join('');
}

/** `bench planning`: time of a planning round by number of workers and waiting task groups. */
export const planningCommand = defineCommand({
  meta: { name: 'planning', description: 'Measure planning rounds on a nearly full fleet' },
  args: {
    rounds: { type: 'string', default: defaultRounds, description: 'Rounds of each size' },
    measure: {
      type: 'enum',
      options: Object.values(CostMeasure),
      default: CostMeasure.Separate,
      description: 'How waits and stops are weighed',
    },
  },
  run({ args }) {
    console.log(
      ['workers', 'waiting', 'p50 ms', 'max ms'].map((name) => name.padStart(10)).join(''),
    );
    for (const workers of workerCounts) {
      for (const waiting of waitingCounts) {
        console.log(
          formatRow(measurePlanning(workers, waiting, Number(args.rounds), args.measure)),
        );
      }
    }
  },
});
