import type { Membership } from '@bergamotreach/membership';
import type { Endpoint } from './endpoint.ts';

/** Slots that this router may use now. */
export interface SlotCredits {
  /** Slots of an endpoint whose credit is valid at `nowMs`. */
  countSlots(endpoint: Endpoint, nowMs: number): number;
}

/** Options of the slot credits. */
export interface SlotCreditsOptions {
  membership: Membership;
  getMinDaemons: () => number;
}

/** Creates credits that are this daemon's own share of each endpoint's slots. */
export function createSlotCredits(options: SlotCreditsOptions): SlotCredits {
  function countDaemons(dataCentre: string): number {
    const members = options.membership.getView().members;
    const count = members.filter((member) => member.dataCentre === dataCentre && !member.isGone);
    return Math.max(1, options.getMinDaemons(), count.length);
  }

  return {
    countSlots: ({ instance }) =>
      Math.floor(instance.capacity.slots / countDaemons(instance.dataCentre)),
  };
}
