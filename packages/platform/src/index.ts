export * from './instance.ts';
export * from './objectstore.ts';
export * from './table.ts';
export * from './worker.ts';
