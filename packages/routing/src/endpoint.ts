import type { Instance } from '@bergamotreach/hosting';
import { createConnectionPool } from './connectionpool.ts';
import type { ConnectionPool } from './connectionpool.ts';
import { createEndpointHealth, HealthState } from './health.ts';
import type { EndpointHealth } from './health.ts';

/** A request in flight at an endpoint: its start and its latest possible end. */
export interface RunningExchange {
  startMs: number;
  endMs: number;
  /** Daemon that granted the slot. */
  grantor: string;
}

/** State that a router keeps for one endpoint. */
export interface Endpoint {
  instance: Instance;
  health: EndpointHealth;
  connections: ConnectionPool;
  running: Set<RunningExchange>;
  /** Time at which the endpoint last began an answer to any request. */
  lastProgressMs: number;
  /** Moving average of the service time; valid once `lastMeasuredMs` is set. */
  serviceMs: number;
  /** Time of the last measurement; minus infinity before the first one. */
  lastMeasuredMs: number;
  /** Gets no new requests before this time, since it or a peer announced that it is leaving. */
  avoidedUntilMs: number;
  /** Gets no new requests, since the platform marks it as leaving or does not list it. */
  isLeaving: boolean;
}

/** Creates the state of a newly listed endpoint. */
export function createEndpoint(instance: Instance): Endpoint {
  return {
    instance,
    health: createEndpointHealth(),
    connections: createConnectionPool(instance.address, Math.max(1, instance.capacity.connections)),
    running: new Set(),
    lastProgressMs: -Infinity,
    serviceMs: 0,
    lastMeasuredMs: -Infinity,
    avoidedUntilMs: -Infinity,
    isLeaving: false,
  };
}

const serviceMsGain = 0.1;
const serviceMsHalfLifeMs = 10_000;

/** Adds a measured service time to the moving average. */
export function recordServiceTime(endpoint: Endpoint, durationMs: number, nowMs: number): void {
  const gain = endpoint.lastMeasuredMs === -Infinity ? 1 : serviceMsGain;
  endpoint.serviceMs += gain * (durationMs - endpoint.serviceMs);
  endpoint.lastMeasuredMs = nowMs;
}

/**
 * Expected service time; `undefined` before the first measurement. It decays while nothing is
 * measured, so that an endpoint that was slow once is tried again.
 */
export function computeServiceMs(endpoint: Endpoint, nowMs: number): number | undefined {
  if (endpoint.lastMeasuredMs === -Infinity) return undefined;
  return endpoint.serviceMs * 2 ** ((endpoint.lastMeasuredMs - nowMs) / serviceMsHalfLifeMs);
}

/** Whether requests have been in flight for more than `stallMs` without any answer. */
export function isStalled(endpoint: Endpoint, nowMs: number, stallMs: number): boolean {
  let oldestMs = Infinity;
  for (const { startMs } of endpoint.running) oldestMs = Math.min(oldestMs, startMs);
  if (oldestMs === Infinity) return false;
  return nowMs - Math.max(oldestMs, endpoint.lastProgressMs) > stallMs;
}

/** Whether the endpoint may get new requests. */
export function isUsable(endpoint: Endpoint, nowMs: number): boolean {
  if (endpoint.isLeaving || nowMs < endpoint.avoidedUntilMs) return false;
  return endpoint.health.getState(nowMs) !== HealthState.Ejected;
}

/** Replaces the id of a dead grantor in requests that were dispatched on its grants. */
export const deadGrantor = '';

/** Number of requests in flight on slots from a grantor. */
export function countRunning(endpoint: Endpoint, grantor: string): number {
  let count = 0;
  for (const exchange of endpoint.running) if (exchange.grantor === grantor) count += 1;
  return count;
}

/** Milliseconds until the last request in flight on slots from a grantor must have ended. */
export function computeLongestRemainingMs(
  endpoint: Endpoint,
  grantor: string,
  nowMs: number,
): number {
  let longestMs = 0;
  for (const exchange of endpoint.running) {
    if (exchange.grantor === grantor) longestMs = Math.max(longestMs, exchange.endMs - nowMs);
  }
  return longestMs;
}
