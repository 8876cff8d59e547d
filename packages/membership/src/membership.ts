import { randomUUID } from 'node:crypto';
import type { Instance } from '@bergamotreach/hosting';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import { MemberState, MessageType, runEvery } from '@bergamotreach/protocol';
import type {
  CancelTimer,
  Clock,
  HeartbeatMessage,
  HelloMessage,
  Logger,
  MemberAddress,
  Metrics,
  PeerMessage,
} from '@bergamotreach/protocol';
import { createMemberTable, remoteHeartbeatMs, localHeartbeatMs } from './members.ts';
import { createPeerLink } from './peerlink.ts';
import type { PeerLink } from './peerlink.ts';
import { startPeerListener } from './peerlistener.ts';
import type { Membership, MemberView, MessageOf } from './view.ts';

/** State of this daemon's other tasks that its heartbeats carry. */
export interface HeartbeatPayload {
  configRevision: number;
}

/** Options of the membership task. */
export interface MembershipOptions {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  id: string;
  region: string;
  dataCentre: string;
  /** `ip:port` to listen on for other daemons; port 0 chooses a free one. */
  peerAddress: string;
  /** Peer addresses to contact at start, in case the instance list is unavailable. */
  seeds: readonly string[];
  secret: string;
  getHeartbeatPayload: () => HeartbeatPayload;
}

/** The running membership task. */
export interface MembershipTask extends Membership {
  /** Peer address in use. */
  address: string;
  /** Applies a successfully read instance list. */
  applyInstances(instances: readonly Instance[]): void;
  /** Configuration revision in force on a member, from its last heartbeat; 0 when unknown. */
  getConfigRevision(memberId: string): number;
  /** Announces that this daemon takes no new work. */
  startDraining(): void;
  getDump(): unknown;
  stop(): void;
}

const suspicionCheckMs = 250;

function createMemberAddress(instance: Instance): MemberAddress {
  return {
    id: instance.id,
    region: instance.region,
    dataCentre: instance.dataCentre,
    peerAddress: instance.address,
  };
}

/** Starts the task: listens, connects to the known members and sends heartbeats. */
export async function startMembership(options: MembershipOptions): Promise<MembershipTask> {
  const { clock, logger, metrics } = options;
  const links = new Map<string, PeerLink>();
  const seedLinks = new Map<string, PeerLink>();
  const viewListeners = new Set<(view: MemberView) => void>();
  const handlers = new Map<MessageType, ((from: string, message: never) => void)[]>();
  const timers: CancelTimer[] = [];
  const incarnation = randomUUID();
  let state = MemberState.Live;
  let sequence = 0;
  let lastVersion = -1;

  const listener = await startPeerListener({
    logger,
    address: options.peerAddress,
    secret: options.secret,
    onHello: handleHello,
    onMessage: handleMessage,
  });
  const self: MemberAddress = {
    id: options.id,
    region: options.region,
    dataCentre: options.dataCentre,
    peerAddress: listener.address,
  };
  const table = createMemberTable(self);

  function createHello(): HelloMessage {
    return {
      ...self,
      type: MessageType.Hello,
      incarnation,
      secret: options.secret,
      members: table.listAddresses(),
    };
  }

  function handleHello(hello: HelloMessage): void {
    const { id, region, dataCentre, peerAddress } = hello;
    for (const member of [{ id, region, dataCentre, peerAddress }, ...hello.members]) {
      addMember(member);
    }
    closeSeed(hello.peerAddress);
  }

  /** Updates the member table from a message; returns whether the view may have changed. */
  function applyToTable(from: string, message: PeerMessage): boolean {
    if (message.type === MessageType.Heartbeat) {
      return table.applyHeartbeat(from, message, clock.getNowMs());
    }
    if (message.type !== MessageType.Leaving) return false;
    table.applyLeaving(message.instances);
    return true;
  }

  function handleMessage(from: string, message: PeerMessage): void {
    if (applyToTable(from, message)) publishView();
    for (const handler of handlers.get(message.type) ?? []) handler(from, message as never);
  }

  function publishView(): void {
    const view = table.updateView(clock.getNowMs());
    if (view.version === lastVersion) return;
    lastVersion = view.version;
    const heard = view.members.filter((member) => member.isHeard).length;
    logger.info('members_changed', { version: view.version, known: view.members.length, heard });
    metrics.setGauge('members.heard', heard);
    for (const notify of viewListeners) notify(view);
  }

  function addMember(address: MemberAddress): void {
    if (address.id === self.id) return;
    const existing = table.listAddresses().find((member) => member.id === address.id);
    table.putAddress(address, clock.getNowMs());
    if (existing?.peerAddress === address.peerAddress && links.has(address.id)) return;
    links.get(address.id)?.close();
    links.set(address.id, createLink(address.id, address.peerAddress));
  }

  function createLink(id: string, address: string): PeerLink {
    const link = createPeerLink({
      clock,
      address,
      events: {
        onOpen: () => {
          link.send(createHello());
          link.send(createHeartbeat());
          table.setConnectionRefused(id, false);
        },
        onClose: (isRefused) => {
          if (isRefused) table.setConnectionRefused(id, true);
          publishView();
        },
      },
    });
    return link;
  }

  function openSeed(address: string): void {
    if (address === self.peerAddress) return;
    const link = createPeerLink({
      clock,
      address,
      events: {
        onOpen: () => link.send(createHello()),
        onClose: () => undefined,
      },
    });
    seedLinks.set(address, link);
  }

  function closeSeed(address: string): void {
    seedLinks.get(address)?.close();
    seedLinks.delete(address);
  }

  function createHeartbeat(): HeartbeatMessage {
    sequence += 1;
    return {
      type: MessageType.Heartbeat,
      sequence,
      state,
      heard: table.listHeard(clock.getNowMs()),
      ...options.getHeartbeatPayload(),
    };
  }

  function sendHeartbeats(isLocal: boolean): void {
    const heartbeat = createHeartbeat();
    for (const member of table.listAddresses()) {
      const isMemberLocal = member.dataCentre === self.dataCentre;
      if (isMemberLocal === isLocal) links.get(member.id)?.send(heartbeat);
    }
  }

  function applyInstances(instances: readonly Instance[]): void {
    const daemons = instances.filter((instance) => instance.kind === InstanceKind.Daemon);
    const leaving = daemons
      .filter((instance) => instance.state === InstanceState.Leaving)
      .map((instance) => instance.id);
    for (const instance of daemons) addMember(createMemberAddress(instance));
    table.applyList(daemons.map(createMemberAddress), leaving, clock.getNowMs());
    publishView();
  }

  function removeExpired(): void {
    for (const id of table.removeExpired(clock.getNowMs())) {
      links.get(id)?.close();
      links.delete(id);
    }
  }

  function send(memberId: string, message: PeerMessage): boolean {
    return links.get(memberId)?.send(message) ?? false;
  }

  function sendAll(message: PeerMessage): void {
    for (const link of links.values()) link.send(message);
  }

  function addHandler<T extends MessageType>(
    type: T,
    handler: (from: string, message: MessageOf<T>) => void,
  ): void {
    const existing = handlers.get(type) ?? [];
    handlers.set(type, [...existing, handler]);
  }

  function startDraining(): void {
    state = MemberState.Draining;
    table.setSelfState(state);
    sendAll({ type: MessageType.Leaving, instances: [self.id] });
    sendAll(createHeartbeat());
    publishView();
  }

  function getDump(): unknown {
    const sentBytes = [...links.values()].reduce((sum, link) => sum + link.getSentBytes(), 0);
    return {
      self,
      state,
      view: table.updateView(clock.getNowMs()),
      sentBytes,
      receivedBytes: listener.getReceivedBytes(),
    };
  }

  function stop(): void {
    for (const cancel of timers) cancel();
    for (const link of [...links.values(), ...seedLinks.values()]) link.close();
    listener.close();
  }

  for (const seed of options.seeds) openSeed(seed);
  publishView();
  timers.push(
    runEvery(clock, localHeartbeatMs, () => {
      sendHeartbeats(true);
    }),
    runEvery(clock, remoteHeartbeatMs, () => {
      sendHeartbeats(false);
      removeExpired();
    }),
    runEvery(clock, suspicionCheckMs, publishView),
  );
  return {
    address: listener.address,
    // Called many times a second, so the view is recomputed only on messages and by a timer.
    getView: () => table.getView(),
    addViewListener: (notify) => {
      viewListeners.add(notify);
      return () => viewListeners.delete(notify);
    },
    send,
    sendAll,
    addHandler,
    applyInstances,
    getConfigRevision: (memberId) => table.getConfigRevision(memberId),
    startDraining,
    getDump,
    stop,
  };
}
