export * from './claim.ts';
