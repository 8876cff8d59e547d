export * from './daemon.ts';
export * from './platformclients.ts';
export * from './run.ts';
export * from './settings.ts';
