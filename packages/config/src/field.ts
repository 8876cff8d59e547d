/** Kinds of fields in the table of configuration keys. */
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

/** A number with a unit and an inclusive range. */
export interface NumberField {
  kind: FieldKind.Number;
  unit: string;
  isInteger: boolean;
  min: number;
  max: number;
  /** Absent when the key is required. */
  default?: number;
}

/** A string, restricted by a pattern or to listed values. */
export interface TextField {
  kind: FieldKind.Text;
  /** Meaning of the string, for messages and the documentation. */
  unit: string;
  pattern: RegExp;
  /** Allowed values; empty when only the pattern applies. */
  values: readonly string[];
  default?: string;
}

/** A boolean. */
export interface FlagField {
  kind: FieldKind.Flag;
  default: boolean;
}

/** An object with a fixed set of keys. An absent group has the defaults of its keys. */
export interface GroupField {
  kind: FieldKind.Group;
  keys: Readonly<Record<string, Field>>;
}

/** An object that maps names to values of one kind; empty by default. */
export interface MapField {
  kind: FieldKind.Map;
  /** Meaning of the names, used as a placeholder in documented paths. */
  placeholder: string;
  value: Field;
  maxEntries: number;
}

/** An array of values of one kind; empty by default. */
export interface ListField {
  kind: FieldKind.List;
  value: Field;
  maxEntries: number;
}

/** An entry of the table of configuration keys. */
export type Field = NumberField | TextField | FlagField | GroupField | MapField | ListField;

/** Pattern of names that operators choose: accounts, services, data centres, regions, racks. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/u;

/** Creates an integer field. */
export function createInteger(
  unit: string,
  min: number,
  max: number,
  defaultValue?: number,
): NumberField {
  return createNumberField(unit, true, min, max, defaultValue);
}

/** Creates a field for a number that may have a fraction. */
export function createDecimal(
  unit: string,
  min: number,
  max: number,
  defaultValue?: number,
): NumberField {
  return createNumberField(unit, false, min, max, defaultValue);
}

function createNumberField(
  unit: string,
  isInteger: boolean,
  min: number,
  max: number,
  defaultValue?: number,
): NumberField {
  const field: NumberField = { kind: FieldKind.Number, unit, isInteger, min, max };
  return defaultValue === undefined ? field : { ...field, default: defaultValue };
}

/** Creates a field for a name that matches `namePattern`. */
export function createName(unit: string, defaultValue?: string): TextField {
  const field: TextField = { kind: FieldKind.Text, unit, pattern: namePattern, values: [] };
  return defaultValue === undefined ? field : { ...field, default: defaultValue };
}

/** Creates a field that allows only the listed values. */
export function createChoice(
  unit: string,
  values: readonly string[],
  defaultValue?: string,
): TextField {
  const field: TextField = { kind: FieldKind.Text, unit, pattern: /^.*$/u, values };
  return defaultValue === undefined ? field : { ...field, default: defaultValue };
}

/** Creates a field for an object with a fixed set of keys. */
export function createGroup(keys: Record<string, Field>): GroupField {
  return { kind: FieldKind.Group, keys };
}

/** Creates a field for an object that maps names to values. */
export function createMap(placeholder: string, value: Field, maxEntries: number): MapField {
  return { kind: FieldKind.Map, placeholder, value, maxEntries };
}

/** Creates a field for an array of values. */
export function createList(value: Field, maxEntries: number): ListField {
  return { kind: FieldKind.List, value, maxEntries };
}
