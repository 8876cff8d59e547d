export * from './members.ts';
export * from './membership.ts';
export * from './peerlink.ts';
export type * from './view.ts';
