export * from './endpoint.ts';
export * from './faults.ts';
export * from './layout.ts';
export * from './platform.ts';
export * from './store.ts';
export * from './workeragent.ts';
