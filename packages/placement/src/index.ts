export * from './action.ts';
export * from './event.ts';
export type * from './scheduler.ts';
export * from './spec.ts';
