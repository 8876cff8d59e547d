export * from './claim.ts';
export * from './claims.ts';
export * from './committer.ts';
export * from './jobrecord.ts';
export * from './jobstore.ts';
export * from './lease.ts';
export * from './transaction.ts';
