import type {
  AccountConfig,
  EffectiveConfig,
  LinkConfig,
  ServiceConfig,
} from '@bergamotreach/config';
import { createRoutingConfig } from '@bergamotreach/routing';
import type {
  AccountRouting,
  LinkCost,
  RoutingConfig,
  ServiceRouting,
} from '@bergamotreach/routing';

const kilobytesPerMegabyte = 1000;

function createRegionCost(link: LinkConfig): LinkCost {
  return {
    latencyMs: link.latencyMs,
    costMsPerKilobyte: link.costMsPerMb / kilobytesPerMegabyte,
  };
}

function createServiceRouting(service: ServiceConfig, ownRegion: string): ServiceRouting {
  return {
    defaultLink: createRegionCost(service.defaultLink),
    links: mapValues(service.links[ownRegion] ?? {}, createRegionCost),
    expectedServiceMs: service.expectedServiceMs,
  };
}

function createAccountRouting(account: AccountConfig, totalShare: number): AccountRouting {
  return {
    weight: account.requests.share,
    guaranteedShare: account.requests.share / totalShare,
    retryRatio: account.requests.retryBudget,
    maxQueued: account.requests.queueLimit,
  };
}

function mapValues<T, U>(record: Record<string, T>, change: (value: T) => U): Record<string, U> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, change(value)]));
}

/** Builds the routing configuration of a daemon in `ownRegion`. */
export function buildRoutingConfig(config: EffectiveConfig, ownRegion: string): RoutingConfig {
  const shares = Object.values(config.accounts).map((account) => account.requests.share);
  const totalShare = shares.reduce((sum, share) => sum + share, 0) || 1;
  return createRoutingConfig({
    services: mapValues(config.services, (service) => createServiceRouting(service, ownRegion)),
    accounts: mapValues(config.accounts, (account) => createAccountRouting(account, totalShare)),
    limits: {
      maxBodyBytes: config.limits.maxBodyBytes,
      maxAnswerBytes: config.limits.maxAnswerBytes,
      maxRequestMs: config.limits.maxRequestMs,
      creditMs: config.limits.creditMs,
      stallMs: config.limits.stallMs,
      maxRetryTokens: config.limits.maxRetryTokens,
    },
  });
}
