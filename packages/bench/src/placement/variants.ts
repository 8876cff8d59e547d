import type { PlacementPolicy } from '@bergamotreach/placement';

/** Variants of the shipped policy, each with one option disabled or changed. */
export const policyVariants: readonly (readonly [
  name: string,
  change: Partial<PlacementPolicy>,
])[] = [
  ['no levels of service', { hasLevels: false }],
  ['levels by accelerator-s', { widthPower: 1 }],
  ['declared time unused', { usesDeclared: false }],
  ['no preemption', { hasPreemption: false }],
  ['no reservation', { hasReservation: false }],
  ['first cells', { hasCellChoice: false }],
  ['free before reclaim', { prefersFree: true }],
  ['no migration', { hasMigration: false }],
  ['split cost 600 s', { splitCostSeconds: 600 }],
  ['widest first', { hasWidestFirst: true }],
  ['not widest first', { hasWidestFirst: false }],
];
