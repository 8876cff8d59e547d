import { closest } from 'fastest-levenshtein';
import { match } from 'ts-pattern';
import { FieldKind, namePattern } from './field.ts';
import type { Field, NumberField, TextField } from './field.ts';
import { configKeys } from './keys.ts';
import { isObject } from './merge.ts';
import type { JsonPath, JsonValue } from './merge.ts';

const maxShownCharacters = 80;

/** Finds the field of the key table for a path; `undefined` when no key matches. */
export function findField(path: JsonPath): Field | undefined {
  let field: Field | undefined = configKeys;
  for (const part of path) field = findChildField(field, part);
  return field;
}

function findChildField(field: Field | undefined, part: string | number): Field | undefined {
  if (field === undefined) return undefined;
  return match(field)
    .with({ kind: FieldKind.Group }, ({ keys }) =>
      Object.hasOwn(keys, part) ? keys[part] : undefined,
    )
    .with({ kind: FieldKind.Map }, { kind: FieldKind.List }, ({ value }) => value)
    .otherwise(() => undefined);
}

/** Finds the value at a path; `undefined` when there is none. */
export function findValue(root: JsonValue, path: JsonPath): JsonValue | undefined {
  let value: JsonValue | undefined = root;
  for (const part of path) {
    if (Array.isArray(value)) value = value[Number(part)];
    else if (isObject(value)) value = value[part];
    else return undefined;
  }
  return value;
}

/** Describes the values that a field allows, with unit and range. */
export function formatAllowed(field: Field): string {
  return match(field)
    .with({ kind: FieldKind.Number }, formatNumber)
    .with({ kind: FieldKind.Text }, formatText)
    .with({ kind: FieldKind.Flag }, () => 'true or false')
    .with({ kind: FieldKind.Group }, ({ keys }) => `object with ${Object.keys(keys).join(', ')}`)
    .with(
      { kind: FieldKind.Map },
      ({ placeholder, maxEntries }) => `object of at most ${maxEntries} by ${placeholder} name`,
    )
    .with({ kind: FieldKind.List }, ({ maxEntries }) => `array of at most ${maxEntries}`)
    .exhaustive();
}

function formatNumber(field: NumberField): string {
  const type = field.isInteger ? 'integer' : 'number';
  return `${type} from ${field.min} to ${field.max} (${field.unit})`;
}

function formatText(field: TextField): string {
  if (field.values.length > 0) return field.values.join(', ');
  if (field.pattern === namePattern) return `${field.unit} name matching ${namePattern.source}`;
  return `${field.unit} matching ${field.pattern.source}`;
}

/** Formats a path as in `accounts.acme.guarantees[0].count`. */
export function formatPath(path: JsonPath): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') return `[${part}]`;
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}

/**
 * Formats a found value for a message. Token hashes are masked, because an operator may have entered
 * the token itself by mistake.
 */
export function formatFound(value: JsonValue | undefined, path: JsonPath): string {
  if (value === undefined) return 'nothing';
  if (path.includes('tokenHashes')) return 'a value that is not shown';
  if (Array.isArray(value)) return `array of ${value.length}`;
  if (isObject(value)) return `object with ${Object.keys(value).length} keys`;
  const text = JSON.stringify(value);
  return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}...` : text;
}

/** Returns the known word with the smallest edit distance; `undefined` when `known` is empty. */
export function findNearest(word: string, known: readonly string[]): string | undefined {
  return known.length === 0 ? undefined : closest(word, known);
}
