import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Faults that an endpoint of the stand-in can simulate. */
export enum EndpointFault {
  None = 'none',
  /** Accepts requests and never responds. */
  Stall = 'stall',
  /** Responds with 500 to every request. */
  Error = 'error',
  /** Executes the request, then resets the connection. */
  ResetAfter = 'resetAfter',
  /** Resets the connection before executing the request. */
  ResetBefore = 'resetBefore',
  /** Executes the request, sends half of the body, then closes the connection. */
  Truncate = 'truncate',
  /** Responds with 503, `connection: close` and `x-outcome: not_run`, as a leaving endpoint. */
  Leaving = 'leaving',
}

/** Counters of an endpoint, read by tests, the demo and benchmarks. */
export interface EndpointStats {
  id: string;
  /** Number of executions by request id. */
  runs: Record<string, number>;
  completed: number;
  inProgress: number;
  /** Largest number of requests in progress at once. */
  peakInProgress: number;
  /** Largest number of connections open at once. */
  peakConnections: number;
}

/** An endpoint of the stand-in on its own port. */
export interface StandinEndpoint {
  address: string;
  getStats(): EndpointStats;
  setFault(fault: EndpointFault): void;
  /** Closes the listener and every connection immediately, as when the process is killed. */
  kill(): Promise<void>;
}

/** Options of an endpoint. */
export interface EndpointOptions {
  id: string;
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Execution time of a request without an `x-work-ms` header, in milliseconds. */
  workMs: number;
}

const maxRequestBytes = 4 * 1024 * 1024;

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maxRequestBytes) throw new Error('request body is too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function getHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function sendTruncated(response: ServerResponse, body: string): void {
  response.writeHead(200, { 'content-length': String(Buffer.byteLength(body)) });
  response.write(body.slice(0, body.length / 2), () => {
    response.destroy();
  });
}

/**
 * Starts an endpoint that responds to each request with a JSON object: the request's id, the
 * endpoint's id and the length of the request body in bytes.
 */
export async function startEndpoint(options: EndpointOptions): Promise<StandinEndpoint> {
  let fault = EndpointFault.None;
  let openConnections = 0;
  const stats: EndpointStats = {
    id: options.id,
    runs: {},
    completed: 0,
    inProgress: 0,
    peakInProgress: 0,
    peakConnections: 0,
  };

  async function runWork(request: IncomingMessage, body: Buffer): Promise<string> {
    const requestId = getHeader(request, 'x-request-id');
    const workMs = Number(getHeader(request, 'x-work-ms') || options.workMs);
    if (requestId !== '') stats.runs[requestId] = (stats.runs[requestId] ?? 0) + 1;
    if (workMs > 0) await sleep(workMs);
    return JSON.stringify({ requestId, endpoint: options.id, bodyBytes: body.length });
  }

  async function answerRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    if (fault === EndpointFault.ResetBefore) {
      request.socket.resetAndDestroy();
      return;
    }
    if (fault === EndpointFault.Stall) return;
    if (fault === EndpointFault.Leaving) {
      response.writeHead(503, { connection: 'close', 'x-outcome': 'not_run' }).end();
      return;
    }
    if (fault === EndpointFault.Error) {
      response.writeHead(500).end('failed');
      return;
    }
    const answer = await runWork(request, body);
    if (fault === EndpointFault.ResetAfter) {
      request.socket.resetAndDestroy();
      return;
    }
    if (fault === EndpointFault.Truncate) {
      sendTruncated(response, answer);
      return;
    }
    const headers = {
      'content-type': 'application/json',
      'x-request-id': getHeader(request, 'x-request-id'),
    };
    response.writeHead(200, headers).end(answer);
    stats.completed += 1;
  }

  function handleRequest(request: IncomingMessage, response: ServerResponse): void {
    stats.inProgress += 1;
    stats.peakInProgress = Math.max(stats.peakInProgress, stats.inProgress);
    response.once('close', () => {
      stats.inProgress -= 1;
    });
    answerRequest(request, response).catch(() => {
      response.destroy();
    });
  }

  const server = createServer(handleRequest);
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    openConnections += 1;
    stats.peakConnections = Math.max(stats.peakConnections, openConnections);
    socket.once('close', () => {
      openConnections -= 1;
    });
  });
  const address = await listen(server, options.host, options.port);
  return {
    address,
    getStats: () => stats,
    setFault: (value) => {
      fault = value;
    },
    kill: async () => closeServer(server),
  };
}

/** Binds a server and returns its address as `ip:port`. */
export async function listen(server: Server, host: string, port: number): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address() as AddressInfo;
  return `${host}:${address.port}`;
}

/** Closes a server and all its connections. */
export async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
