import type { Instance } from '@bergamotreach/platform';
import { createConnections } from './connections.ts';
import type { Connections } from './connections.ts';
import { createEndpointHealth, HealthState } from './health.ts';
import type { EndpointHealth } from './health.ts';

/** Requests in progress at an endpoint: start of each, and its last possible end. */
export interface RunningExchange {
  startMs: number;
  endMs: number;
}

/** What a router knows about one endpoint. */
export interface Endpoint {
  instance: Instance;
  health: EndpointHealth;
  connections: Connections;
  running: Set<RunningExchange>;
  /** Last time at which the endpoint answered anything. */
  lastProgressMs: number;
  /** Mean time of recent requests. */
  serviceMs: number;
  /** Takes no new work: the platform, a peer or the endpoint itself said so. */
  isLeaving: boolean;
}

/** Creates the record of an endpoint that was not known before. */
export function createEndpoint(instance: Instance, serviceMs: number): Endpoint {
  return {
    instance,
    health: createEndpointHealth(),
    connections: createConnections(instance.address, Math.max(1, instance.capacity.connections)),
    running: new Set(),
    lastProgressMs: -Infinity,
    serviceMs,
    isLeaving: false,
  };
}

const serviceMsGain = 0.1;

/** Adds a measured request time to the mean. */
export function addServiceTime(endpoint: Endpoint, durationMs: number): void {
  endpoint.serviceMs += serviceMsGain * (durationMs - endpoint.serviceMs);
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
  return !endpoint.isLeaving && endpoint.health.getState(nowMs) !== HealthState.Out;
}

/** Longest time until a request in progress has ended, in milliseconds. */
export function computeLongestMs(endpoint: Endpoint, nowMs: number): number {
  let longestMs = 0;
  for (const { endMs } of endpoint.running) longestMs = Math.max(longestMs, endMs - nowMs);
  return longestMs;
}
