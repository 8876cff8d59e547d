/** Requests for shares whose answers may still be accepted. */
export interface ShareRequests {
  addRequest(peer: string, sequence: number, endpoints: readonly string[], sentAtMs: number): void;
  /** Time at which the request for this share was sent; `undefined` when it is void or dropped. */
  getSentAt(peer: string, sequence: number, endpoint: string): number | undefined;
  /** Declares all earlier requests for an endpoint's share void. */
  removeEndpoint(peer: string, endpoint: string): void;
}

interface ShareRequest {
  sequence: number;
  sentAtMs: number;
  endpoints: Set<string>;
}

const maxKeptRequests = 4;

/** Creates an empty record. Only the last few requests of each member are kept. */
export function createShareRequests(): ShareRequests {
  const requests = new Map<string, ShareRequest[]>();
  return {
    addRequest: (peer, sequence, endpoints, sentAtMs) => {
      const list = requests.get(peer) ?? [];
      list.push({ sequence, sentAtMs, endpoints: new Set(endpoints) });
      if (list.length > maxKeptRequests) list.shift();
      requests.set(peer, list);
    },
    getSentAt: (peer, sequence, endpoint) => {
      const found = requests.get(peer)?.find((request) => request.sequence === sequence);
      return found?.endpoints.has(endpoint) === true ? found.sentAtMs : undefined;
    },
    removeEndpoint: (peer, endpoint) => {
      for (const request of requests.get(peer) ?? []) request.endpoints.delete(endpoint);
    },
  };
}
