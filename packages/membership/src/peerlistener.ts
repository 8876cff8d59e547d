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

const helloTimeoutMs = 5000;

function isSameSecret(left: string, right: string): boolean {
  const a = Buffer.from(left);
  const b = Buffer.from(right);
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Starts listening. Closes connections whose first message is not a valid hello. */
export async function startPeerListener(options: PeerListenerOptions): Promise<PeerListener> {
  const sockets = new Set<Socket>();
  let receivedBytes = 0;

  function acceptHello(message: PeerMessage): string | undefined {
    if (message.type !== MessageType.Hello) return undefined;
    if (!isSameSecret(message.secret, options.secret)) return undefined;
    options.onHello(message);
    return message.id;
  }

  function handleSocket(socket: Socket): void {
    const reader = createFrameReader();
    let peerId: string | undefined;
    sockets.add(socket);
    socket.setTimeout(helloTimeoutMs, () => {
      if (peerId === undefined) socket.destroy();
    });
    socket.on('data', (chunk: Buffer) => {
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
          options.logger.warn('peer_refused', { address: socket.remoteAddress });
          socket.destroy();
          return;
        }
      }
    });
    socket.on('error', () => {
      socket.destroy();
    });
    socket.on('close', () => sockets.delete(socket));
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
