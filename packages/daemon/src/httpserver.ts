import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { LimitsConfig } from '@bergamotreach/config';
import {
  FaultCode,
  createFault,
  faultResponses,
  getOutcome,
  splitAddress,
} from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { formatFaultBody } from './responses.ts';

/** Configurable limits of the listener. */
export type ListenerLimits = Pick<
  LimitsConfig,
  'maxHeaderBytes' | 'readTimeoutMs' | 'maxConnections'
>;

/** Handles one HTTP request. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** HTTP listener that enforces limits and supports draining. */
export interface HttpServer {
  /** Bound `ip:port`. */
  address: string;
  applyLimits(limits: ListenerLimits): void;
  /** From now on, every response closes its connection. */
  startDraining(): void;
  /** Stops accepting connections; resolves when all open ones are closed. */
  close(): Promise<void>;
  /** Closes the listener and all connections immediately. */
  closeNow(): void;
  /** Counts open connections and requests whose response is not complete. */
  countOpen(): { connections: number; requests: number };
}

/** Options of the listener. */
export interface HttpServerOptions {
  /** `ip:port`; port 0 selects a free one. */
  address: string;
  handler: RequestHandler;
}

const initialReadTimeoutMs = 10_000;
const timeoutCheckMs = 500;
const initialMaxHeaderBytes = 16_384;
// Fixed when the listener opens, so it is an upper bound for the configured limit. Headers arrive
// before authentication: each of 1024 connections can hold this much.
const parserHeaderBytes = 65_536;
const keepAliveMs = 15_000;
// Upper bound of the sockets that a 64 MB process can serve.
const initialMaxConnections = 1024;
const closeCheckMs = 100;

function createClientFault(code: string | undefined): Fault {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return createFault(FaultCode.ReadTimeout, 'request was not received within the read timeout');
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    return createFault(FaultCode.TooLarge, `headers exceed ${parserHeaderBytes} bytes`);
  }
  return createFault(FaultCode.BadRequest, 'request is not valid HTTP');
}

function formatRawResponse(fault: Fault): string {
  const body = formatFaultBody(fault);
  const head = [
    `HTTP/1.1 ${faultResponses[fault.code].status} Error`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-outcome: ${getOutcome(fault)}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** Sends an error for an incomplete request, unless its response has already started. */
function handleClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
  hasResponseStarted: (socket: Socket) => boolean,
): void {
  if (!socket.writable || error.code === 'ECONNRESET' || hasResponseStarted(socket))
    socket.destroy();
  // Destroyed after the response, so that a client that keeps sending cannot hold the connection.
  else
    socket.end(formatRawResponse(createClientFault(error.code)), () => {
      socket.destroySoon();
    });
}

function sendFault(response: ServerResponse, fault: Fault): void {
  const body = formatFaultBody(fault);
  response.writeHead(faultResponses[fault.code].status, {
    connection: 'close',
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-outcome': getOutcome(fault),
  });
  response.end(body);
}

function countHeaderBytes(request: IncomingMessage): number {
  // Each name and each value is followed by a separator of two bytes.
  const lineBytes = (request.url ?? '').length;
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, lineBytes);
}

async function listen(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Starts the listener. Rejects when it cannot listen on the address. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  let isDraining = false;
  let maxHeaderBytes = initialMaxHeaderBytes;
  const sockets = new Set<Socket>();
  const openResponses = new Set<ServerResponse>();
  const server = createServer(
    {
      requestTimeout: initialReadTimeoutMs,
      headersTimeout: initialReadTimeoutMs,
      connectionsCheckingInterval: timeoutCheckMs,
      maxHeaderSize: parserHeaderBytes,
      keepAliveTimeout: keepAliveMs,
      // The application rejects a missing host header, so that the response carries an outcome.
      requireHostHeader: false,
    },
    handleRequest,
  );
  server.maxConnections = initialMaxConnections;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    handleClientError(error, socket, hasResponseStarted);
  });
  server.on('checkExpectation', (_request, response: ServerResponse) => {
    sendFault(response, createFault(FaultCode.BadRequest, 'header expect is not supported'));
  });
  const address = await listen(server, options.address);

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    openResponses.add(response);
    response.once('close', () => openResponses.delete(response));
    if (isDraining) response.setHeader('connection', 'close');
    if (countHeaderBytes(request) <= maxHeaderBytes) options.handler(request, response);
    else
      sendFault(
        response,
        createFault(FaultCode.TooLarge, `headers exceed ${maxHeaderBytes} bytes`),
      );
  }

  function hasResponseStarted(socket: Socket): boolean {
    return [...openResponses].some(
      (response) => response.socket === socket && response.headersSent,
    );
  }

  function startDraining(): void {
    isDraining = true;
    // Otherwise connections of in-flight requests would stay open after their responses.
    for (const response of openResponses) {
      if (!response.headersSent) response.setHeader('connection', 'close');
    }
  }

  /**
   * Closes connections without a completely received request. A closed listener no longer enforces
   * the read timeout itself.
   */
  function closeIncomplete(): void {
    const received = [...openResponses].filter((response) => response.req.complete);
    const active = new Set(received.map((response) => response.socket));
    for (const socket of sockets) {
      if (!active.has(socket)) socket.destroy();
    }
  }

  async function close(): Promise<void> {
    startDraining();
    const readDeadlineMs = performance.now() + server.requestTimeout;
    const timer = setInterval(() => {
      server.closeIdleConnections();
      if (performance.now() >= readDeadlineMs) closeIncomplete();
    }, closeCheckMs);
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
    clearInterval(timer);
  }

  return {
    address,
    applyLimits: (limits) => {
      server.requestTimeout = limits.readTimeoutMs;
      server.headersTimeout = limits.readTimeoutMs;
      server.maxConnections = limits.maxConnections;
      maxHeaderBytes = limits.maxHeaderBytes;
    },
    startDraining,
    close,
    closeNow: () => {
      server.close();
      server.closeAllConnections();
    },
    countOpen: () => ({ connections: sockets.size, requests: openResponses.size }),
  };
}
