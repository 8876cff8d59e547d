import { rankMembers } from '@bergamotreach/protocol';

/** Load of a service at one router. */
export interface ServiceLoad {
  /** Moving average of the number of running requests. */
  meanRunning: number;
  running: number;
  waiting: number;
  /** Other routers need slots, so idle ones should be left to them. */
  isScarce: boolean;
}

/** An endpoint that the wanted slots are spread over. */
export interface WantedEndpoint {
  id: string;
  slots: number;
  running: number;
}

/** Slots above the mean load: standard deviations for independent arrivals, plus a constant. */
interface Headroom {
  deviations: number;
  extraSlots: number;
}

const ampleHeadroom: Headroom = { deviations: 2.5, extraSlots: 2 };
const scarceHeadroom: Headroom = { deviations: 0, extraSlots: 0 };

/**
 * Total slots that a router wants. The headroom is computed over all endpoints together and is
 * dropped when slots are scarce. With a headroom per endpoint, routers with little load kept so
 * many idle slots that one with two thirds of the load left 30 % of the capacity unused.
 */
export function computeWantedSlots(load: ServiceLoad): number {
  const { meanRunning, running, waiting } = load;
  const { deviations, extraSlots: least } = load.isScarce ? scarceHeadroom : ampleHeadroom;
  const expected = Math.ceil(meanRunning + deviations * Math.sqrt(meanRunning));
  return Math.max(running + waiting, expected + least);
}

/** Spreads the wanted slots over endpoints; routers give the remainder to different ones. */
export function splitWantedSlots(
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
