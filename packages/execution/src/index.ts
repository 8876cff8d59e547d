export * from './options.ts';
export type * from './owner.ts';
export { createRegionOwner } from './owner.ts';
