import type { CreditDemand } from '@bergamotreach/protocol';

/** Demands of one round, by the member that they are sent to. */
export interface PeerDemands {
  /** Asks for slots, or reports those in use. */
  addSlots(peer: string, demand: CreditDemand): void;
  /** Asks for the member's own share, as its grantor. */
  addShare(peer: string, endpoint: string): void;
  listPeers(): string[];
  /** Everything for one member: `slots` names the endpoints where slots are wanted or in use. */
  getDemands(peer: string): { slots: Set<string>; shares: string[]; all: CreditDemand[] };
}

/** Creates an empty round. */
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
