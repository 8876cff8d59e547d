/** How far another region is from a caller's region, as costs in milliseconds. */
export interface RegionCost {
  /** One-way latency of the link. */
  latencyMs: number;
  /** Price of a billed kilobyte, expressed as the wait that a caller would rather accept. */
  costMsPerKilobyte: number;
}

/** Routing settings of one service. */
export interface ServiceRouting {
  /** Cost of a link that `links` does not name. */
  defaultLink: RegionCost;
  /** Cost of the link to a region, by region name. */
  links: Record<string, RegionCost>;
  /** First guess of the time an endpoint takes for a request; measured afterwards. */
  expectedServiceMs: number;
}

/** Routing settings of one client account. */
export interface AccountRouting {
  /** Share of the slots relative to the other accounts; above 0. */
  weight: number;
  /** Part of a service's slots, 0 to 1, that the account gets before all others. */
  guaranteedShare: number;
  /** Retries earned by each request, 0 to 1. */
  retryRatio: number;
  /** Largest number of requests that wait in this daemon for one service. */
  maxQueued: number;
}

/** Limits that hold for every request. */
export interface RoutingLimits {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  /** A later deadline is cut to this; grants count as used for this long after they expire. */
  maxRequestMs: number;
  /** Validity of a slot grant. */
  creditMs: number;
  /** Largest number of retries saved up per account. */
  maxRetryTokens: number;
  /** Time without any answer after which an endpoint with requests in progress has stalled. */
  stallMs: number;
  /** Smallest number of daemons by which a data centre's slots are divided. */
  minDaemons: number;
}

/** What the router needs of the configuration. Unknown accounts get `defaultAccount`. */
export interface RoutingConfig {
  services: Record<string, ServiceRouting>;
  accounts: Record<string, AccountRouting>;
  limits: RoutingLimits;
}

/** Limits that apply until a configuration arrives. */
export const defaultLimits: Readonly<RoutingLimits> = {
  maxBodyBytes: 1_048_576,
  maxAnswerBytes: 1_048_576,
  maxRequestMs: 10_000,
  creditMs: 1000,
  maxRetryTokens: 10,
  stallMs: 2000,
  minDaemons: 1,
};

/** Settings of a service that the configuration does not describe. */
export const defaultService: Readonly<ServiceRouting> = {
  defaultLink: { latencyMs: 20, costMsPerKilobyte: 1 },
  links: {},
  expectedServiceMs: 20,
};

/** Settings of an account that the configuration does not describe. */
export const defaultAccount: Readonly<AccountRouting> = {
  weight: 1,
  guaranteedShare: 0,
  retryRatio: 0.1,
  maxQueued: 256,
};

/** Creates a configuration with default limits and the given parts. */
export function createRoutingConfig(
  parts: Partial<Omit<RoutingConfig, 'limits'>> & { limits?: Partial<RoutingLimits> } = {},
): RoutingConfig {
  return {
    services: parts.services ?? {},
    accounts: parts.accounts ?? {},
    limits: { ...defaultLimits, ...parts.limits },
  };
}
