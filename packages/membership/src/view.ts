import type { MemberState, MessageType, PeerMessage } from '@bergamotreach/protocol';

/** A daemon, possibly this one, as seen by this daemon's failure detector. */
export interface Member {
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` of the peer listener. */
  peerAddress: string;
  state: MemberState;
  /** Whether its heartbeats arrive within the suspicion timeout. Always true for this daemon. */
  isHeard: boolean;
  /** Whether it also reports hearing this daemon. Always true for this daemon. */
  isTwoWay: boolean;
  /** Whether it is dead: not heard, and it refuses connections or is no longer listed. */
  isGone: boolean;
}

/** Members as seen by this daemon, itself included. */
export interface MemberView {
  selfId: string;
  /** Increases with each change. */
  version: number;
  members: readonly Member[];
}

/** A message of one type. */
export type MessageOf<T extends MessageType> = Extract<PeerMessage, { type: T }>;

/** View of the members and messages to and from them. */
export interface Membership {
  getView(): MemberView;
  /** Calls `listener` after each change of the view; returns a function that removes it. */
  addViewListener(listener: (view: MemberView) => void): () => void;
  /** Sends a message if a connection is up; it may be lost. False when it was not sent. */
  send(memberId: string, message: PeerMessage): boolean;
  /** Sends a message to all connected members. */
  sendAll(message: PeerMessage): void;
  /** Calls `handler` for each received message of the type. */
  addHandler<T extends MessageType>(
    type: T,
    handler: (from: string, message: MessageOf<T>) => void,
  ): void;
}
