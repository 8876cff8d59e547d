import { isIPv4 } from 'node:net';
import { FaultCode, LogLevel, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import * as z from 'zod/mini';
import type { DaemonSettings } from './settings.ts';

const maxPort = 65_535;

/** Whether a text is an IPv4 address and a port. Port 0 selects a free one. */
function isAddress(text: string): boolean {
  const [host = '', port = '', ...rest] = text.split(':');
  const isPort = /^\d{1,5}$/u.test(port) && Number(port) <= maxPort;
  return isIPv4(host) && isPort && rest.length === 0;
}

const address = z
  .string()
  .check(z.refine(isAddress, 'expected ip:port, for example 10.0.0.5:8080'));
const httpPrefix = 'http://';

function isHttpUrl(text: string): boolean {
  return text.startsWith(httpPrefix) && isAddress(text.slice(httpPrefix.length));
}

const hash = z.string().check(z.regex(/^[0-9a-f]{64}$/u, 'expected 64 hexadecimal digits'));
const name = z
  .string()
  .check(z.regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/u, 'expected a name of at most 64 characters'));
const minSecretLength = 16;

const settingsSchema = z.strictObject({
  id: name,
  region: name,
  dataCentre: name,
  httpAddress: address,
  peerAddress: address,
  platformUrl: z.string().check(z.refine(isHttpUrl, 'expected http://ip:port')),
  seeds: z._default(z.array(address), []),
  peerSecret: z.string().check(z.minLength(minSecretLength)),
  operatorTokenHash: hash,
  logLevel: z._default(z.enum(LogLevel), LogLevel.Info),
  statsd: z.optional(
    z.strictObject({ host: z.string(), port: z.int().check(z.gte(1), z.lte(maxPort)) }),
  ),
});

function formatIssue(issue: z.core.$ZodIssue): string {
  const key = issue.path.length === 0 ? 'settings' : issue.path.join('.');
  return `${key}: ${issue.message}`;
}

/** Validates parsed settings. Fault: `config_invalid`, with all errors in one message. */
export function checkSettings(value: unknown): Result<DaemonSettings, Fault> {
  z.config(z.locales.en());
  const checked = settingsSchema.safeParse(value);
  if (checked.success) return Ok(checked.data);
  const errors = checked.error.issues.map(formatIssue);
  const path = checked.error.issues[0]?.path.map((part) => String(part)) ?? [];
  return Err(createFault(FaultCode.ConfigInvalid, errors.join('; '), { path, details: errors }));
}
