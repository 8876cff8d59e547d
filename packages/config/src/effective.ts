import type { GuaranteeSpec, PlacementConfig, WorkerSpec } from '@bergamotreach/placement';
import { applyDefaults } from './defaults.ts';
import { configKeys } from './keys.ts';
import type { JsonObject } from './merge.ts';

/** Queueing and retries of an account's requests. */
export interface AccountRequests {
  /** Maximum number of queued requests per service. */
  queueLimit: number;
  /** Retries as a fraction of requests, 0 to 1. */
  retryBudget: number;
  /** Weight of the account in the sharing of each service's slots between accounts. */
  share: number;
}

/** A client account. */
export interface AccountConfig {
  weight: number;
  /** 0 means no limit. */
  quotaAccelerators: number;
  guarantees: GuaranteeSpec[];
  /** SHA-256 of each valid bearer token, in lower-case hexadecimal. */
  tokenHashes: string[];
  /** Whether the account may change the configuration and see all accounts. */
  isOperator: boolean;
  requests: AccountRequests;
}

/** Cost of sending a request from one region to another. */
export interface LinkConfig {
  /** One-way latency in milliseconds. */
  latencyMs: number;
  /** Delay considered as costly as sending one billed megabyte (10^6 bytes), in milliseconds. */
  costMsPerMb: number;
}

/** A service that callers send requests to. */
export interface ServiceConfig {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  maxRequestMs: number;
  /** Initial estimate of an endpoint's processing time per request, used until it is measured. */
  expectedServiceMs: number;
  /** Applies between regions that are not in `links`. */
  defaultLink: LinkConfig;
  /** Links by source region, then by target region. */
  links: Record<string, Record<string, LinkConfig>>;
}

/** Expected workers of one rack. Sizes are per worker. */
export interface RackConfig {
  workers: number;
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** A data centre and its expected hardware. */
export interface DataCentreConfig {
  region: string;
  /** Number of workers that can be lost while all guarantees can still be satisfied. */
  lossReserve: number;
  /** Whether operators want nothing more to start here. */
  isEvacuated: boolean;
  racks: Record<string, RackConfig>;
}

/** Limits and timeouts of a daemon. */
export interface LimitsConfig {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  maxHeaderBytes: number;
  maxRequestMs: number;
  /** Deadline of requests that do not set one. */
  defaultRequestMs: number;
  /** Time limit for reading a complete request. */
  readTimeoutMs: number;
  maxConnections: number;
  /** Maximum size of the opaque payload of a job. */
  maxPayloadBytes: number;
  /** Validity of a grant of endpoint slots. */
  creditMs: number;
  /** Time without any response after which an endpoint with requests in flight counts as stalled. */
  stallMs: number;
  /** Maximum number of retry tokens that an account accumulates. */
  maxRetryTokens: number;
  /** Maximum number of queued jobs per account in a region. */
  maxQueuedJobs: number;
}

/** The merged configuration with all defaults filled in, as plain data. */
export interface EffectiveConfig {
  accounts: Record<string, AccountConfig>;
  services: Record<string, ServiceConfig>;
  placement: PlacementConfig;
  dataCentres: Record<string, DataCentreConfig>;
  limits: LimitsConfig;
}

type PlacementFields = Omit<PlacementConfig, 'accounts' | 'lossReserve' | 'evacuated'>;
type ConfigWithDefaults = Omit<EffectiveConfig, 'placement'> & { placement: PlacementFields };

/** Fills the defaults into a checked merged configuration. Does not load the schema library. */
export function buildEffectiveConfig(merged: JsonObject): EffectiveConfig {
  const config = applyDefaults(configKeys, merged) as ConfigWithDefaults;
  const services = Object.entries(config.services).map(
    ([name, service]) => [name, applyLimits(service, config.limits)] as const,
  );
  return {
    ...config,
    services: Object.fromEntries(services),
    placement: buildPlacement(config),
  };
}

function applyLimits(service: ServiceConfig, limits: LimitsConfig): ServiceConfig {
  return {
    ...service,
    maxBodyBytes: service.maxBodyBytes || limits.maxBodyBytes,
    maxAnswerBytes: service.maxAnswerBytes || limits.maxAnswerBytes,
    maxRequestMs: service.maxRequestMs || limits.maxRequestMs,
  };
}

function buildPlacement(config: ConfigWithDefaults): PlacementConfig {
  const accounts = Object.entries(config.accounts).map(([id, account]) => ({
    id,
    weight: account.weight,
    quotaAccelerators: account.quotaAccelerators,
    guarantees: account.guarantees,
  }));
  const lossReserve = Object.entries(config.dataCentres).map(
    ([name, dataCentre]) => [name, dataCentre.lossReserve] as const,
  );
  const evacuated = Object.entries(config.dataCentres)
    .filter(([, dataCentre]) => dataCentre.isEvacuated)
    .map(([name]) => name);
  return { ...config.placement, accounts, lossReserve: Object.fromEntries(lossReserve), evacuated };
}

/** Lists the expected workers, with ids of the form `<dataCentre>/<rack>/<index>`. */
export function listExpectedWorkers(config: EffectiveConfig): WorkerSpec[] {
  return Object.entries(config.dataCentres).flatMap(([dataCentre, { racks }]) =>
    Object.entries(racks).flatMap(([rack, hardware]) =>
      Array.from({ length: hardware.workers }, (_, index) => ({
        id: `${dataCentre}/${rack}/${index}`,
        dataCentre,
        rack,
        accelerators: hardware.accelerators,
        cores: hardware.cores,
        memoryMb: hardware.memoryMb,
      })),
    ),
  );
}
