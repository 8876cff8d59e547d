import type { Row, RowValue } from '@bergamotreach/hosting';

/** Key of the row that names the revision in force. */
export const headKey = 'config/head';

/** Which revision is in force. */
export interface ConfigHead {
  /** 0 when no configuration was ever applied. */
  revision: number;
  /** Hash of the manifest; empty for revision 0. */
  manifest: string;
  operationId: string;
  author: string;
  /** Version of the row, for compare-and-set. */
  rowVersion: number;
}

/** Builds the head from its row; an absent row is revision 0. */
export function buildHead(row: Row | undefined): ConfigHead {
  const value = (row?.value ?? {}) as Record<string, RowValue>;
  return {
    revision: typeof value.revision === 'number' ? value.revision : 0,
    manifest: formatText(value.manifest),
    operationId: formatText(value.operationId),
    author: formatText(value.author),
    rowVersion: row?.version ?? 0,
  };
}

function formatText(value: RowValue | undefined): string {
  return typeof value === 'string' ? value : '';
}
