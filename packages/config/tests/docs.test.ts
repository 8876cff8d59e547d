import { FaultCode, faultResponses } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { formatAllowed } from '../src/describe.ts';
import { FieldKind } from '../src/field.ts';
import type { Field } from '../src/field.ts';
import { configKeys } from '../src/keys.ts';

/** Returns the first `count` cells of the table rows that start with a code span. */
function listRows(page: string, count: number): string[] {
  return readFileSync(page, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) => line.split('|').slice(1, count + 1))
    .map((cells) => cells.map((cell) => cell.trim()).join(' | '));
}

function formatRow(path: string, field: Field): string {
  if (field.kind === FieldKind.Map || field.kind === FieldKind.List) {
    return `\`${path}\` | entries | empty | 0 to ${field.maxEntries}`;
  }
  if (field.kind === FieldKind.Group) return '';
  const value = String(field.default ?? 'required');
  if (field.kind === FieldKind.Flag) return `\`${path}\` | flag | ${value} | true or false`;
  if (field.kind === FieldKind.Text) {
    const range = field.values.length > 0 ? formatAllowed(field) : `\`${field.pattern.source}\``;
    return `\`${path}\` | ${field.unit} | ${value} | ${range}`;
  }
  const type = field.isInteger ? 'integer' : 'number';
  return `\`${path}\` | ${field.unit} | ${value} | ${type}, ${field.min} to ${field.max}`;
}

function listKeyRows(path: string, field: Field): string[] {
  const own = formatRow(path, field);
  if (field.kind === FieldKind.Group) {
    const prefix = path === '' ? '' : `${path}.`;
    return Object.entries(field.keys).flatMap(([key, inner]) => listKeyRows(prefix + key, inner));
  }
  if (field.kind === FieldKind.Map) {
    return [own, ...listKeyRows(`${path}.<${field.placeholder}>`, field.value)];
  }
  return field.kind === FieldKind.List ? [own, ...listKeyRows(`${path}[]`, field.value)] : [own];
}

test('docs/configuration.md lists exactly the keys of the code', () => {
  expect(listRows('docs/configuration.md', 4)).toEqual(listKeyRows('', configKeys));
});

test('docs/errors.md lists exactly the responses of the code', () => {
  const rows = Object.values(FaultCode).map((code) => {
    const { status, outcome, exitCode } = faultResponses[code];
    return `\`${code}\` | ${status} | ${outcome} | ${exitCode}`;
  });
  expect(listRows('docs/errors.md', 4)).toEqual(rows);
});
