import type { MemberState, MessageType, PeerMessage } from '@bergamotreach/protocol';

/** Another daemon, or this one, as known to this daemon. */
export interface Member {
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` of the peer listener. */
  peerAddress: string;
  state: MemberState;
  /** Whether this daemon heard it within the suspicion time. Always true for itself. */
  isHeard: boolean;
  /** Whether it also reports hearing this daemon. Always true for itself. */
  isTwoWay: boolean;
  /** Whether it certainly ended: its address refuses connections or the platform dropped it. */
  isGone: boolean;
}

/** What this daemon knows about the members, itself included. */
export interface MemberView {
  selfId: string;
  /** Grows with each change. */
  version: number;
  members: readonly Member[];
}

/** A message of one type. */
export type MessageOf<T extends MessageType> = Extract<PeerMessage, { type: T }>;

/** Connections to the other daemons and the view of them. */
export interface Membership {
  getView(): MemberView;
  /** Calls `listener` after each change of the view; returns how to stop. */
  addViewListener(listener: (view: MemberView) => void): () => void;
  /** Sends a message if a connection is up; a message may be lost. False when it was not sent. */
  send(memberId: string, message: PeerMessage): boolean;
  /** Sends to all members that are up. */
  sendAll(message: PeerMessage): void;
  /** Calls `handler` for each received message of the type. */
  addHandler<T extends MessageType>(
    type: T,
    handler: (from: string, message: MessageOf<T>) => void,
  ): void;
}
