/** Kinds of entries in the table of configuration keys. */
export enum FieldKind {
  Number = 'number',
  Text = 'text',
  Flag = 'flag',
  /** Object with a fixed set of keys. */
  Group = 'group',
  /** Object whose keys are names chosen by the operator. */
  Map = 'map',
  List = 'list',
}

/** A number with unit and inclusive range. */
export interface NumberField {
  kind: FieldKind.Number;
  unit: string;
  isInteger: boolean;
  min: number;
  max: number;
  /** Absent when the key is required. */
  default?: number;
}

/** A text, restricted by a pattern or to listed values. */
export interface TextField {
  kind: FieldKind.Text;
  /** What the text is, for messages and the documentation. */
  unit: string;
  pattern: RegExp;
  /** Allowed values; empty when only the pattern restricts the text. */
  values: readonly string[];
  default?: string;
}

/** A truth value. */
export interface FlagField {
  kind: FieldKind.Flag;
  default: boolean;
}

/** An object with a fixed set of keys; absent groups take the defaults of their keys. */
export interface GroupField {
  kind: FieldKind.Group;
  keys: Readonly<Record<string, Field>>;
}

/** An object from names to values of one kind; default empty. */
export interface MapField {
  kind: FieldKind.Map;
  /** What the names stand for, used as placeholder in documented paths. */
  placeholder: string;
  value: Field;
  maxEntries: number;
}

/** An array of values of one kind; default empty. */
export interface ListField {
  kind: FieldKind.List;
  value: Field;
  maxEntries: number;
}

/** One entry of the table of configuration keys. */
export type Field = NumberField | TextField | FlagField | GroupField | MapField | ListField;

/** Pattern of operator-chosen names: accounts, services, data centres, regions, racks. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/u;

/** Creates an integer field. */
export function createInteger(unit: string, min: number, max: number, value?: number): NumberField {
  return createNumberField(unit, true, min, max, value);
}

/** Creates a field for a number with fraction. */
export function createDecimal(unit: string, min: number, max: number, value?: number): NumberField {
  return createNumberField(unit, false, min, max, value);
}

function createNumberField(
  unit: string,
  isInteger: boolean,
  min: number,
  max: number,
  value?: number,
): NumberField {
  const field: NumberField = { kind: FieldKind.Number, unit, isInteger, min, max };
  return value === undefined ? field : { ...field, default: value };
}

/** Creates a field for a name chosen by the operator. */
export function createName(unit: string, value?: string): TextField {
  const field: TextField = { kind: FieldKind.Text, unit, pattern: namePattern, values: [] };
  return value === undefined ? field : { ...field, default: value };
}

/** Creates a field with listed values. */
export function createChoice(unit: string, values: readonly string[], value?: string): TextField {
  const field: TextField = { kind: FieldKind.Text, unit, pattern: /^.*$/u, values };
  return value === undefined ? field : { ...field, default: value };
}

/** Creates a group of keys. */
export function createGroup(keys: Record<string, Field>): GroupField {
  return { kind: FieldKind.Group, keys };
}

/** Creates a map from names to values. */
export function createMap(placeholder: string, value: Field, maxEntries: number): MapField {
  return { kind: FieldKind.Map, placeholder, value, maxEntries };
}

/** Creates a list of values. */
export function createList(value: Field, maxEntries: number): ListField {
  return { kind: FieldKind.List, value, maxEntries };
}
