import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { encodeFrame, splitAddress } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, PeerMessage } from '@bergamotreach/protocol';

/** Events of an outgoing link, handled by the membership task. */
export interface PeerLinkEvents {
  onOpen: () => void;
  /** `isConnectionRefused` when the address refused the connection, so no process listens there. */
  onClose: (isRefused: boolean) => void;
}

/** An outgoing connection to one daemon; reconnects with backoff after each loss. */
export interface PeerLink {
  /** Writes a message; false when the link is down or its buffer is full. */
  send(message: PeerMessage): boolean;
  isOpen(): boolean;
  getSentBytes(): number;
  close(): void;
}

/** Options of a link. */
export interface PeerLinkOptions {
  clock: Clock;
  /** `ip:port`. */
  address: string;
  events: PeerLinkEvents;
}

const reconnectMinMs = 200;
const reconnectMaxMs = 3200;
const connectTimeoutMs = 2000;
// Limits what this process buffers for a peer that does not read.
const maxBufferedBytes = 2 * 1024 * 1024;

/** Creates a link and starts to connect. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const { clock, events } = options;
  let socket: Socket | undefined;
  let isUp = false;
  let isClosed = false;
  let delayMs = reconnectMinMs;
  let sentBytes = 0;
  let cancelRetry: CancelTimer = () => undefined;

  function handleOpen(): void {
    isUp = true;
    delayMs = reconnectMinMs;
    events.onOpen();
  }

  function handleClose(errorCode: string): void {
    const wasUp = isUp;
    isUp = false;
    socket = undefined;
    if (isClosed) return;
    const isRefused = errorCode === 'ECONNREFUSED';
    if (wasUp || isRefused) events.onClose(isRefused);
    cancelRetry = clock.setTimer(delayMs, open);
    delayMs = Math.min(delayMs * 2, reconnectMaxMs);
  }

  function open(): void {
    let errorCode = '';
    const opened = connect(splitAddress(options.address));
    socket = opened;
    opened.setNoDelay(true);
    opened.setTimeout(connectTimeoutMs, () => {
      if (!isUp) opened.destroy();
    });
    opened.once('connect', handleOpen);
    opened.once('error', (error: NodeJS.ErrnoException) => {
      errorCode = error.code ?? '';
    });
    opened.once('close', () => {
      handleClose(errorCode);
    });
    opened.resume();
  }

  function send(message: PeerMessage): boolean {
    if (socket === undefined || !isUp) return false;
    if (socket.writableLength > maxBufferedBytes) return false;
    const frame = encodeFrame(message);
    sentBytes += frame.length;
    socket.write(frame);
    return true;
  }

  function close(): void {
    isClosed = true;
    cancelRetry();
    socket?.end();
    socket?.unref();
  }

  open();
  return { send, isOpen: () => isUp, getSentBytes: () => sentBytes, close };
}
