import { MemberState, rankMembers } from '@bergamotreach/protocol';
import type { Member, Membership } from '@bergamotreach/membership';
import type { Instance } from '@bergamotreach/hosting';
import type { Endpoint } from './endpoint.ts';

/**
 * Daemons that share an endpoint's slots: those in its data centre; if there are none, those in its
 * region; otherwise all.
 */
export function listSharers(members: readonly Member[], instance: Instance): Member[] {
  const present = members.filter((member) => !member.isGone);
  const local = present.filter((member) => member.dataCentre === instance.dataCentre);
  if (local.length > 0) return local;
  const regional = present.filter((member) => member.region === instance.region);
  return regional.length > 0 ? regional : present;
}

/**
 * Daemon that should grant an endpoint's slots: the first by rendezvous hashing among the sharers
 * with which heartbeats are exchanged in both directions. Draining ones only if no other is left.
 */
export function choosePreferredGrantor(
  sharers: readonly Member[],
  endpoint: string,
): string | undefined {
  const reachable = sharers.filter((member) => member.isTwoWay);
  const live = reachable.filter((member) => member.state === MemberState.Live);
  const ids = (live.length > 0 ? live : reachable).map((member) => member.id);
  return rankMembers(endpoint, ids)[0];
}

/** Creates a lookup of an endpoint's preferred grantor, cached until the view changes. */
export function createGrantorChoice(
  membership: Membership,
): (endpoint: Endpoint) => string | undefined {
  const chosen = new Map<string, string | undefined>();
  let version = -1;

  return ({ instance }) => {
    const view = membership.getView();
    if (view.version !== version) {
      chosen.clear();
      version = view.version;
    }
    if (chosen.has(instance.id)) return chosen.get(instance.id);
    const preferred = choosePreferredGrantor(listSharers(view.members, instance), instance.id);
    chosen.set(instance.id, preferred);
    return preferred;
  };
}
