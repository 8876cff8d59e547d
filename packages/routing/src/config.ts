/** Cost of routing a request to another region, in milliseconds. */
export interface LinkCost {
  /** One-way latency of the link. */
  latencyMs: number;
  /** Price of a billed kilobyte, expressed as an equivalent wait in milliseconds. */
  costMsPerKilobyte: number;
}

/** Routing settings of one service. */
export interface ServiceRouting {
  /** Cost of links that `links` does not list. */
  defaultLink: LinkCost;
  /** Cost of the link to a region, by region name. */
  links: Record<string, LinkCost>;
  /** Initial estimate of the service time of a request; measurements update it. */
  expectedServiceMs: number;
}

/** Routing settings of one client account. */
export interface AccountRouting {
  /** Weight in fair queueing relative to the other accounts; above 0. */
  weight: number;
  /** Fraction of a service's slots, 0 to 1, that the account gets ahead of all others. */
  guaranteedShare: number;
  /** Retry tokens earned per request, 0 to 1. */
  retryRatio: number;
  /** Maximum number of the account's queued requests per service in this daemon. */
  maxQueued: number;
}

/** Limits that hold for every request. */
export interface RoutingLimits {
  maxBodyBytes: number;
  maxAnswerBytes: number;
  /** Caps the time to a deadline; grants count as in use for this long after they expire. */
  maxRequestMs: number;
  /** Validity of a slot grant. */
  creditMs: number;
  /** Capacity of an account's retry token bucket. */
  maxRetryTokens: number;
  /** An endpoint with requests in flight that answers none for this long counts as stalled. */
  stallMs: number;
  /** Lower bound for the number of daemons that a data centre's slots are divided by. */
  minDaemons: number;
}

/** Routing part of the configuration. Accounts that it does not list get `defaultAccount`. */
export interface RoutingConfig {
  services: Record<string, ServiceRouting>;
  accounts: Record<string, AccountRouting>;
  limits: RoutingLimits;
}

/** Limits that apply until a configuration is received. */
export const defaultLimits: Readonly<RoutingLimits> = {
  maxBodyBytes: 1_048_576,
  maxAnswerBytes: 1_048_576,
  maxRequestMs: 10_000,
  creditMs: 1000,
  maxRetryTokens: 10,
  stallMs: 2000,
  minDaemons: 1,
};

/** Settings of services that the configuration does not list. */
export const defaultService: Readonly<ServiceRouting> = {
  defaultLink: { latencyMs: 20, costMsPerKilobyte: 1 },
  links: {},
  expectedServiceMs: 20,
};

/** Settings of accounts that the configuration does not list. */
export const defaultAccount: Readonly<AccountRouting> = {
  weight: 1,
  guaranteedShare: 0,
  retryRatio: 0.1,
  maxQueued: 256,
};

/** Creates a configuration from the given parts; limits that are not given get their defaults. */
export function createRoutingConfig(
  parts: Partial<Omit<RoutingConfig, 'limits'>> & { limits?: Partial<RoutingLimits> } = {},
): RoutingConfig {
  return {
    services: parts.services ?? {},
    accounts: parts.accounts ?? {},
    limits: { ...defaultLimits, ...parts.limits },
  };
}
