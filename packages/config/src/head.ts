import type { Row, RowValue } from '@bergamotreach/hosting';

/** Key of the row that names the active revision. */
export const headKey = 'config/head';

/** The active revision, as recorded in the store. */
export interface ConfigHead {
  /** 0 when no configuration has been committed. */
  revision: number;
  /** Hash of the manifest; empty for revision 0. */
  manifest: string;
  operationId: string;
  author: string;
  /** Version of the row, for conditional writes. */
  rowVersion: number;
}

/** Builds the head from its row; without a row, it is revision 0. */
export function buildHead(row: Row | undefined): ConfigHead {
  const value = (row?.value ?? {}) as Record<string, RowValue>;
  return {
    revision: typeof value.revision === 'number' ? value.revision : 0,
    manifest: readText(value.manifest),
    operationId: readText(value.operationId),
    author: readText(value.author),
    rowVersion: row?.version ?? 0,
  };
}

function readText(value: RowValue | undefined): string {
  return typeof value === 'string' ? value : '';
}
