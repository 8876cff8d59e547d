export * from './io.ts';
export * from './run.ts';
