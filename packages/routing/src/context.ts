import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';
import type { Claims } from '@bergamotreach/ownership';
import type { Membership } from '@bergamotreach/membership';
import type { RoutingConfig } from './config.ts';
import type { SlotCredits } from './credits.ts';
import type { EndpointSet } from './endpointset.ts';
import type { InFlightCounter } from './inflightcounter.ts';
import type { ByteCounter } from './regionchoice.ts';
import type { RetryBudget } from './retrybudget.ts';

/** Options of a router. */
export interface RouterOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  membership: Membership;
  claims: Claims;
  selfId: string;
  region: string;
  dataCentre: string;
}

/** Components and state that the parts of a router share. */
export interface RouterContext extends RouterOptions {
  getConfig: () => RoutingConfig;
  endpoints: EndpointSet;
  credits: SlotCredits;
  retryBudget: RetryBudget;
  byteCounter: ByteCounter;
  inFlight: InFlightCounter;
}
