import { parentPort } from 'node:worker_threads';
import { createLoad } from './load.ts';
import { measureOutcomes } from './outcome.ts';
import type { Summary } from './outcome.ts';
import { listPolicies } from './policies.ts';
import { scenarios } from './shapes.ts';
import { runLoad } from './world.ts';

/** One play, by the indexes of its scenario and policy. */
export interface Play {
  scenario: number;
  policy: number;
  seed: number;
}

/** A play with what its callers got. */
export interface Played extends Play {
  summary: Summary;
}

/** Plays one load under one policy. */
export function runPlay({ scenario, policy, seed }: Play): Played {
  const shape = scenarios[scenario];
  const named = listPolicies()[policy];
  if (shape === undefined || named === undefined) throw new Error('unknown scenario or policy');
  const outcomes = runLoad(createLoad(shape.load, seed), shape.fleet, named.policy);
  return { scenario, policy, seed, summary: measureOutcomes(outcomes) };
}

parentPort?.on('message', (message: Play) => parentPort?.postMessage(runPlay(message)));
