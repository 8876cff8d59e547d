import { defaultService } from './config.ts';
import type { LinkCost } from './config.ts';
import type { Connection } from './connectionpool.ts';
import type { RouterContext } from './context.ts';
import { computeServiceMs, isUsable } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import { chooseEndpoint } from './endpointchoice.ts';
import type { EndpointCandidate } from './endpointchoice.ts';
import { chooseRegion } from './regionchoice.ts';
import type { PendingRequest } from './pendingrequest.ts';

/** A usable endpoint with its load and region. */
export interface Candidate extends EndpointCandidate {
  endpoint: Endpoint;
  region: string;
}

/** Endpoint and reserved connection for one request. */
export interface Target {
  endpoint: Endpoint;
  connection: Connection;
}

/** Selects endpoints for the requests of one service. */
export interface Selection {
  /** Endpoints that may get requests and have a reachable grantor. */
  listUsable(nowMs: number): Endpoint[];
  /** Usable endpoints with the slots that may be used at `nowMs`. */
  listCandidates(nowMs: number): Candidate[];
  /** Reserves a connection to the best endpoint; `undefined` when the request should wait. */
  takeTarget(
    pending: PendingRequest,
    candidates: readonly Candidate[],
    waitMs: number,
  ): Target | undefined;
  /** Cost of the link from this region to another one. */
  getLink(region: string): LinkCost;
}

/** Total slots of the candidates, in one region or in all. */
export function countSlots(candidates: readonly Candidate[], region?: string): number {
  let total = 0;
  for (const candidate of candidates) {
    if (region === undefined || candidate.region === region) total += candidate.slots;
  }
  return total;
}

/** Creates the endpoint selection of a service. */
export function createSelection(context: RouterContext, service: string): Selection {
  let rotation = 0;

  function getLink(region: string): LinkCost {
    const settings = context.getConfig().services[service] ?? defaultService;
    return settings.links[region] ?? settings.defaultLink;
  }

  function listUsable(nowMs: number): Endpoint[] {
    return context.endpoints
      .listService(service)
      .filter((endpoint) => isUsable(endpoint, nowMs) && context.credits.hasGrantor(endpoint));
  }

  function createCandidate(endpoint: Endpoint, nowMs: number): Candidate {
    const credit = context.credits.countSlots(endpoint, nowMs);
    return {
      id: endpoint.instance.id,
      region: endpoint.instance.region,
      inUse: endpoint.running.size,
      slots: endpoint.health.computeUsableSlots(credit, nowMs),
      serviceMs: computeServiceMs(endpoint, nowMs) ?? Infinity,
      endpoint,
    };
  }

  /** Gives endpoints without a measurement the service time of the fastest one. */
  function fillUnmeasured(candidates: Candidate[]): Candidate[] {
    const fastestMs = Math.min(...candidates.map((candidate) => candidate.serviceMs));
    for (const candidate of candidates) {
      if (candidate.serviceMs === Infinity)
        candidate.serviceMs = fastestMs === Infinity ? 1 : fastestMs;
    }
    return candidates;
  }

  function chooseFrom(
    pending: PendingRequest,
    available: readonly Candidate[],
  ): Candidate | undefined {
    rotation += 1;
    if (pending.failedEndpoints.size === 0) return chooseEndpoint(available, rotation);
    const untried = available.filter((candidate) => !pending.failedEndpoints.has(candidate.id));
    return chooseEndpoint(untried, rotation) ?? chooseEndpoint(available, rotation);
  }

  function listAvailable(
    pending: PendingRequest,
    candidates: readonly Candidate[],
    waitMs: number,
  ): Candidate[] {
    const available = candidates.filter((candidate) => candidate.inUse < candidate.slots);
    const local = available.filter((candidate) => candidate.region === context.region);
    if (local.length > 0 || available.length === 0) return local;
    const otherRegions = [...new Set(available.map((candidate) => candidate.region))];
    const regionCandidates = [{ region: context.region, waitMs }];
    for (const region of otherRegions) regionCandidates.push({ region, waitMs: 0 });
    const chosen = chooseRegion(
      context.region,
      regionCandidates,
      pending.request.body.length,
      getLink,
    );
    return available.filter((candidate) => candidate.region === chosen);
  }

  function takeTarget(
    pending: PendingRequest,
    candidates: readonly Candidate[],
    waitMs: number,
  ): Target | undefined {
    const available = listAvailable(pending, candidates, waitMs);
    for (;;) {
      const chosen = chooseFrom(pending, available);
      if (chosen === undefined) return undefined;
      const { endpoint } = chosen;
      const connection = endpoint.connections.takeConnection(pending.request.requestId);
      if (connection !== undefined) return { endpoint, connection };
      available.splice(available.indexOf(chosen), 1);
    }
  }

  return {
    listUsable,
    listCandidates: (nowMs) =>
      fillUnmeasured(listUsable(nowMs).map((endpoint) => createCandidate(endpoint, nowMs))),
    takeTarget,
    getLink,
  };
}
