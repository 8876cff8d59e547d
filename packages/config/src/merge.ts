import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';

/** Any JSON value. */
export type JsonValue = null | string | number | boolean | JsonValue[] | JsonObject;
/** A JSON object. */
export interface JsonObject {
  [key: string]: JsonValue;
}

/** Path of a value in a JSON document, outermost key first. */
export type JsonPath = readonly (string | number)[];

/** Result of a merge, without the files that have faults. */
export interface MergedFolder {
  merged: JsonObject;
  /**
   * Returns the name of the file that set the value at a path. If nothing is set there, returns the
   * file of the closest ancestor that is set, or '' when there is none.
   */
  findFile: (path: JsonPath) => string;
  faults: Fault[];
}

/** Pattern of valid file names in a configuration folder. */
export const fileNamePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.json$/u;

// The deepest key of the schema has 7 parts; the limit prevents stack overflows on deeper nesting.
const maxDepth = 16;

/** Returns whether a value is a JSON object (not an array or `null`). */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Lists the file names of a folder in merge order, which is the order of their UTF-16 code units. */
export function listNames(files: Readonly<Record<string, string>>): string[] {
  return Object.keys(files).sort();
}

/** Merges files in name order: objects by key; later scalars and arrays replace earlier values. */
export function mergeFolder(files: Readonly<Record<string, string>>): MergedFolder {
  const merged = createObject();
  const origins = new Map<string, string>();
  const faults: Fault[] = [];
  for (const name of listNames(files)) {
    const content = parseFile(name, files[name] ?? '');
    if ('code' in content) faults.push(content);
    else mergeObject(merged, content.value, [], (path) => origins.set(formatKey(path), name));
  }
  return { merged, findFile: (path) => findOrigin(origins, path), faults };
}

// Without a prototype, so that "__proto__" is an ordinary key.
function createObject(): JsonObject {
  return Object.create(null) as JsonObject;
}

function parseFile(name: string, content: string): Fault | { value: JsonObject } {
  if (!fileNamePattern.test(name)) {
    const message = `${name}: file names consist of letters, digits, ".", "_", "-" and end in .json`;
    return createFault(FaultCode.ConfigInvalid, message, { path: [name], details: { file: name } });
  }
  try {
    const value: unknown = JSON.parse(content);
    if (!isObject(value)) return createFileFault(name, 'content is not a JSON object');
    if (!isDeeperThan(value, maxDepth)) return { value };
    return createFileFault(name, `objects are nested more than ${maxDepth} deep`);
  } catch (error) {
    return createFileFault(name, `content is not JSON: ${(error as Error).message}`);
  }
}

function isDeeperThan(value: JsonValue, depth: number): boolean {
  if (!isObject(value)) return false;
  return depth === 0 || Object.values(value).some((inner) => isDeeperThan(inner, depth - 1));
}

function createFileFault(name: string, message: string): Fault {
  return createFault(FaultCode.ConfigInvalid, `${name}: ${message}`, {
    path: [name],
    details: { file: name },
  });
}

function mergeObject(
  target: JsonObject,
  source: JsonObject,
  path: JsonPath,
  setOrigin: (path: JsonPath) => void,
): void {
  for (const [key, value] of Object.entries(source)) {
    const innerPath = [...path, key];
    setOrigin(innerPath);
    if (!isObject(value)) {
      target[key] = value;
      continue;
    }
    const earlier = target[key];
    const inner = isObject(earlier) ? earlier : createObject();
    target[key] = inner;
    mergeObject(inner, value, innerPath, setOrigin);
  }
}

function formatKey(path: JsonPath): string {
  return JSON.stringify(path);
}

function findOrigin(origins: ReadonlyMap<string, string>, path: JsonPath): string {
  for (let length = path.length; length > 0; length -= 1) {
    const file = origins.get(formatKey(path.slice(0, length)));
    if (file !== undefined) return file;
  }
  return '';
}
