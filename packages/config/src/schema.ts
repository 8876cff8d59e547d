import { match } from 'ts-pattern';
import { z } from 'zod';
import { FieldKind, namePattern } from './field.ts';
import type { Field, GroupField, MapField, NumberField, TextField } from './field.ts';
import { configKeys } from './keys.ts';

/** A finding of the schema: where, and which keys are unknown there (empty for other findings). */
export interface SchemaIssue {
  path: (string | number)[];
  unknownKeys: string[];
}

// This module loads zod, so only the check imports it, and only dynamically.
const schema = buildSchema(configKeys);

/** Checks a merged configuration and lists all findings. */
export function listIssues(merged: unknown): SchemaIssue[] {
  const parsed = schema.safeParse(merged);
  return parsed.success ? [] : parsed.error.issues.map(buildIssue);
}

function buildIssue(issue: z.core.$ZodIssue): SchemaIssue {
  const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
  return { path, unknownKeys: issue.code === 'unrecognized_keys' ? issue.keys : [] };
}

function buildSchema(field: Field): z.ZodType {
  return match(field)
    .with({ kind: FieldKind.Number }, buildNumber)
    .with({ kind: FieldKind.Text }, buildText)
    .with({ kind: FieldKind.Flag }, () => z.boolean().optional())
    .with({ kind: FieldKind.Group }, buildGroup)
    .with({ kind: FieldKind.Map }, buildMap)
    .with({ kind: FieldKind.List }, (list) =>
      z.array(buildSchema(list.value)).max(list.maxEntries).optional(),
    )
    .exhaustive();
}

function buildNumber(field: NumberField): z.ZodType {
  const range = z.number().min(field.min).max(field.max);
  const number = field.isInteger ? range.int() : range;
  return field.default === undefined ? number : number.optional();
}

function buildText(field: TextField): z.ZodType {
  const text = field.values.length > 0 ? z.enum(field.values) : z.string().regex(field.pattern);
  return field.default === undefined ? text : text.optional();
}

function buildGroup(group: GroupField): z.ZodType {
  const entries = Object.entries(group.keys).map(([key, field]) => [key, buildSchema(field)]);
  return z.strictObject(Object.fromEntries(entries) as Record<string, z.ZodType>).optional();
}

function buildMap(map: MapField): z.ZodType {
  return z
    .record(z.string().regex(namePattern), buildSchema(map.value))
    .refine((value) => Object.keys(value).length <= map.maxEntries)
    .optional();
}
