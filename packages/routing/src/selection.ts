import { defaultService } from './config.ts';
import type { RegionCost } from './config.ts';
import type { Connection } from './connections.ts';
import type { RouterContext } from './context.ts';
import { computeServiceMs, isUsable } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';
import { chooseEndpoint } from './endpointchoice.ts';
import type { EndpointCandidate } from './endpointchoice.ts';
import { chooseRegion } from './regionchoice.ts';
import type { Ticket } from './ticket.ts';

/** An endpoint that could take a request. */
export interface Candidate extends EndpointCandidate {
  endpoint: Endpoint;
  region: string;
}

/** Endpoint and connection for one request. */
export interface Target {
  endpoint: Endpoint;
  connection: Connection;
}

/** Chooses where the requests of one service go. */
export interface Selection {
  /** Endpoints that may take work and whose grantor is reachable. */
  listUsable(nowMs: number): Endpoint[];
  /** Usable endpoints with the slots that may be used now. */
  listCandidates(nowMs: number): Candidate[];
  /** Takes a connection to the best endpoint; `undefined` when the request should wait. */
  takeTarget(ticket: Ticket, candidates: readonly Candidate[], waitMs: number): Target | undefined;
  /** Link from this region to another one. */
  getLink(region: string): RegionCost;
}

/** Sum of the slots of candidates, for one region or for all. */
export function countSlots(candidates: readonly Candidate[], region?: string): number {
  let total = 0;
  for (const candidate of candidates) {
    if (region === undefined || candidate.region === region) total += candidate.slots;
  }
  return total;
}

/** Creates the selection of a service. */
export function createSelection(context: RouterContext, service: string): Selection {
  let turn = 0;

  function getLink(region: string): RegionCost {
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
      slots: endpoint.health.computeUsable(credit, nowMs),
      serviceMs: computeServiceMs(endpoint, nowMs) ?? Infinity,
      endpoint,
    };
  }

  /** An endpoint that was never measured counts as the fastest one. */
  function setUnmeasured(candidates: Candidate[]): Candidate[] {
    const least = Math.min(...candidates.map((candidate) => candidate.serviceMs));
    for (const candidate of candidates) {
      if (candidate.serviceMs === Infinity) candidate.serviceMs = least === Infinity ? 1 : least;
    }
    return candidates;
  }

  function chooseFrom(ticket: Ticket, open: readonly Candidate[]): Candidate | undefined {
    turn += 1;
    if (ticket.failedAt.size === 0) return chooseEndpoint(open, turn);
    const fresh = open.filter((candidate) => !ticket.failedAt.has(candidate.id));
    return chooseEndpoint(fresh, turn) ?? chooseEndpoint(open, turn);
  }

  function listOpen(ticket: Ticket, candidates: readonly Candidate[], waitMs: number): Candidate[] {
    const open = candidates.filter((candidate) => candidate.inUse < candidate.slots);
    const own = open.filter((candidate) => candidate.region === context.region);
    if (own.length > 0 || open.length === 0) return own;
    const others = [...new Set(open.map((candidate) => candidate.region))];
    const offers = [{ region: context.region, waitMs }];
    for (const region of others) offers.push({ region, waitMs: 0 });
    const chosen = chooseRegion(context.region, offers, ticket.request.body.length, getLink);
    return open.filter((candidate) => candidate.region === chosen);
  }

  function takeTarget(
    ticket: Ticket,
    candidates: readonly Candidate[],
    waitMs: number,
  ): Target | undefined {
    const open = listOpen(ticket, candidates, waitMs);
    for (;;) {
      const chosen = chooseFrom(ticket, open);
      if (chosen === undefined) return undefined;
      const { endpoint } = chosen;
      const connection = endpoint.connections.takeConnection(ticket.request.requestId);
      if (connection !== undefined) return { endpoint, connection };
      open.splice(open.indexOf(chosen), 1);
    }
  }

  return {
    listUsable,
    listCandidates: (nowMs) =>
      setUnmeasured(listUsable(nowMs).map((one) => createCandidate(one, nowMs))),
    takeTarget,
    getLink,
  };
}
