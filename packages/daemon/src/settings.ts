import { readFile } from 'node:fs/promises';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault, LogLevel } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Settings of one daemon, read once from a JSON file. */
export interface DaemonSettings {
  /** Unique for each start of an instance. */
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` for callers and operators. */
  httpAddress: string;
  /** `ip:port` for other daemons. */
  peerAddress: string;
  /** `http://ip:port` of the platform's table, object store and instance list. */
  platformUrl: string;
  /** Peer addresses to try at start, for a start while the instance list is away. */
  seeds: string[];
  /** Shared by all daemons of a deployment. */
  peerSecret: string;
  /** SHA-256, in hexadecimal, of the token that may apply the first configuration. */
  operatorTokenHash: string;
  logLevel: LogLevel;
  /** StatsD collector; absent when metrics are not sent. */
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
    // The parser's message quotes the text, which holds secrets.
    return Err(createFault(FaultCode.ConfigInvalid, 'settings file is not valid JSON'));
  }
}

/** Reads and checks a settings file. Fault `config_invalid` names every wrong key. */
export async function loadSettings(path: string): Promise<Result<DaemonSettings, Fault>> {
  const text = await readText(path);
  if (text.isErr()) return text;
  const parsed = parseJson(text.value);
  if (parsed.isErr()) return parsed;
  // The schema library is not needed once the settings are read, so it is loaded here only.
  const { checkSettings } = await import('./settingscheck.ts');
  return checkSettings(parsed.value);
}
