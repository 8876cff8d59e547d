import { Worker } from 'node:worker_threads';
import type { Trial, TrialResult } from './trial.ts';

/** A mean difference; its 95 % confidence interval is `mean` ± `halfWidth`. */
export interface Difference {
  mean: number;
  halfWidth: number;
}

const normalQuantile = 1.96;
const trialUrl = new URL('./trial.ts', import.meta.url).href;
// A worker thread does not inherit the TypeScript loader of its process.
const threadCode = `import('tsx/esm/api').then(({ register }) => {
  register();
  return import(${JSON.stringify(trialUrl)});
});`;

/** Mean paired difference, `after` minus `before`, of two lists of values from the same trials. */
export function comparePairs(before: readonly number[], after: readonly number[]): Difference {
  const differences = after.map((value, index) => value - (before[index] ?? 0));
  const count = differences.length;
  const mean = differences.reduce((sum, value) => sum + value, 0) / Math.max(1, count);
  const squares = differences.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const deviation = Math.sqrt(squares / Math.max(1, count - 1));
  return { mean, halfWidth: (normalQuantile * deviation) / Math.sqrt(Math.max(1, count)) };
}

/** Runs trials on several threads; returns the results in the order of the trials. */
export async function runTrials(trials: readonly Trial[], threads: number): Promise<TrialResult[]> {
  const results = new Map<Trial, TrialResult>();
  const waiting = [...trials];

  function runThread(): Promise<void> {
    return new Promise((resolve, reject) => {
      const worker = new Worker(threadCode, { eval: true });
      let current: Trial | undefined;
      const sendNext = (): void => {
        current = waiting.shift();
        if (current === undefined)
          void worker.terminate().then(() => {
            resolve();
          });
        else worker.postMessage(current);
      };
      worker.on('message', (result: TrialResult) => {
        if (current !== undefined) results.set(current, result);
        sendNext();
      });
      worker.on('error', reject);
      sendNext();
    });
  }

  await Promise.all(Array.from({ length: threads }, runThread));
  return trials.flatMap((trial) => results.get(trial) ?? []);
}
