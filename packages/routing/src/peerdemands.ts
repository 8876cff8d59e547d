import type { CreditDemand } from '@bergamotreach/protocol';

/** Demands of one request round, by receiving member. */
export interface PeerDemands {
  /** Adds a demand that requests slots or reports those in use. */
  addSlots(peer: string, demand: CreditDemand): void;
  /** Adds a request for the member's own share, on which this daemon will grant slots. */
  addShare(peer: string, endpoint: string): void;
  listPeers(): string[];
  /** All demands for one member; `slots` lists the endpoints with slots wanted or in use. */
  getDemands(peer: string): { slots: Set<string>; shares: string[]; all: CreditDemand[] };
}

/** Creates the empty demands of a round. */
export function createPeerDemands(): PeerDemands {
  const demands = new Map<string, CreditDemand[]>();
  const shares = new Map<string, string[]>();

  function addTo<T>(map: Map<string, T[]>, peer: string, value: T): void {
    const list = map.get(peer);
    if (list === undefined) map.set(peer, [value]);
    else list.push(value);
  }

  return {
    addSlots: (peer, demand) => {
      addTo(demands, peer, demand);
    },
    addShare: (peer, endpoint) => {
      addTo(shares, peer, endpoint);
    },
    listPeers: () => [...new Set([...demands.keys(), ...shares.keys()])],
    getDemands: (peer) => {
      const slots = demands.get(peer) ?? [];
      const listed = new Set(slots.map((demand) => demand.endpoint));
      const asked = (shares.get(peer) ?? []).filter((endpoint) => !listed.has(endpoint));
      const empty = asked.map((endpoint) => ({
        endpoint,
        wanted: 0,
        inUse: 0,
        longestDeadlineMs: 0,
      }));
      const used = slots.filter((demand) => demand.wanted > 0 || demand.inUse > 0);
      return {
        slots: new Set(used.map((demand) => demand.endpoint)),
        shares: shares.get(peer) ?? [],
        all: [...slots, ...empty],
      };
    },
  };
}
