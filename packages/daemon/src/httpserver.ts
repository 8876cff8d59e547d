import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { LimitsConfig } from '@bergamotreach/config';
import {
  FaultCode,
  createFault,
  faultAnswers,
  getOutcome,
  splitAddress,
} from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { formatFaultBody } from './answer.ts';

/** Limits that the listener applies. */
export type ListenerLimits = Pick<
  LimitsConfig,
  'maxHeaderBytes' | 'readTimeoutMs' | 'maxConnections'
>;

/** Handles one exchange. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** The listener for callers and operators. */
export interface HttpServer {
  /** `ip:port` in use. */
  address: string;
  applyLimits(limits: ListenerLimits): void;
  /** Asks clients to leave: from now on each answer closes its connection. */
  startDraining(): void;
  /** Takes no new connection; resolves when all connections are closed. */
  close(): Promise<void>;
  /** Closes everything at once. */
  closeNow(): void;
  /** Open connections, and requests that have no whole answer yet. */
  countOpen(): { connections: number; requests: number };
}

/** Options of the listener. */
export interface HttpServerOptions {
  /** `ip:port`; port 0 chooses a free one. */
  address: string;
  handler: RequestHandler;
}

const initialReadTimeoutMs = 10_000;
const timeoutCheckMs = 500;
const initialMaxHeaderBytes = 16_384;
// The parser's limit is fixed when the listener opens, so it bounds what the configuration allows.
// Headers arrive before authentication: 1024 connections may hold this much each.
const parserHeaderBytes = 65_536;
const keepAliveMs = 15_000;
// A process of 64 MB must not accept more sockets than it can serve.
const initialMaxConnections = 1024;
const closeCheckMs = 100;

function createClientFault(code: string | undefined): Fault {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
    return createFault(FaultCode.ReadTimeout, 'request was not received in time');
  }
  if (code === 'HPE_HEADER_OVERFLOW') {
    return createFault(FaultCode.TooLarge, `headers exceed ${parserHeaderBytes} bytes`);
  }
  return createFault(FaultCode.BadRequest, 'request is not valid HTTP');
}

function formatRawAnswer(fault: Fault): string {
  const body = formatFaultBody(fault);
  const head = [
    `HTTP/1.1 ${faultAnswers[fault.code].status} Error`,
    'connection: close',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-outcome: ${getOutcome(fault)}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

/** Answers a request that is not complete; never writes into an answer that has begun. */
function answerClientError(
  error: NodeJS.ErrnoException,
  socket: Socket,
  hasBegun: (socket: Socket) => boolean,
): void {
  if (!socket.writable || error.code === 'ECONNRESET' || hasBegun(socket)) socket.destroy();
  // Destroyed once sent, so that a client that goes on sending holds no connection.
  else
    socket.end(formatRawAnswer(createClientFault(error.code)), () => {
      socket.destroySoon();
    });
}

function answerFault(response: ServerResponse, fault: Fault): void {
  const body = formatFaultBody(fault);
  response.writeHead(faultAnswers[fault.code].status, {
    connection: 'close',
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-outcome': getOutcome(fault),
  });
  response.end(body);
}

function countHeaderBytes(request: IncomingMessage): number {
  // Each name and each value is followed by two bytes of separator.
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

/** Starts to listen. Rejects when the address cannot be used. */
export async function startHttpServer(options: HttpServerOptions): Promise<HttpServer> {
  let isDraining = false;
  let maxHeaderBytes = initialMaxHeaderBytes;
  const sockets = new Set<Socket>();
  const open = new Set<ServerResponse>();
  const server = createServer(
    {
      requestTimeout: initialReadTimeoutMs,
      headersTimeout: initialReadTimeoutMs,
      connectionsCheckingInterval: timeoutCheckMs,
      maxHeaderSize: parserHeaderBytes,
      keepAliveTimeout: keepAliveMs,
      // The application answers a missing host header, with an outcome.
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
    answerClientError(error, socket, hasBegun);
  });
  server.on('checkExpectation', (_request, response: ServerResponse) => {
    answerFault(response, createFault(FaultCode.BadRequest, 'header expect is not supported'));
  });
  const address = await listen(server, options.address);

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    open.add(response);
    response.once('close', () => open.delete(response));
    if (isDraining) response.setHeader('connection', 'close');
    if (countHeaderBytes(request) <= maxHeaderBytes) options.handler(request, response);
    else
      answerFault(
        response,
        createFault(FaultCode.TooLarge, `headers exceed ${maxHeaderBytes} bytes`),
      );
  }

  function hasBegun(socket: Socket): boolean {
    return [...open].some((response) => response.socket === socket && response.headersSent);
  }

  function startDraining(): void {
    isDraining = true;
    // Otherwise the connections of requests in progress stay open after their answers.
    for (const response of open) {
      if (!response.headersSent) response.setHeader('connection', 'close');
    }
  }

  /** Closes connections whose request has not arrived whole; the listener has stopped doing so. */
  function closeUnread(): void {
    const whole = [...open].filter((response) => response.req.complete);
    const busy = new Set(whole.map((response) => response.socket));
    for (const socket of sockets) {
      if (!busy.has(socket)) socket.destroy();
    }
  }

  async function close(): Promise<void> {
    startDraining();
    const unreadAtMs = performance.now() + server.requestTimeout;
    const timer = setInterval(() => {
      server.closeIdleConnections();
      if (performance.now() >= unreadAtMs) closeUnread();
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
    countOpen: () => ({ connections: sockets.size, requests: open.size }),
  };
}
