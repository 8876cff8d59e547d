import type { GuaranteeSpec, PlacementConfig, WorkerSpec } from '@bergamotreach/placement';
import { configKeys } from './keys.ts';
import { applyDefaults } from './defaults.ts';
import type { JsonObject } from './merge.ts';

/** How an account's requests are queued and retried. */
export interface AccountRequests {
  /** Requests that may wait per service. */
  queueLimit: number;
  /** Retries as a share of requests, 0 to 1. */
  retryBudget: number;
  /** Share of the slots of each service relative to the other accounts. */
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

/** Price of sending a request from one region to another. */
export interface LinkConfig {
  /** One-way latency in milliseconds. */
  latencyMs: number;
  /** Wait that is as bad as sending one billed megabyte (10^6 bytes), in milliseconds. */
  costMsPerMb: number;
}

/** A service that callers send requests to. */
export interface ServiceConfig {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  maxRequestMs: number;
  /** First guess of the time an endpoint takes for a request; measured afterwards. */
  expectedServiceMs: number;
  /** Used between regions that `links` does not name. */
  defaultLink: LinkConfig;
  /** From region to region. */
  links: Record<string, Record<string, LinkConfig>>;
}

/** Expected workers of one rack. Sizes are per worker. */
export interface RackConfig {
  workers: number;
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** A data centre with its expected hardware. */
export interface DataCentreConfig {
  region: string;
  /** Workers whose loss the guarantees must survive. */
  lossReserve: number;
  racks: Record<string, RackConfig>;
}

/** Limits of a daemon. */
export interface LimitsConfig {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  maxHeaderBytes: number;
  maxRequestMs: number;
  /** Deadline of a request that states none. */
  defaultRequestMs: number;
  /** Longest time in which a request must be read whole. */
  readTimeoutMs: number;
  maxConnections: number;
  /** Largest opaque payload of a job. */
  maxPayloadBytes: number;
  /** Validity of a grant of endpoint slots. */
  creditMs: number;
  /** Time without any answer after which an endpoint with requests in progress has stalled. */
  stallMs: number;
  /** Largest number of retries that an account saves up. */
  maxRetryTokens: number;
  /** Queued jobs of one account in a region. */
  maxQueuedJobs: number;
}

/** The merged configuration with all defaults filled in. Plain data. */
export interface EffectiveConfig {
  accounts: Record<string, AccountConfig>;
  services: Record<string, ServiceConfig>;
  placement: PlacementConfig;
  dataCentres: Record<string, DataCentreConfig>;
  limits: LimitsConfig;
}

type PlacementKeys = Omit<PlacementConfig, 'accounts' | 'lossReserve'>;
type ConfigFile = Omit<EffectiveConfig, 'placement'> & { placement: PlacementKeys };

/** Fills the defaults into a merged configuration that has passed the checks. Needs no schema. */
export function buildEffectiveConfig(merged: JsonObject): EffectiveConfig {
  const file = applyDefaults(configKeys, merged) as ConfigFile;
  const services = Object.entries(file.services).map(
    ([name, service]) => [name, applyLimits(service, file.limits)] as const,
  );
  return {
    ...file,
    services: Object.fromEntries(services),
    placement: buildPlacement(file),
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

function buildPlacement(file: ConfigFile): PlacementConfig {
  const accounts = Object.entries(file.accounts).map(([id, account]) => ({
    id,
    weight: account.weight,
    quotaAccelerators: account.quotaAccelerators,
    guarantees: account.guarantees,
  }));
  const lossReserve = Object.entries(file.dataCentres).map(
    ([name, dataCentre]) => [name, dataCentre.lossReserve] as const,
  );
  return { ...file.placement, accounts, lossReserve: Object.fromEntries(lossReserve) };
}

/** Lists the workers that the configuration expects, with ids made from their place. */
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
