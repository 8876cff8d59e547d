import type { Instance } from '@bergamotreach/hosting';
import { createConnections } from './connections.ts';
import type { Connections } from './connections.ts';
import { createEndpointHealth, HealthState } from './health.ts';
import type { EndpointHealth } from './health.ts';

/** Requests in progress at an endpoint: start of each, and its last possible end. */
export interface RunningExchange {
  startMs: number;
  endMs: number;
  /** Daemon that granted the slot. */
  grantor: string;
}

/** What a router knows about one endpoint. */
export interface Endpoint {
  instance: Instance;
  health: EndpointHealth;
  connections: Connections;
  running: Set<RunningExchange>;
  /** Last time at which the endpoint answered anything. */
  lastProgressMs: number;
  /** Mean time of recent requests; meaningless before `measuredMs`. */
  serviceMs: number;
  /** Time of the last measurement, or minus infinity. */
  measuredMs: number;
  /** Takes no new work before this time, because the endpoint itself or a peer said so. */
  avoidedUntilMs: number;
  /** Takes no new work, because the platform says so. */
  isLeaving: boolean;
}

/** Creates the record of an endpoint that was not known before. */
export function createEndpoint(instance: Instance): Endpoint {
  return {
    instance,
    health: createEndpointHealth(),
    connections: createConnections(instance.address, Math.max(1, instance.capacity.connections)),
    running: new Set(),
    lastProgressMs: -Infinity,
    serviceMs: 0,
    measuredMs: -Infinity,
    avoidedUntilMs: -Infinity,
    isLeaving: false,
  };
}

const serviceMsGain = 0.1;
const forgetMs = 10_000;

/** Adds a measured request time to the mean. */
export function addServiceTime(endpoint: Endpoint, durationMs: number, nowMs: number): void {
  const gain = endpoint.measuredMs === -Infinity ? 1 : serviceMsGain;
  endpoint.serviceMs += gain * (durationMs - endpoint.serviceMs);
  endpoint.measuredMs = nowMs;
}

/**
 * Expected time of a request; `undefined` before the first measurement. It falls while nothing is
 * measured, so that an endpoint which was slow once is tried again.
 */
export function computeServiceMs(endpoint: Endpoint, nowMs: number): number | undefined {
  if (endpoint.measuredMs === -Infinity) return undefined;
  return endpoint.serviceMs * 2 ** ((endpoint.measuredMs - nowMs) / forgetMs);
}

/** Whether requests have been in progress for `stallMs` and none was answered meanwhile. */
export function isStalled(endpoint: Endpoint, nowMs: number, stallMs: number): boolean {
  let oldestMs = Infinity;
  for (const { startMs } of endpoint.running) oldestMs = Math.min(oldestMs, startMs);
  if (oldestMs === Infinity) return false;
  return nowMs - Math.max(oldestMs, endpoint.lastProgressMs) > stallMs;
}

/** Whether new work may go to the endpoint at all. */
export function isUsable(endpoint: Endpoint, nowMs: number): boolean {
  if (endpoint.isLeaving || nowMs < endpoint.avoidedUntilMs) return false;
  return endpoint.health.getState(nowMs) !== HealthState.Out;
}

/** Stands for grantors that have ended, in requests dispatched on their grants. */
export const endedGrantor = '';

/** Requests in progress on slots of a grantor. */
export function countRunning(endpoint: Endpoint, grantor: string): number {
  let count = 0;
  for (const exchange of endpoint.running) if (exchange.grantor === grantor) count += 1;
  return count;
}

/** Longest time until a request in progress on slots of a grantor has ended, in milliseconds. */
export function computeLongestMs(endpoint: Endpoint, grantor: string, nowMs: number): number {
  let longestMs = 0;
  for (const exchange of endpoint.running) {
    if (exchange.grantor === grantor) longestMs = Math.max(longestMs, exchange.endMs - nowMs);
  }
  return longestMs;
}
