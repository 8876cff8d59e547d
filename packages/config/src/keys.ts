import { Adjacency } from '@bergamotreach/placement';
import {
  FieldKind,
  createChoice,
  createDecimal,
  createGroup,
  createInteger,
  createList,
  createMap,
  createName,
} from './field.ts';
import type { GroupField, TextField } from './field.ts';

const hourMs = 3_600_000;
const mebibyte = 1024 * 1024;

const tokenHash: TextField = {
  kind: FieldKind.Text,
  unit: 'SHA-256 in hexadecimal',
  pattern: /^[0-9a-f]{64}$/u,
  values: [],
};

const guarantee = createGroup({
  dataCentre: createName('data centre'),
  accelerators: createInteger('accelerators', 1, 4096),
  within: createChoice('level', Object.values(Adjacency), Adjacency.Worker),
  count: createInteger('shapes', 1, 4096, 1),
});

const account = createGroup({
  weight: createDecimal('share', 0.001, 1000, 1),
  quotaAccelerators: createInteger('accelerators, 0 for no limit', 0, 1_000_000, 0),
  guarantees: createList(guarantee, 64),
  tokenHashes: createList(tokenHash, 16),
  isOperator: { kind: FieldKind.Flag, default: false },
  requests: createGroup({
    queueLimit: createInteger('requests', 1, 100_000, 200),
    retryBudget: createDecimal('share of requests', 0, 1, 0.1),
    share: createDecimal('share', 0.001, 1000, 1),
  }),
});

const link = createGroup({
  latencyMs: createDecimal('ms one way', 0, 10_000, 20),
  costMsPerMb: createDecimal('ms of wait per billed MB', 0, 1_000_000, 1000),
});

const service = createGroup({
  maxBodyBytes: createInteger('bytes, 0 for limits.maxBodyBytes', 0, 16 * mebibyte, 0),
  maxAnswerBytes: createInteger('bytes, 0 for limits.maxAnswerBytes', 0, 16 * mebibyte, 0),
  maxRequestMs: createInteger('ms, 0 for limits.maxRequestMs', 0, hourMs, 0),
  expectedServiceMs: createDecimal('ms', 0.001, hourMs, 20),
  defaultLink: link,
  links: createMap('fromRegion', createMap('toRegion', link, 64), 64),
});

const placement = createGroup({
  weights: createGroup({
    completion: createDecimal('weight', 0, 1000, 1),
    fragmentation: createDecimal('weight', 0, 1000, 1),
  }),
  reservationAfterMs: createInteger('ms', 0, 24 * hourMs, 600_000),
  reclaimMs: createInteger('ms', 0, hourMs, 30_000),
  urgentReclaimMs: createInteger('ms', 0, 1000, 300),
  maxAttempts: createInteger('workers', 1, 100, 3),
  quarantineAfterJobs: createInteger('jobs', 1, 100, 3),
  quarantineMs: createInteger('ms', 1000, 24 * hourMs, 60_000),
  quarantineMaxMs: createInteger('ms', 1000, 7 * 24 * hourMs, hourMs),
  acceleratorShare: createDecimal('share of cores and memory', 0, 1, 0.75),
});

const hardware = createGroup({
  workers: createInteger('workers', 1, 1024),
  accelerators: createInteger('accelerators per worker', 0, 64, 8),
  cores: createInteger('cores per worker', 1, 4096, 32),
  memoryMb: createInteger('MB per worker', 1, 16_777_216, 65_536),
});

const dataCentre = createGroup({
  region: createName('region'),
  lossReserve: createInteger('workers', 0, 1024, 0),
  isEvacuated: { kind: FieldKind.Flag, default: false },
  racks: createMap('rack', hardware, 1024),
});

const limits = createGroup({
  maxBodyBytes: createInteger('bytes', 1, 16 * mebibyte, mebibyte),
  maxAnswerBytes: createInteger('bytes', 1, 16 * mebibyte, 4 * mebibyte),
  maxHeaderBytes: createInteger('bytes', 1024, mebibyte, 16_384),
  maxRequestMs: createInteger('ms', 1, hourMs, 60_000),
  defaultRequestMs: createInteger('ms', 1, hourMs, 30_000),
  readTimeoutMs: createInteger('ms', 1, hourMs, 10_000),
  maxConnections: createInteger('connections', 1, 100_000, 2000),
  maxPayloadBytes: createInteger('bytes', 0, mebibyte, 16_384),
  creditMs: createInteger('ms', 100, 60_000, 1000),
  stallMs: createInteger('ms', 100, hourMs, 2000),
  maxRetryTokens: createInteger('retries per account', 0, 10_000, 10),
  maxQueuedJobs: createInteger('jobs per account', 1, 1_000_000, 10_000),
});

/**
 * All configuration keys with unit, range and default. The schema is built from this table, and
 * docs/configuration.md must match it.
 */
export const configKeys: GroupField = createGroup({
  accounts: createMap('account', account, 1000),
  services: createMap('service', service, 1000),
  placement,
  dataCentres: createMap('dataCentre', dataCentre, 100),
  limits,
});
