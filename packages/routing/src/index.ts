export * from './config.ts';
export type { RouterOptions } from './context.ts';
export * from './request.ts';
export * from './router.ts';
