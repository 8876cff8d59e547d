import { match } from 'ts-pattern';
import { FieldKind } from './field.ts';
import type { Field, GroupField, MapField } from './field.ts';
import { isObject } from './merge.ts';
import type { JsonValue } from './merge.ts';

/**
 * Fills defaults into a value. Keys that the table does not have are left out, so that a daemon
 * can use a revision that a newer daemon has accepted.
 */
export function applyDefaults(field: Field, value: JsonValue | undefined): unknown {
  return match(field)
    .with({ kind: FieldKind.Group }, (group) => applyGroup(group, value))
    .with({ kind: FieldKind.Map }, (map) => applyMap(map, value))
    .with({ kind: FieldKind.List }, (list) =>
      Array.isArray(value) ? value.map((item) => applyDefaults(list.value, item)) : [],
    )
    .otherwise((scalar) => value ?? scalar.default);
}

function applyGroup(group: GroupField, value: JsonValue | undefined): unknown {
  const source = isObject(value) ? value : {};
  const entries = Object.entries(group.keys).map(
    ([key, field]) => [key, applyDefaults(field, source[key])] as const,
  );
  return Object.fromEntries(entries);
}

function applyMap(map: MapField, value: JsonValue | undefined): unknown {
  const source = isObject(value) ? value : {};
  const entries = Object.entries(source).map(
    ([key, item]) => [key, applyDefaults(map.value, item)] as const,
  );
  return Object.fromEntries(entries);
}
