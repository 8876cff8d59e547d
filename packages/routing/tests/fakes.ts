import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo, Server as TcpServer, Socket } from 'node:net';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { ClaimStatus } from '@bergamotreach/ownership';
import type { ClaimKey, ClaimReply, Claims, StoredOutcome } from '@bergamotreach/ownership';
import type { Member, Membership } from '@bergamotreach/membership';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import {
  createFault,
  createNullLogger,
  createNullMetrics,
  createSystemClock,
  FaultCode,
  MemberState,
} from '@bergamotreach/protocol';
import type { Clock, Fault } from '@bergamotreach/protocol';
import { createRouter, createRoutingConfig } from '../src/index.ts';
import type { CallerRequest, Router, RoutingConfig } from '../src/index.ts';

export function createMember(id: string, dataCentre = 'dc1', region = 'r1'): Member {
  return {
    id,
    region,
    dataCentre,
    peerAddress: '127.0.0.1:1',
    state: MemberState.Live,
    isHeard: true,
    isTwoWay: true,
    isGone: false,
  };
}

/** Membership of a daemon without peers. */
export function createSingleMembership(selfId = 'self'): Membership {
  return {
    getView: () => ({ selfId, version: 1, members: [createMember(selfId)] }),
    addViewListener: () => () => undefined,
    send: () => false,
    sendAll: () => undefined,
    addHandler: () => undefined,
  };
}

export interface FakeClaims extends Claims {
  rows: Map<string, { digest: string; outcome?: StoredOutcome }>;
  setUnavailable(isDown: boolean): void;
}

/** In-memory claims that can simulate an outage of the store. */
export function createFakeClaims(): FakeClaims {
  const rows: FakeClaims['rows'] = new Map();
  let isUnavailable = false;
  const getId = (key: ClaimKey): string => `${key.account}/${key.requestId}`;
  const createUnavailableFault = (): Result<never, Fault> =>
    Err(createFault(FaultCode.StoreUnavailable, 'store is away', { retryAfterMs: 1000 }));

  function claim(key: ClaimKey): Result<ClaimReply, Fault> {
    if (isUnavailable) return createUnavailableFault();
    const row = rows.get(getId(key));
    if (row === undefined) {
      rows.set(getId(key), { digest: key.digest });
      return Ok({ status: ClaimStatus.Acquired });
    }
    if (row.digest !== key.digest) return Ok({ status: ClaimStatus.Mismatch });
    if (row.outcome === undefined) return Ok({ status: ClaimStatus.Unknown });
    return Ok({ status: ClaimStatus.Stored, outcome: row.outcome });
  }

  return {
    rows,
    setUnavailable: (next) => {
      isUnavailable = next;
    },
    claim: (key) => Promise.resolve(claim(key)),
    storeOutcome: (key, outcome) => {
      if (isUnavailable) return Promise.resolve(createUnavailableFault());
      rows.set(getId(key), { digest: key.digest, outcome });
      return Promise.resolve(Ok(undefined));
    },
    releaseClaim: (key) => {
      if (isUnavailable) return Promise.resolve(createUnavailableFault());
      rows.delete(getId(key));
      return Promise.resolve(Ok(undefined));
    },
  };
}

export interface FakeEndpoint {
  instance: Instance;
  /** Request ids in order of arrival. */
  receivedIds: string[];
  close(): Promise<void>;
}

export function createInstance(id: string, address: string, slots: number): Instance {
  return {
    id,
    kind: InstanceKind.Endpoint,
    address,
    region: 'r1',
    dataCentre: 'dc1',
    rack: 'rack1',
    service: 'svc',
    state: InstanceState.Live,
    capacity: { accelerators: 0, cores: 0, memoryMb: 0, slots, connections: 60 },
  };
}

function getAddress(server: Server | TcpServer): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

export type HttpRequestHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts an HTTP endpoint on a free port; `handleRequest` runs after the request is read. */
export async function startHttpEndpoint(
  id: string,
  handleRequest: HttpRequestHandler,
  slots = 8,
): Promise<FakeEndpoint> {
  const receivedIds: string[] = [];
  const server = createServer((request, response) => {
    receivedIds.push(String(request.headers['x-request-id']));
    request.resume();
    request.on('end', () => {
      handleRequest(request, response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = async (): Promise<void> => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  };
  return {
    instance: createInstance(id, getAddress(server), slots),
    receivedIds: receivedIds,
    close,
  };
}

export type RawRequestHandler = (socket: Socket, requestId: string, count: number) => void;

/** Starts an endpoint that answers with raw bytes; `handleRequest` runs for each request head. */
export async function startRawEndpoint(
  id: string,
  handleRequest: RawRequestHandler,
  slots = 8,
): Promise<FakeEndpoint> {
  const receivedIds: string[] = [];
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const requestId = /x-request-id: (.*)\r\n/u.exec(data.toString('latin1'))?.[1];
      if (requestId === undefined) return;
      receivedIds.push(requestId);
      handleRequest(socket, requestId, receivedIds.length);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  };
  return {
    instance: createInstance(id, getAddress(server), slots),
    receivedIds: receivedIds,
    close,
  };
}

/** Formats an HTTP answer with a body. */
export function formatAnswer(body: string, headers: Record<string, string> = {}): string {
  const all = { 'content-length': String(body.length), ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 200 OK\r\n${lines.join('')}\r\n${body}`;
}

let nextId = 0;

export function createRequest(parts: Partial<CallerRequest> = {}): CallerRequest {
  nextId += 1;
  return {
    account: 'acme',
    requestId: `request-${nextId}`,
    service: 'svc',
    method: 'POST',
    path: '/work',
    contentType: 'text/plain',
    body: Buffer.from('hello'),
    deadlineMs: 2000,
    isIdempotent: true,
    ...parts,
  };
}

export interface TestRouter {
  router: Router;
  claims: FakeClaims;
}

/** Creates a router with the given endpoints. */
export function createTestRouter(
  endpoints: readonly FakeEndpoint[],
  config: RoutingConfig = createRoutingConfig(),
  clock: Clock = createSystemClock(),
): TestRouter {
  const claims = createFakeClaims();
  const router = createRouter({
    clock,
    logger: createNullLogger(),
    metrics: createNullMetrics(),
    membership: createSingleMembership(),
    claims,
    selfId: 'self',
    region: 'r1',
    dataCentre: 'dc1',
  });
  router.applyConfig(config);
  router.applyInstances(endpoints.map((endpoint) => endpoint.instance));
  return { router, claims };
}
