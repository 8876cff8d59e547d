import { readFile } from 'node:fs/promises';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, LogLevel } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Settings of one daemon, read from a JSON file at startup. */
export interface DaemonSettings {
  /** Unique per start of an instance. */
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` of the listener for callers and operators. */
  httpAddress: string;
  /** `ip:port` of the listener for other daemons. */
  peerAddress: string;
  /** `http://ip:port` of the platform: table, object store and instance list. */
  platformUrl: string;
  /** Peer addresses to contact at startup, in case the instance list is unavailable. */
  seeds: string[];
  /** Shared by all daemons of a deployment. */
  peerSecret: string;
  /** Hexadecimal SHA-256 of the operator token, which can apply the first configuration. */
  operatorTokenHash: string;
  logLevel: LogLevel;
  /** StatsD collector; metrics are not sent without it. */
  statsd?: { host: string; port: number } | undefined;
}

async function readText(path: string): Promise<Result<string, Fault>> {
  try {
    return Ok(await readFile(path, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Err(createFault(FaultCode.ConfigInvalid, `settings file: ${reason}`));
  }
}

function parseJson(text: string): Result<unknown, Fault> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    // Drops the parser's message, which quotes the text and thus its secrets.
    return Err(createFault(FaultCode.ConfigInvalid, 'settings file is not valid JSON'));
  }
}

/** Loads and validates a settings file. Fault: `config_invalid`, listing every invalid key. */
export async function loadSettings(path: string): Promise<Result<DaemonSettings, Fault>> {
  const text = await readText(path);
  if (text.isErr()) return text;
  const parsed = parseJson(text.value);
  if (parsed.isErr()) return parsed;
  // Imported lazily: only the validation needs the schema library.
  const { checkSettings } = await import('./settingscheck.ts');
  return checkSettings(parsed.value);
}
