import { parentPort } from 'node:worker_threads';
import { createLoad } from './load.ts';
import { computeSummary } from './outcome.ts';
import type { Summary } from './outcome.ts';
import { listPolicies } from './policies.ts';
import { scenarios } from './scenarios.ts';
import { runSimulation } from './simulation.ts';

/** One simulation, identified by the indexes of its scenario and policy and its seed. */
export interface Trial {
  scenario: number;
  policy: number;
  seed: number;
}

/** A trial with the summary of its jobs. */
export interface TrialResult extends Trial {
  summary: Summary;
}

/** Simulates one load under one policy. */
export function runTrial({ scenario, policy, seed }: Trial): TrialResult {
  const shape = scenarios[scenario];
  const named = listPolicies()[policy];
  if (shape === undefined || named === undefined) throw new Error('unknown scenario or policy');
  const outcomes = runSimulation(createLoad(shape.load, seed), shape.fleet, named.policy);
  return { scenario, policy, seed, summary: computeSummary(outcomes) };
}

parentPort?.on('message', (message: Trial) => parentPort?.postMessage(runTrial(message)));
