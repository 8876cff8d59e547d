import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { LimitsConfig } from '@bergamotreach/config';
import { FaultCode, createFault, faultAnswers, getOutcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { formatFaultBody } from './answer.ts';

/** Handles one exchange. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The listener for callers and operators. */
export interface HttpServer {
  /** `ip:port` in use. */
  address: string;
  applyLimits(limits: LimitsConfig): void;
  /** Asks clients to leave: from now on each answer closes its connection. */
  startDraining(): void;
  /** Takes no new connection; resolves when all connections are closed. */
  close(): Promise<void>;
  /** Closes everything at once. */
  closeNow(): void;
}

/** Options of the listener. */
export interface HttpServerOptions {
  /** `ip:port`; port 0 chooses a free one. */
  address: string;
  handler: RequestHandler;
}

const initialReadTimeoutMs = 10_000;
const timeoutCheckMs = 500;
const maxHeaderBytes = 16_384;
const keepAliveMs = 15_000;
// A process of 64 MB must not accept more sockets than it can serve.
const initialMaxConnections = 1024;

function createClientFault(code: string | undefined): Fault {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return createFault(FaultCode.ReadTimeout, 'request was not received in time');
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    return createFault(FaultCode.TooLarge, `headers exceed ${maxHeaderBytes} bytes`);
  }
  return createFault(FaultCode.BadRequest, 'request is not valid HTTP');
}

function answerClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const fault = createClientFault(error.code);
  const body = formatFaultBody(fault);
  const head = [
    `HTTP/1.1 ${faultAnswers[fault.code].status} Error`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-outcome: ${getOutcome(fault)}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

async function listen(server: Server, address: string): Promise<string> {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(address.slice(colon + 1)), host, resolve);
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Starts to listen. Rejects when the address cannot be used. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  let isDraining = false;
  const server = createServer(
    {
      requestTimeout: initialReadTimeoutMs,
      headersTimeout: initialReadTimeoutMs,
      connectionsCheckingInterval: timeoutCheckMs,
      maxHeaderSize: maxHeaderBytes,
      keepAliveTimeout: keepAliveMs,
    },
    (request, response) => {
      if (isDraining) response.setHeader('connection', 'close');
      options.handler(request, response);
    },
  );
  server.maxConnections = initialMaxConnections;
  server.on('clientError', answerClientError);
  const address = await listen(server, options.address);

  async function close(): Promise<void> {
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      server.closeIdleConnections();
    });
  }

  return {
    address,
    applyLimits: (limits) => {
      server.requestTimeout = limits.readTimeoutMs;
      server.headersTimeout = limits.readTimeoutMs;
      server.maxConnections = limits.maxConnections;
    },
    startDraining: () => {
      isDraining = true;
    },
    close,
    closeNow: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
