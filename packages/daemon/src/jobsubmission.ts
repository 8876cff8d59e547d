import { createHash } from 'node:crypto';
import { Adjacency } from '@bergamotreach/placement';
import type { JobSpec } from '@bergamotreach/placement';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Validated job submission. */
export interface SubmittedJob {
  /** Region to run the job in. */
  region: string;
  spec: JobSpec;
  /** Opaque to the scheduler; passed to each task. */
  payload: string;
  /** SHA-256 of spec and payload, in hexadecimal. */
  digest: string;
}

interface NumberRule {
  min: number;
  max: number;
  default: number;
}

const numberRules: Record<string, NumberRule> = {
  members: { min: 1, max: 128, default: 1 },
  accelerators: { min: 0, max: 64, default: 1 },
  cores: { min: 0, max: 1024, default: 1 },
  memoryMb: { min: 0, max: 16_777_216, default: 1024 },
  declaredSeconds: { min: 0, max: 31_536_000, default: 3600 },
};
const textKeys = ['jobId', 'within', 'dataCentre', 'payload', 'region'];
const knownKeys = new Set([...Object.keys(numberRules), ...textKeys, 'urgent']);
const jobIdPattern = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$/u;

/** Separates the account from the caller's job id in the id of a job row. */
export const jobIdSeparator = ':';

function createFieldFault(key: string, message: string): Fault {
  return createFault(FaultCode.BadRequest, `${key} ${message}`, { path: [key] });
}

function findUnknownKey(input: Record<string, unknown>): Fault | undefined {
  const unknown = Object.keys(input).find((key) => !knownKeys.has(key));
  if (unknown === undefined) return undefined;
  return createFieldFault(unknown, `is not a key of a job; known: ${[...knownKeys].join(', ')}`);
}

function findNumberFault(input: Record<string, unknown>): Fault | undefined {
  for (const [key, rule] of Object.entries(numberRules)) {
    const value = input[key] === undefined ? rule.default : input[key];
    const isValid =
      typeof value === 'number' &&
      Number.isInteger(value) &&
      value >= rule.min &&
      value <= rule.max;
    if (!isValid) {
      const found = JSON.stringify(value);
      return createFieldFault(
        key,
        `must be an integer from ${rule.min} to ${rule.max}, found ${found}`,
      );
    }
  }
  return undefined;
}

function findAdjacency(text: string): Adjacency | undefined {
  const values: Record<string, Adjacency> = {
    worker: Adjacency.Worker,
    rack: Adjacency.Rack,
    dataCentre: Adjacency.DataCentre,
  };
  return Object.hasOwn(values, text) ? values[text] : undefined;
}

function findTextFault(input: Record<string, unknown>): Fault | undefined {
  const wrong = textKeys.find((key) => input[key] !== undefined && typeof input[key] !== 'string');
  if (wrong !== undefined) return createFieldFault(wrong, 'must be a string');
  if (!jobIdPattern.test(getText(input, 'jobId', ''))) {
    return createFieldFault(
      'jobId',
      'must be 1 to 64 letters, digits, dots, dashes or underscores',
    );
  }
  const within = getText(input, 'within', Adjacency.DataCentre);
  if (findAdjacency(within) === undefined) {
    const allowed = Object.values(Adjacency).join(', ');
    return createFieldFault('within', `must be one of ${allowed}, found "${within}"`);
  }
  if (input.urgent !== undefined && typeof input.urgent !== 'boolean') {
    return createFieldFault('urgent', 'must be true or false');
  }
  return undefined;
}

function getNumber(input: Record<string, unknown>, key: string): number {
  return Number(input[key] ?? numberRules[key]?.default);
}

function getText(input: Record<string, unknown>, key: string, fallback: string): string {
  const value = input[key];
  return typeof value === 'string' ? value : fallback;
}

function createSpec(input: Record<string, unknown>, account: string): JobSpec {
  return {
    jobId: `${account}${jobIdSeparator}${getText(input, 'jobId', '')}`,
    account,
    members: getNumber(input, 'members'),
    accelerators: getNumber(input, 'accelerators'),
    cores: getNumber(input, 'cores'),
    memoryMb: getNumber(input, 'memoryMb'),
    within: findAdjacency(getText(input, 'within', '')) ?? Adjacency.DataCentre,
    urgent: input.urgent === true,
    declaredSeconds: getNumber(input, 'declaredSeconds'),
    dataCentre: getText(input, 'dataCentre', ''),
  };
}

/**
 * Validates a submission by `account`. Faults: `bad_request` and `too_large`, with the path of the
 * invalid key.
 */
export function parseSubmission(
  input: Record<string, unknown>,
  account: string,
  defaultRegion: string,
  maxPayloadBytes: number,
): Result<SubmittedJob, Fault> {
  const fault = findUnknownKey(input) ?? findNumberFault(input) ?? findTextFault(input);
  if (fault !== undefined) return Err(fault);
  const payload = getText(input, 'payload', '');
  if (Buffer.byteLength(payload) > maxPayloadBytes) {
    const message = `payload exceeds ${maxPayloadBytes} bytes`;
    return Err(createFault(FaultCode.TooLarge, message, { path: ['payload'] }));
  }
  const spec = createSpec(input, account);
  const region = getText(input, 'region', defaultRegion);
  const digest = createHash('sha256')
    .update(JSON.stringify([spec, payload]))
    .digest('hex');
  return Ok({ region, spec, payload, digest });
}
