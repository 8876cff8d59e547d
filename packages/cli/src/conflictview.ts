import type { ConflictDetails, ConflictFile } from '@bergamotreach/config';

const maxShownLines = 60;

/** Renders the conflicting changes per file, from the details of a `conflict` fault. */
export function renderConflict(details: object): string[] {
  const { theirs = [], files = [] } = details as Partial<ConflictDetails>;
  const changes = theirs.map(
    ({ revision, author, put, remove }) =>
      `  revision ${revision} by ${author}: ${formatNames('put', put)} ${formatNames('removed', remove)}`,
  );
  return [...changes.map((line) => line.trimEnd()), ...files.flatMap(renderFile)];
}

function formatNames(verb: string, names: readonly string[]): string {
  return names.length === 0 ? '' : `${verb} ${names.join(', ')}`;
}

function renderFile(file: ConflictFile): string[] {
  return [
    `  file ${file.name}: changed by ${formatSides(file)}`,
    ...(file.isChangedByTheirs ? renderContent('theirs', file.theirs) : []),
    ...(file.isChangedByYours ? renderContent('yours', file.yours) : []),
  ];
}

function formatSides(file: ConflictFile): string {
  if (file.isChangedByTheirs && file.isChangedByYours) return 'both';
  return file.isChangedByTheirs ? 'them' : 'you';
}

function renderContent(side: string, content: string | null | undefined): string[] {
  if (content === undefined) return [`    ${side}: not readable`];
  if (content === null) return [`    ${side}: removed`];
  const lines = content.trimEnd().split('\n');
  const shown = lines.slice(0, maxShownLines).map((line) => `    ${side} | ${line}`);
  const hidden = lines.length - shown.length;
  return hidden > 0 ? [...shown, `    ${side} | ... ${hidden} more lines`] : shown;
}
