import { Worker } from 'node:worker_threads';
import type { Play, Played } from './player.ts';

/** A mean difference with half the width of its 95 % interval. */
export interface Difference {
  mean: number;
  interval: number;
}

const normalQuantile = 1.96;
const playerUrl = new URL('./player.ts', import.meta.url).href;
// A thread does not take over the TypeScript loader of its process.
const threadCode = `import('tsx/esm/api').then(({ register }) => {
  register();
  return import(${JSON.stringify(playerUrl)});
});`;

/** Compares two lists of figures of the same plays, pair by pair. */
export function comparePairs(before: readonly number[], after: readonly number[]): Difference {
  const differences = after.map((value, index) => value - (before[index] ?? 0));
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / Math.max(1, count);
  const squares = differences.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const deviation = Math.sqrt(squares / Math.max(1, count - 1));
  return { mean, interval: (normalQuantile * deviation) / Math.sqrt(Math.max(1, count)) };
}

/** Runs plays on several threads; the results come in the order of the plays. */
export async function runPlays(plays: readonly Play[], threads: number): Promise<Played[]> {
  const results = new Map<Play, Played>();
  const waiting = [...plays];

  function runThread(): Promise<void> {
    return new Promise((resolve, reject) => {
      const worker = new Worker(threadCode, { eval: true });
      let current: Play | undefined;
      const sendNext = (): void => {
        current = waiting.shift();
        if (current === undefined)
          void worker.terminate().then(() => {
            resolve();
          });
        else worker.postMessage(current);
      };
      worker.on('message', (played: Played) => {
        if (current !== undefined) results.set(current, played);
        sendNext();
      });
      worker.on('error', reject);
      sendNext();
    });
  }

  await Promise.all(Array.from({ length: threads }, runThread));
  return plays.flatMap((play) => results.get(play) ?? []);
}
