import { rankMembers } from '@bergamotreach/protocol';

/** Load of a service at one router. */
export interface ServiceLoad {
  /** Mean number of requests in progress of late. */
  meanRunning: number;
  running: number;
  waiting: number;
  /** Other routers lack slots, so idle ones should go to them. */
  isScarce: boolean;
}

/** An endpoint over which the wanted slots are spread. */
export interface WantedEndpoint {
  id: string;
  slots: number;
  running: number;
}

/** Slots above the mean: standard deviations, when requests arrive independently, and a least. */
interface Headroom {
  deviations: number;
  least: number;
}

const ampleHeadroom: Headroom = { deviations: 2.5, least: 2 };
const scarceHeadroom: Headroom = { deviations: 0, least: 0 };

/**
 * Slots that a router wants in total. The headroom is taken over all endpoints together: it is
 * small when slots are scarce. With a headroom at each endpoint, routers with little load kept so
 * many idle slots that one with two thirds of the load left 30 % of the capacity unused.
 */
export function computeTotalWanted(load: ServiceLoad): number {
  const { meanRunning, running, waiting } = load;
  const { deviations, least } = load.isScarce ? scarceHeadroom : ampleHeadroom;
  const expected = Math.ceil(meanRunning + deviations * Math.sqrt(meanRunning));
  return Math.max(running + waiting, expected + least);
}

/** Spreads the wanted slots over endpoints; each router begins with other ones. */
export function splitWanted(
  total: number,
  endpoints: readonly WantedEndpoint[],
  selfId: string,
): Map<string, number> {
  const ranked = rankMembers(
    selfId,
    endpoints.map((endpoint) => endpoint.id),
  );
  const ranks = new Map(ranked.map((id, rank) => [id, rank]));
  const base = Math.floor(total / Math.max(1, endpoints.length));
  const rest = total - base * endpoints.length;
  return new Map(
    endpoints.map(({ id, slots, running }) => {
      const part = base + ((ranks.get(id) ?? 0) < rest ? 1 : 0);
      return [id, Math.min(slots, Math.max(running, part))];
    }),
  );
}
