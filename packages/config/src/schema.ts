import { match } from 'ts-pattern';
import * as z from 'zod/mini';
import { FieldKind, namePattern } from './field.ts';
import type { Field, GroupField, MapField, NumberField, TextField } from './field.ts';
import { configKeys } from './keys.ts';

/** A violation of the schema. `unknownKeys` is empty unless the violation is unknown keys at `path`. */
export interface SchemaIssue {
  path: (string | number)[];
  unknownKeys: string[];
}

// This module loads zod, so it is imported only by check.ts, dynamically and on first use.
const schema = buildSchema(configKeys);

/** Validates a merged configuration and lists all violations. */
export function listIssues(merged: unknown): SchemaIssue[] {
  const parsed = schema.safeParse(merged);
  return parsed.success ? [] : parsed.error.issues.map(buildIssue);
}

function buildIssue(issue: z.core.$ZodIssue): SchemaIssue {
  const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
  return { path, unknownKeys: issue.code === 'unrecognized_keys' ? issue.keys : [] };
}

function buildSchema(field: Field): z.ZodMiniType {
  return match(field)
    .with({ kind: FieldKind.Number }, buildNumber)
    .with({ kind: FieldKind.Text }, buildText)
    .with({ kind: FieldKind.Flag }, () => z.optional(z.boolean()))
    .with({ kind: FieldKind.Group }, buildGroup)
    .with({ kind: FieldKind.Map }, buildMap)
    .with({ kind: FieldKind.List }, (list) =>
      z.optional(z.array(buildSchema(list.value)).check(z.maxLength(list.maxEntries))),
    )
    .exhaustive();
}

function buildNumber(field: NumberField): z.ZodMiniType {
  const type = field.isInteger ? z.int() : z.number();
  const number = type.check(z.gte(field.min), z.lte(field.max));
  return field.default === undefined ? number : z.optional(number);
}

function buildText(field: TextField): z.ZodMiniType {
  const text =
    field.values.length > 0 ? z.enum(field.values) : z.string().check(z.regex(field.pattern));
  return field.default === undefined ? text : z.optional(text);
}

function buildGroup(group: GroupField): z.ZodMiniType {
  const entries = Object.entries(group.keys).map(([key, field]) => [key, buildSchema(field)]);
  const keys = Object.fromEntries(entries) as Record<string, z.ZodMiniType>;
  return z.optional(z.strictObject(keys));
}

function buildMap(map: MapField): z.ZodMiniType {
  const record = z.record(z.string().check(z.regex(namePattern)), buildSchema(map.value));
  const hasAllowedSize = z.refine<object>((value) => Object.keys(value).length <= map.maxEntries);
  return z.optional(record.check(hasAllowedSize));
}
