import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { LimitsConfig } from '@bergamotreach/config';
import { createConnectionGuard, createTurnLimit, readInSlices } from '@bergamotreach/hosting';
import type { MemoryBudget, TurnLimit } from '@bergamotreach/hosting';
import {
  FaultCode,
  createFault,
  createSystemClock,
  faultResponses,
  getOutcome,
  splitAddress,
} from '@bergamotreach/protocol';
import type { Fault, Logger, Metrics } from '@bergamotreach/protocol';
import {
  computeHeadBytes,
  computeHeldBytes,
  createHeadFilter,
  createParserLoad,
} from './requesthead.ts';
import type { ParserLoad } from './requesthead.ts';
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
  /** Makes clients leave: from now on, every response closes its connection. */
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
  /** Name of the listener in logs and metrics. */
  name: string;
  handler: RequestHandler;
  /** Names of the header lines that the handler reads; others are dropped once their size has been checked. */
  usedHeaders: readonly string[];
  /** Memory that the clients of all listeners may make the process hold. */
  budget: MemoryBudget;
  logger: Logger;
  metrics: Metrics;
  /** Connections before `applyLimits` is called for the first time. */
  maxConnections?: number;
  /** Requests that one connection may send ahead of the answers that it has read. */
  maxAhead?: number;
}

const initialReadTimeoutMs = 10_000;
const timeoutCheckMs = 500;
const initialMaxHeaderBytes = 16_384;
// Fixed when the listener opens, so it is an upper bound for the configured limit. Headers arrive
// before authentication: each of 1024 connections can hold this much.
const parserHeaderBytes = 65_536;
const keepAliveMs = 15_000;
// Applies until the first configuration; a 64 MB process must not accept more sockets than it can
// serve.
const initialMaxConnections = 1024;
const closeCheckMs = 100;
/** Clients wait for an answer before they send the next request, or send a few ahead. */
const defaultMaxAhead = 128;
/** Part of the received bytes that is parsed at once. */
const sliceBytes = 4096;
/** Bytes of all connections that are parsed in one turn of the event loop. */
const turnBytes = 262_144;
/** Connections that wait for the guard's decision while others are being closed. */
const connectionMargin = 64;

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

/** How the bytes of a connection reach the HTTP parser. */
interface ParseOptions {
  load: ParserLoad;
  turnLimit: TurnLimit;
  /** Called after each slice. */
  onSlice: () => void;
}

/**
 * Hands what a connection receives to the HTTP parser in small slices. Node.js parses up to 64 KiB at once
 * otherwise: over a thousand requests sent ahead, each with its objects, before the first one can be refused. The
 * parser must not be called while answers wait to be read: Node.js pauses the connection then.
 */
function parseInSlices(socket: Socket, { load, turnLimit, onSlice }: ParseOptions): void {
  const parsers = socket.listeners('data') as ((chunk: Buffer) => void)[];
  const [parse] = parsers;
  if (parse === undefined || parsers.length > 1) return;
  socket.removeListener('data', parse);
  readInSlices(socket, {
    ...{ turnLimit, sliceBytes },
    handleSlice(slice) {
      load.addBytes(slice);
      parse(slice);
      onSlice();
    },
  });
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
  // Node.js drops the lines beyond 1,000 without a word otherwise. Their number is bounded by their bytes.
  server.maxHeadersCount = 0;
  const filterHead = createHeadFilter(options.usedHeaders);
  const turnLimit = createTurnLimit(turnBytes);
  const parserLoads = new WeakMap<Socket, ParserLoad>();
  const maxConnections = options.maxConnections ?? initialMaxConnections;
  const guard = createConnectionGuard({
    listener: options.name,
    budget: options.budget,
    maxConnections,
    maxAhead: options.maxAhead ?? defaultMaxAhead,
    clock: createSystemClock(),
    logger: options.logger,
    metrics: options.metrics,
  });
  server.maxConnections = maxConnections + connectionMargin;
  server.on('connection', (socket) => {
    if (!guard.accept(socket)) return;
    const load = createParserLoad(parserHeaderBytes);
    parserLoads.set(socket, load);
    parseInSlices(socket, {
      ...{ load, turnLimit },
      onSlice: () => {
        guard.setPartial(socket, load.getHeldBytes());
      },
    });
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closeWaiting(socket);
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    handleClientError(error, socket, hasResponseStarted);
  });
  server.on('checkExpectation', (_request, response: ServerResponse) => {
    sendFault(response, createFault(FaultCode.BadRequest, 'header expect is not supported'));
  });
  const address = await listen(server, options.address);

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const headBytes = computeHeadBytes(request);
    parserLoads.get(request.socket)?.startRequest(request);
    filterHead(request);
    const heldBytes = computeHeldBytes(request);
    // The rest of what a closed connection has sent is still parsed.
    if (!guard.startRequest(request.socket, heldBytes)) return;
    openResponses.add(response);
    response.once('close', () => {
      openResponses.delete(response);
      guard.endRequest(request.socket, heldBytes);
    });
    if (isDraining) response.setHeader('connection', 'close');
    if (headBytes <= maxHeaderBytes) options.handler(request, response);
    else
      sendFault(
        response,
        createFault(FaultCode.TooLarge, `headers exceed ${maxHeaderBytes} bytes`),
      );
  }

  /** Ends the requests whose answers were not due yet. Node.js ends only the one whose answer was. */
  function closeWaiting(socket: Socket): void {
    for (const response of openResponses) {
      if (response.req.socket !== socket || response.socket === socket) continue;
      response.destroy();
      response.emit('close');
    }
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
    guard.close();
  }

  return {
    address,
    applyLimits: (limits) => {
      server.requestTimeout = limits.readTimeoutMs;
      server.headersTimeout = limits.readTimeoutMs;
      server.maxConnections = limits.maxConnections + connectionMargin;
      guard.setMaxConnections(limits.maxConnections);
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
