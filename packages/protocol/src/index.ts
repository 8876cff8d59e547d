export * from './clock.ts';
export * from './fault.ts';
export * from './frame.ts';
export * from './logger.ts';
export * from './manualclock.ts';
export * from './message.ts';
export * from './metrics.ts';
export * from './rendezvous.ts';
