import { MemberState } from '@bergamotreach/protocol';
import type { HeartbeatMessage, MemberAddress } from '@bergamotreach/protocol';
import type { Member, MemberView } from './view.ts';

/** Time between heartbeats within a data centre and across, in milliseconds. */
export const nearHeartbeatMs = 500;
export const farHeartbeatMs = 2000;
const missedHeartbeats = 4;
// A member that left the platform's list and is not heard is forgotten after this time.
const forgetMs = 600_000;

interface MemberRecord {
  address: MemberAddress;
  state: MemberState;
  heardMs: number | undefined;
  hearsSelf: boolean;
  configRevision: number;
  isRefused: boolean;
  isListed: boolean;
  wasListed: boolean;
  changedMs: number;
}

/** Pure state of the member view; times are given by the caller. */
export interface MemberTable {
  /** Adds a daemon or updates its address. */
  putAddress(address: MemberAddress, nowMs: number): void;
  /** Applies the daemons of the platform's list, successfully read. */
  applyList(listed: readonly MemberAddress[], leaving: readonly string[], nowMs: number): void;
  /** Applies a heartbeat; returns whether the view may have changed by it. */
  applyHeartbeat(from: string, heartbeat: HeartbeatMessage, nowMs: number): boolean;
  applyLeaving(ids: readonly string[]): void;
  /** The address of a member refused a connection, or accepted one again. */
  setRefused(id: string, isRefused: boolean): void;
  setSelfState(state: MemberState): void;
  /** Ids heard within the suspicion time, itself excluded. */
  listHeard(nowMs: number): string[];
  listAddresses(): MemberAddress[];
  getConfigRevision(id: string): number;
  /** The view as last computed. */
  getView(): MemberView;
  /** Recomputes the view; the same object while nothing changed. */
  updateView(nowMs: number): MemberView;
  /** Drops members gone for long; returns their ids. */
  removeForgotten(nowMs: number): string[];
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

/** Time without a heartbeat after which a member is suspect, in milliseconds. */
export function getSuspicionMs(self: MemberAddress, other: MemberAddress): number {
  const periodMs = self.dataCentre === other.dataCentre ? nearHeartbeatMs : farHeartbeatMs;
  return periodMs * missedHeartbeats;
}

/** Creates the table of one daemon, which itself is always a member. */
export function createMemberTable(self: MemberAddress): MemberTable {
  const records = new Map<string, MemberRecord>();
  let selfState = MemberState.Live;
  let view: MemberView = { selfId: self.id, version: 0, members: [] };

  function putAddress(address: MemberAddress, nowMs: number): void {
    if (address.id === self.id) return;
    const known = records.get(address.id);
    if (known !== undefined) {
      known.address = address;
      return;
    }
    records.set(address.id, {
      address,
      state: MemberState.Live,
      heardMs: undefined,
      hearsSelf: false,
      configRevision: 0,
      isRefused: false,
      isListed: false,
      wasListed: false,
      changedMs: nowMs,
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
      if (record.isListed) record.changedMs = nowMs;
    }
    applyLeaving(leaving);
  }

  function applyHeartbeat(from: string, heartbeat: HeartbeatMessage, nowMs: number): boolean {
    const record = records.get(from);
    if (record === undefined) return false;
    const hearsSelf = heartbeat.heard.includes(self.id);
    const isSame =
      isHeard(record, nowMs) && record.hearsSelf === hearsSelf && record.state === heartbeat.state;
    record.heardMs = nowMs;
    record.changedMs = nowMs;
    record.hearsSelf = hearsSelf;
    record.configRevision = heartbeat.configRevision;
    record.state = heartbeat.state;
    record.isRefused = false;
    return !isSame;
  }

  function applyLeaving(ids: readonly string[]): void {
    for (const id of ids) {
      const record = records.get(id);
      if (record !== undefined) record.state = MemberState.Draining;
    }
  }

  function isHeard(record: MemberRecord, nowMs: number): boolean {
    if (record.heardMs === undefined || record.isRefused) return false;
    return nowMs - record.heardMs <= getSuspicionMs(self, record.address);
  }

  function createMember(record: MemberRecord, nowMs: number): Member {
    const heard = isHeard(record, nowMs);
    const isDropped = record.wasListed && !record.isListed;
    return {
      ...record.address,
      state: record.state,
      isHeard: heard,
      isTwoWay: heard && record.hearsSelf,
      isGone: !heard && (record.isRefused || isDropped),
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

  function removeForgotten(nowMs: number): string[] {
    const forgotten = [...records]
      .filter(([, record]) => !record.isListed && nowMs - record.changedMs > forgetMs)
      .map(([id]) => id);
    for (const id of forgotten) records.delete(id);
    return forgotten;
  }

  return {
    putAddress,
    applyList,
    applyHeartbeat,
    applyLeaving,
    setRefused: (id, isRefused) => {
      const record = records.get(id);
      if (record !== undefined) record.isRefused = isRefused;
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
    removeForgotten,
  };
}
