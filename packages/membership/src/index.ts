export type * from './view.ts';
