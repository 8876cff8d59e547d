export * from './configuration.ts';
export * from './instance.ts';
export * from './jobrows.ts';
export * from './jobservice.ts';
export * from './mirror.ts';
export * from './relay.ts';
export * from './taskrunner.ts';
export type * from './workerentry.ts';
export * from './workerlink.ts';
