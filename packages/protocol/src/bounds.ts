import * as z from 'zod/mini';

/** Bounds of values from outside the process, beyond which an entry is taken for that of another writer. */

/** Longest name of a worker, job, queue, account, label or data centre, in characters. */
export const maxNameChars = 1000;
/** Longest id in a row or list of the platform, which limits keys to 200 bytes. */
export const maxIdChars = 200;
/** Largest resource amount, duration in milliseconds, or other quantity. */
const maxAmount = 1e12;
/** Latest Unix time that a date can hold, in milliseconds. */
const maxUnixMs = 8.64e15;
const maxPort = 65_535;
const maxOctet = 255;

/** Name of up to `maxNameChars` characters. */
export const nameSchema = z.string().check(z.maxLength(maxNameChars));
/** Id of up to `maxIdChars` characters. */
export const idSchema = z.string().check(z.maxLength(maxIdChars));
/** Quantity from 0 to `maxAmount`. */
export const amountSchema = z.number().check(z.gte(0), z.lte(maxAmount));
/** Whole number from 0. */
export const ordinalSchema = z.int().check(z.gte(0));
/** Unix time in milliseconds. */
export const unixMsSchema = z.number().check(z.gte(0), z.lte(maxUnixMs));
/** `ip:port` of an IPv4 host to which a connection can be opened. */
export const addressSchema = z.string().check(z.refine(isAddress, 'not an address'));

const addressPattern = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/u;

function isAddress(text: string): boolean {
  const parts = addressPattern.exec(text)?.slice(1) ?? [];
  if (parts.some((part) => part.length > 1 && part.startsWith('0'))) return false;
  const numbers = parts.map(Number);
  const port = numbers.pop() ?? 0;
  const [network = 0] = numbers;
  return network > 0 && numbers.every((octet) => octet <= maxOctet) && port > 0 && port <= maxPort;
}
