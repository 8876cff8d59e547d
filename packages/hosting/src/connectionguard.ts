import type { Socket } from 'node:net';
import { runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import { HoldCause } from './memorybudget.ts';
import type { MemoryBudget, MemoryHold } from './memorybudget.ts';

/** Why a guard closed a connection. */
export enum CloseCause {
  /** All connections are in use and this one was idle the longest, or it came last. */
  Connections = 'connections',
  /** Too many requests were sent ahead. */
  Ahead = 'ahead',
  /** The memory for clients was used up. */
  Memory = 'memory',
  /** The client has not read its answers for too long. */
  Unread = 'unread',
}

/** Options of a guard. */
export interface ConnectionGuardOptions {
  /** Name of the listener in logs and metrics. */
  listener: string;
  budget: MemoryBudget;
  maxConnections: number;
  /** Requests that one connection may have under way or unread at once. */
  maxAhead: number;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}

/** Bounds what the clients of one listener make the process hold. */
export interface ConnectionGuard {
  /** Takes in a connection, in exchange for an idle one if necessary. False if it was closed instead. */
  accept(socket: Socket): boolean;
  /** Counts a request with `bytes` of headers. False if its connection was closed instead. */
  startRequest(socket: Socket, bytes: number): boolean;
  /** Uncounts a request whose answer has been sent or given up. */
  endRequest(socket: Socket, bytes: number): void;
  /** Sets the bytes of a message that has not arrived as a whole. */
  setPartial(socket: Socket, bytes: number): void;
  setMaxConnections(maxConnections: number): void;
  /** Stops the checks. */
  close(): void;
}

/** State of one connection. */
interface Client {
  socket: Socket;
  hold: MemoryHold;
  requests: number;
  partialBytes: number;
  hasSentRequest: boolean;
  /** Bytes that the client had taken at the latest check. */
  takenBytes: number;
  takenMs: number;
}

/** Memory of a connection without requests: sockets, parser and buffers. */
const connectionBytes = 8192;
/** Memory of a request besides its headers and its body: the objects of the request, its answer and its handler. */
const requestBytes = 12_288;
/** A client that reads nothing of its answers for this long is closed. */
const maxUnreadMs = 5000;
const checkMs = 1000;
/** Closed connections are logged once in this period. */
const reportMs = 5000;

/** Creates a guard without connections. */
export function createConnectionGuard(options: ConnectionGuardOptions): ConnectionGuard {
  const { listener, budget, maxAhead, clock, logger, metrics } = options;
  /** In the order of their latest progress. */
  const clients = new Map<Socket, Client>();
  const closedCounts = new Map<CloseCause, number>();
  let maxConnections = options.maxConnections;
  let reportedMs = -Infinity;
  let cancelChecks: CancelTimer | undefined;

  function report(): void {
    const nowMs = clock.getNowMs();
    if (closedCounts.size === 0 || nowMs - reportedMs < reportMs) return;
    reportedMs = nowMs;
    logger.warn('connections_closed', {
      listener,
      connections: closedCounts.get(CloseCause.Connections) ?? 0,
      ahead: closedCounts.get(CloseCause.Ahead) ?? 0,
      memory: closedCounts.get(CloseCause.Memory) ?? 0,
      unread: closedCounts.get(CloseCause.Unread) ?? 0,
    });
    closedCounts.clear();
  }

  function closeSocket(socket: Socket, cause: CloseCause): void {
    closedCounts.set(cause, (closedCounts.get(cause) ?? 0) + 1);
    metrics.count('connections.closed', 1, { listener, cause });
    removeClient(socket);
    socket.destroy();
    report();
  }

  function removeClient(socket: Socket): void {
    clients.get(socket)?.hold.release();
    clients.delete(socket);
    if (clients.size > 0) return;
    cancelChecks?.();
    cancelChecks = undefined;
  }

  /** Idle connections are given up first: those that never sent a request, then the longest idle. */
  function findIdle(): Client | undefined {
    let longest: Client | undefined;
    for (const client of clients.values()) {
      if (client.requests > 0) continue;
      if (!client.hasSentRequest) return client;
      longest ??= client;
    }
    return longest;
  }

  function markProgress(client: Client): void {
    client.hold.markProgress();
    client.hold.setWaiting(client.requests > 0);
    clients.delete(client.socket);
    clients.set(client.socket, client);
  }

  function getTakenBytes({ bytesWritten, writableLength }: Socket): number {
    return bytesWritten - writableLength;
  }

  function check(): void {
    const nowMs = clock.getNowMs();
    for (const client of [...clients.values()]) {
      const taken = getTakenBytes(client.socket);
      if (taken !== client.takenBytes || client.socket.writableLength === 0) {
        client.takenBytes = taken;
        client.takenMs = nowMs;
      } else if (nowMs - client.takenMs >= maxUnreadMs) {
        closeSocket(client.socket, CloseCause.Unread);
      }
    }
    report();
  }

  return {
    accept(socket) {
      if (clients.size >= maxConnections) {
        const idle = findIdle();
        closeSocket(idle?.socket ?? socket, CloseCause.Connections);
        if (idle === undefined) return false;
      }
      const hold = budget.open(HoldCause.Connection, () => {
        closeSocket(socket, CloseCause.Memory);
      });
      const nowMs = clock.getNowMs();
      clients.set(socket, {
        ...{ socket, hold, requests: 0, partialBytes: 0, hasSentRequest: false },
        ...{ takenBytes: 0, takenMs: nowMs },
      });
      cancelChecks ??= runEvery(clock, checkMs, check);
      socket.once('close', () => {
        removeClient(socket);
      });
      return hold.add(connectionBytes);
    },
    startRequest(socket, bytes) {
      const client = clients.get(socket);
      if (client === undefined) return false;
      client.requests += 1;
      client.hasSentRequest = true;
      if (client.requests > maxAhead) {
        closeSocket(socket, CloseCause.Ahead);
        return false;
      }
      markProgress(client);
      return client.hold.add(requestBytes + bytes);
    },
    endRequest(socket, bytes) {
      const client = clients.get(socket);
      if (client === undefined) return;
      client.requests -= 1;
      client.hold.add(-requestBytes - bytes);
      markProgress(client);
    },
    setPartial(socket, bytes) {
      const client = clients.get(socket);
      if (client === undefined) return;
      const added = bytes - client.partialBytes;
      client.partialBytes = bytes;
      client.hold.markProgress();
      client.hold.add(added);
    },
    setMaxConnections(value) {
      maxConnections = value;
    },
    close() {
      cancelChecks?.();
      cancelChecks = undefined;
    },
  };
}
