import { MessageType } from '@bergamotreach/protocol';
import type { Clock } from '@bergamotreach/protocol';
import type { MemberView, Membership } from '@bergamotreach/membership';
import type { Endpoint } from './endpoint.ts';
import { listSharers } from './grantorchoice.ts';
import { createShareDivisor } from './sharedivisor.ts';
import type { ShareDivisor } from './sharedivisor.ts';

/** This daemon's share of the slots of endpoints. */
export interface OwnShare {
  /** Share of an endpoint in slots, possibly fractional; 0 when this daemon has none. */
  computeShare(endpoint: Endpoint, nowMs: number): number;
  /**
   * Applies the dead members whose grants are accounted for. A daemon that is left alone in its
   * data centre gets all slots as soon as no grants of the others are in use.
   */
  applyReconciled(reconciled: readonly string[]): void;
}

/** Options of the share. */
export interface OwnShareOptions {
  clock: Clock;
  membership: Membership;
  selfId: string;
  dataCentre: string;
  getMinDaemons: () => number;
  /** Maximum duration of a delegation. */
  getDelegationMs: () => number;
}

/** Heartbeats are sent twice a second, so a member with a higher number has run for 10 s. */
const startupHeartbeats = 20;
/** Time after its start in which this daemon checks whether other members ran before it. */
const joinWindowMs = 5000;

/** Creates the share; a daemon that joins others has none until their delegations have expired. */
export function createOwnShare(options: OwnShareOptions): OwnShare {
  const { clock, membership, selfId } = options;
  const divisors = new Map<string, ShareDivisor>();
  const heardMembers = new Set<string>();
  const startMs = clock.getNowMs();
  let withheldUntilMs = -Infinity;

  function handleHeartbeat(from: string, sequence: number): void {
    const member = membership.getView().members.find(({ id }) => id === from);
    if (member?.dataCentre !== options.dataCentre || heardMembers.has(from)) return;
    heardMembers.add(from);
    const isStarting = clock.getNowMs() - startMs < joinWindowMs;
    if (!isStarting || sequence <= startupHeartbeats) return;
    withheldUntilMs = startMs + joinWindowMs + options.getDelegationMs();
  }

  function updateDivisor(dataCentre: string, daemonCount: number, nowMs: number): number {
    let divisor = divisors.get(dataCentre);
    if (divisor === undefined) divisors.set(dataCentre, (divisor = createShareDivisor()));
    return divisor.update(
      Math.max(1, options.getMinDaemons(), daemonCount),
      options.getDelegationMs(),
      nowMs,
    );
  }

  /** Runs at each view change, since a count first taken after a crash would be too small. */
  function updateLocalDivisor(view: MemberView): void {
    const { dataCentre } = options;
    const members = view.members.filter((member) => !member.isGone);
    const local = members.filter((member) => member.dataCentre === dataCentre);
    updateDivisor(dataCentre, local.length, clock.getNowMs());
  }

  function computeShare(endpoint: Endpoint, nowMs: number): number {
    const { dataCentre, capacity } = endpoint.instance;
    const sharers = listSharers(membership.getView().members, endpoint.instance);
    const divisor = updateDivisor(dataCentre, sharers.length, nowMs);
    const isSharer = sharers.some((member) => member.id === selfId);
    return isSharer && nowMs >= withheldUntilMs ? capacity.slots / divisor : 0;
  }

  function applyReconciled(reconciled: readonly string[]): void {
    const { members } = membership.getView();
    const local = members.filter((member) => member.dataCentre === options.dataCentre);
    const others = local.filter((member) => member.id !== selfId);
    const isAlone = others.every((member) => member.isGone && reconciled.includes(member.id));
    if (others.length === 0 || !isAlone) return;
    divisors.get(options.dataCentre)?.reset(Math.max(1, options.getMinDaemons()));
  }

  membership.addHandler(MessageType.Heartbeat, (from, message) => {
    handleHeartbeat(from, message.sequence);
  });
  membership.addViewListener(updateLocalDivisor);
  updateLocalDivisor(membership.getView());
  return { computeShare, applyReconciled };
}
