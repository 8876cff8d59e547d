import { MemberState } from '@bergamotreach/protocol';
import type { HeartbeatMessage, MemberAddress } from '@bergamotreach/protocol';
import type { Member, MemberView } from './view.ts';

/** Time between heartbeats within a data centre and across data centres, in milliseconds. */
export const localHeartbeatMs = 500;
export const remoteHeartbeatMs = 2000;
const maxMissedHeartbeats = 4;
// A member that is neither listed by the platform nor heard is removed after this time.
const retentionMs = 600_000;

interface MemberRecord {
  address: MemberAddress;
  state: MemberState;
  lastHeardMs: number | undefined;
  hearsSelf: boolean;
  configRevision: number;
  isConnectionRefused: boolean;
  isListed: boolean;
  wasListed: boolean;
  lastSeenMs: number;
}

/** State of the failure detector behind the member view; callers pass the time. */
export interface MemberTable {
  /** Adds a daemon or updates its address. */
  putAddress(address: MemberAddress, nowMs: number): void;
  /** Applies the daemons of a successfully read platform list; `leaving` holds ids. */
  applyList(listed: readonly MemberAddress[], leaving: readonly string[], nowMs: number): void;
  /** Applies a heartbeat; returns whether the view may have changed. */
  applyHeartbeat(from: string, heartbeat: HeartbeatMessage, nowMs: number): boolean;
  applyLeaving(ids: readonly string[]): void;
  /** Records whether the address of a member refused its last connection attempt. */
  setConnectionRefused(id: string, isRefused: boolean): void;
  setSelfState(state: MemberState): void;
  /** Ids of the other members heard within the suspicion timeout. */
  listHeard(nowMs: number): string[];
  listAddresses(): MemberAddress[];
  getConfigRevision(id: string): number;
  /** The last computed view. */
  getView(): MemberView;
  /** Recomputes the view; returns the same object if nothing changed. */
  updateView(nowMs: number): MemberView;
  /** Removes members past their retention time; returns their ids. */
  removeExpired(nowMs: number): string[];
}

function isSameMember(left: Member, right: Member | undefined): boolean {
  return (
    left.id === right?.id &&
    left.peerAddress === right.peerAddress &&
    left.state === right.state &&
    left.isHeard === right.isHeard &&
    left.isTwoWay === right.isTwoWay &&
    left.isGone === right.isGone
  );
}

/** Time without a heartbeat after which a member is suspected, in milliseconds. */
export function getSuspicionTimeoutMs(self: MemberAddress, other: MemberAddress): number {
  const periodMs = self.dataCentre === other.dataCentre ? localHeartbeatMs : remoteHeartbeatMs;
  return periodMs * maxMissedHeartbeats;
}

/** Creates the member table of a daemon, which is always a member itself. */
export function createMemberTable(self: MemberAddress): MemberTable {
  const records = new Map<string, MemberRecord>();
  let selfState = MemberState.Live;
  let view: MemberView = { selfId: self.id, version: 0, members: [] };

  function putAddress(address: MemberAddress, nowMs: number): void {
    if (address.id === self.id) return;
    const existing = records.get(address.id);
    if (existing !== undefined) {
      existing.address = address;
      return;
    }
    records.set(address.id, {
      address,
      state: MemberState.Live,
      lastHeardMs: undefined,
      hearsSelf: false,
      configRevision: 0,
      isConnectionRefused: false,
      isListed: false,
      wasListed: false,
      lastSeenMs: nowMs,
    });
  }

  function applyList(
    listed: readonly MemberAddress[],
    leaving: readonly string[],
    nowMs: number,
  ): void {
    const listedIds = new Set(listed.map((address) => address.id));
    for (const address of listed) putAddress(address, nowMs);
    for (const [id, record] of records) {
      record.isListed = listedIds.has(id);
      if (record.isListed) record.wasListed = true;
      if (record.isListed) record.lastSeenMs = nowMs;
    }
    applyLeaving(leaving);
  }

  function applyHeartbeat(from: string, heartbeat: HeartbeatMessage, nowMs: number): boolean {
    const record = records.get(from);
    if (record === undefined) return false;
    const hearsSelf = heartbeat.heard.includes(self.id);
    const isSame =
      isHeard(record, nowMs) && record.hearsSelf === hearsSelf && record.state === heartbeat.state;
    record.lastHeardMs = nowMs;
    record.lastSeenMs = nowMs;
    record.hearsSelf = hearsSelf;
    record.configRevision = heartbeat.configRevision;
    record.state = heartbeat.state;
    record.isConnectionRefused = false;
    return !isSame;
  }

  function applyLeaving(ids: readonly string[]): void {
    for (const id of ids) {
      const record = records.get(id);
      if (record !== undefined) record.state = MemberState.Draining;
    }
  }

  function isHeard(record: MemberRecord, nowMs: number): boolean {
    if (record.lastHeardMs === undefined || record.isConnectionRefused) return false;
    return nowMs - record.lastHeardMs <= getSuspicionTimeoutMs(self, record.address);
  }

  function createMember(record: MemberRecord, nowMs: number): Member {
    const heard = isHeard(record, nowMs);
    const isDropped = record.wasListed && !record.isListed;
    return {
      ...record.address,
      state: record.state,
      isHeard: heard,
      isTwoWay: heard && record.hearsSelf,
      isGone: !heard && (record.isConnectionRefused || isDropped),
    };
  }

  function createSelf(): Member {
    return { ...self, state: selfState, isHeard: true, isTwoWay: true, isGone: false };
  }

  function updateView(nowMs: number): MemberView {
    const members = [...records.values()].map((record) => createMember(record, nowMs));
    const next = [createSelf(), ...members].sort((a, b) => (a.id < b.id ? -1 : 1));
    const isSame =
      next.length === view.members.length &&
      next.every((member, index) => isSameMember(member, view.members[index]));
    if (!isSame) view = { selfId: self.id, version: view.version + 1, members: next };
    return view;
  }

  function removeExpired(nowMs: number): string[] {
    const expired = [...records]
      .filter(([, record]) => !record.isListed && nowMs - record.lastSeenMs > retentionMs)
      .map(([id]) => id);
    for (const id of expired) records.delete(id);
    return expired;
  }

  return {
    putAddress,
    applyList,
    applyHeartbeat,
    applyLeaving,
    setConnectionRefused: (id, isRefused) => {
      const record = records.get(id);
      if (record !== undefined) record.isConnectionRefused = isRefused;
    },
    setSelfState: (state) => {
      selfState = state;
    },
    listHeard: (nowMs) =>
      [...records].filter(([, record]) => isHeard(record, nowMs)).map(([id]) => id),
    listAddresses: () => [self, ...[...records.values()].map((record) => record.address)],
    getConfigRevision: (id) => records.get(id)?.configRevision ?? 0,
    getView: () => view,
    updateView,
    removeExpired,
  };
}
