import type { PlacementPolicy } from '@bergamotreach/placement';

/** Variants of the shipped policy, each with one option disabled or changed. */
export const policyVariants: readonly (readonly [
  name: string,
  change: Partial<PlacementPolicy>,
])[] = [
  ['no levels of service', { hasServiceLevels: false }],
  ['levels by accelerator-s', { widthExponent: 1 }],
  ['declared time unused', { usesDeclaredWork: false }],
  ['no preemption', { hasPreemption: false }],
  ['no reservation', { hasReservation: false }],
  ['first cells', { hasBestFit: false }],
  ['free before reclaim', { prefersFreeCapacity: true }],
  ['no migration', { hasMigration: false }],
  ['split cost 600 s', { splitCostSeconds: 600 }],
  ['widest first', { hasWidestFirst: true }],
  ['not widest first', { hasWidestFirst: false }],
];
