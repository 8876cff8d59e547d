export * from './action.ts';
export * from './core.ts';
export * from './event.ts';
export * from './oversell.ts';
export type { PlacementPolicy } from './policy.ts';
export type * from './scheduler.ts';
export * from './spec.ts';
