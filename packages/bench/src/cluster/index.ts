export * from './client.ts';
export * from './cluster.ts';
export * from './daemonprocess.ts';
