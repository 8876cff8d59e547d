import { timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { MessageType, createFrameReader, splitAddress } from '@bergamotreach/protocol';
import type { HelloMessage, Logger, PeerMessage } from '@bergamotreach/protocol';

/** Options of the listener for other daemons. */
export interface PeerListenerOptions {
  logger: Logger;
  /** `ip:port`; port 0 chooses a free one. */
  address: string;
  secret: string;
  onHello: (hello: HelloMessage) => void;
  onMessage: (from: string, message: PeerMessage) => void;
}

/** Accepts connections from other daemons. */
export interface PeerListener {
  /** `ip:port` in use. */
  address: string;
  getReceivedBytes(): number;
  close(): void;
}

/** Time within which a connection must have sent its whole hello. */
const helloTimeoutMs = 5000;
/** A hello names each known daemon in about a hundred bytes. */
const maxHelloBytes = 65_536;
/** Connections without a hello; all daemons of a large deployment may reconnect at once. */
const maxUnknownPeers = 256;
/** Refused connections are logged once in this period. */
const reportMs = 5000;

function isSameSecret(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Starts listening. Closes connections whose first message is not a valid hello. */
export async function startPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const sockets = new Set<Socket>();
  /** Connections without a hello, oldest first. */
  const unknown = new Set<Socket>();
  let receivedBytes = 0;
  let refused = 0;
  let reportedMs = -Infinity;

  function refuse(socket: Socket, reason: string): void {
    refused += 1;
    unknown.delete(socket);
    const nowMs = performance.now();
    if (nowMs - reportedMs >= reportMs) {
      const address = socket.remoteAddress;
      options.logger.warn('peer_refused', { address, reason, connections: refused });
      reportedMs = nowMs;
      refused = 0;
    }
    socket.destroy();
  }

  function acceptHello(message: PeerMessage): string | undefined {
    if (message.type !== MessageType.Hello) return undefined;
    if (!isSameSecret(message.secret, options.secret)) return undefined;
    options.onHello(message);
    return message.id;
  }

  function handleSocket(socket: Socket): void {
    const reader = createFrameReader();
    let peerId: string | undefined;
    let helloBytes = 0;
    sockets.add(socket);
    unknown.add(socket);
    const [oldest] = unknown;
    if (unknown.size > maxUnknownPeers && oldest !== undefined) {
      refuse(oldest, 'too many connections without a hello');
    }
    const timer = setTimeout(() => {
      if (peerId === undefined) refuse(socket, 'no hello in time');
    }, helloTimeoutMs);
    socket.on('data', (chunk: Buffer) => {
      // What arrived before the connection was refused is still delivered.
      if (socket.destroyed) return;
      receivedBytes += chunk.length;
      const messages = reader.readChunk(chunk);
      if (messages.isErr()) {
        options.logger.warn('peer_frame_refused', { reason: messages.error.message });
        socket.destroy();
        return;
      }
      for (const message of messages.value) {
        if (peerId !== undefined) options.onMessage(peerId, message);
        else peerId = acceptHello(message);
        if (peerId === undefined) {
          refuse(socket, 'the first message is not a valid hello');
          return;
        }
        unknown.delete(socket);
      }
      helloBytes += chunk.length;
      if (peerId === undefined && helloBytes > maxHelloBytes) refuse(socket, 'hello is too long');
    });
    socket.on('error', () => {
      socket.destroy();
    });
    socket.on('close', () => {
      clearTimeout(timer);
      sockets.delete(socket);
      unknown.delete(socket);
    });
  }

  const { host, port } = splitAddress(options.address);
  const server = createServer(handleSocket);
  const bound = await listenOn(server, host, port);
  return {
    address: bound,
    getReceivedBytes: () => receivedBytes,
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

async function listenOn(server: Server, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}
