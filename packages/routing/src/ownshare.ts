import { MessageType } from '@bergamotreach/protocol';
import type { Clock } from '@bergamotreach/protocol';
import type { MemberView, Membership } from '@bergamotreach/membership';
import type { Endpoint } from './endpoint.ts';
import { listSharers } from './grantor.ts';
import { createShareCount } from './sharecount.ts';
import type { ShareCount } from './sharecount.ts';

/** This daemon's share of the slots of endpoints. */
export interface OwnShare {
  /** Share of an endpoint's slots, a fraction; 0 when this daemon has none. */
  computeShare(endpoint: Endpoint, nowMs: number): number;
  /**
   * Takes the settled members among those that ended. A daemon that is left alone in its data centre
   * has all slots as soon as nobody uses grants of the others.
   */
  applySettled(settled: readonly string[]): void;
}

/** Options of the share. */
export interface OwnShareOptions {
  clock: Clock;
  membership: Membership;
  selfId: string;
  dataCentre: string;
  getMinDaemons: () => number;
  /** How long a share may stay promised. */
  getPromiseMs: () => number;
}

/** Heartbeats come twice a second, so a member with a higher number has run for 10 s. */
const youngHeartbeats = 20;
const joinMs = 5000;

/** Creates the share; a daemon that joins running ones has none until their promises have ended. */
export function createOwnShare(options: OwnShareOptions): OwnShare {
  const { clock, membership, selfId } = options;
  const counts = new Map<string, ShareCount>();
  const heard = new Set<string>();
  const startMs = clock.getNowMs();
  let withheldUntilMs = -Infinity;

  function handleHeartbeat(from: string, sequence: number): void {
    const member = membership.getView().members.find(({ id }) => id === from);
    if (member?.dataCentre !== options.dataCentre || heard.has(from)) return;
    heard.add(from);
    const isStarting = clock.getNowMs() - startMs < joinMs;
    if (!isStarting || sequence <= youngHeartbeats) return;
    withheldUntilMs = startMs + joinMs + options.getPromiseMs();
  }

  function updateCount(dataCentre: string, known: number, nowMs: number): number {
    let count = counts.get(dataCentre);
    if (count === undefined) counts.set(dataCentre, (count = createShareCount()));
    return count.update(Math.max(1, options.getMinDaemons(), known), options.getPromiseMs(), nowMs);
  }

  /** A count first taken after a crash would be too small, so each change of the view is seen. */
  function updateOwnCount(view: MemberView): void {
    const { dataCentre } = options;
    const present = view.members.filter((member) => !member.isGone);
    const local = present.filter((member) => member.dataCentre === dataCentre);
    updateCount(dataCentre, local.length, clock.getNowMs());
  }

  function computeShare(endpoint: Endpoint, nowMs: number): number {
    const { dataCentre, capacity } = endpoint.instance;
    const sharers = listSharers(membership.getView().members, endpoint.instance);
    const divisor = updateCount(dataCentre, sharers.length, nowMs);
    const isSharer = sharers.some((member) => member.id === selfId);
    return isSharer && nowMs >= withheldUntilMs ? capacity.slots / divisor : 0;
  }

  function applySettled(settled: readonly string[]): void {
    const { members } = membership.getView();
    const local = members.filter((member) => member.dataCentre === options.dataCentre);
    const others = local.filter((member) => member.id !== selfId);
    const isAlone = others.every((member) => member.isGone && settled.includes(member.id));
    if (others.length === 0 || !isAlone) return;
    counts.get(options.dataCentre)?.reset(Math.max(1, options.getMinDaemons()));
  }

  membership.addHandler(MessageType.Heartbeat, (from, message) => {
    handleHeartbeat(from, message.sequence);
  });
  membership.addViewListener(updateOwnCount);
  updateOwnCount(membership.getView());
  return { computeShare, applySettled };
}
