export type { ActiveConfig } from './active.ts';
export * from './check.ts';
export type * from './conflict.ts';
export * from './effective.ts';
export * from './head.ts';
export type { HistoryEntry } from './history.ts';
export * from './revision.ts';
export * from './store.ts';
export * from './task.ts';
