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

/** Membership without peers. */
export function createLonelyMembership(selfId = 'self'): Membership {
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
  setDown(isDown: boolean): void;
}

/** Claims in memory, with a switch for an outage. */
export function createFakeClaims(): FakeClaims {
  const rows: FakeClaims['rows'] = new Map();
  let isDown = false;
  const getId = (key: ClaimKey): string => `${key.account}/${key.requestId}`;
  const createDownFault = (): Result<never, Fault> =>
    Err(createFault(FaultCode.StoreUnavailable, 'store is away', { retryAfterMs: 1000 }));

  function claim(key: ClaimKey): Result<ClaimReply, Fault> {
    if (isDown) return createDownFault();
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
    setDown: (next) => {
      isDown = next;
    },
    claim: (key) => Promise.resolve(claim(key)),
    storeOutcome: (key, outcome) => {
      if (isDown) return Promise.resolve(createDownFault());
      rows.set(getId(key), { digest: key.digest, outcome });
      return Promise.resolve(Ok(undefined));
    },
    releaseClaim: (key) => {
      if (isDown) return Promise.resolve(createDownFault());
      rows.delete(getId(key));
      return Promise.resolve(Ok(undefined));
    },
  };
}

export interface FakeEndpoint {
  instance: Instance;
  /** Request ids in order of arrival. */
  seen: string[];
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

export type HttpBehaviour = (request: IncomingMessage, response: ServerResponse) => void;

/** Starts an HTTP endpoint on a free port; `behave` answers once the request has been read. */
export async function startHttpEndpoint(
  id: string,
  behave: HttpBehaviour,
  slots = 8,
): Promise<FakeEndpoint> {
  const seen: string[] = [];
  const server = createServer((request, response) => {
    seen.push(String(request.headers['x-request-id']));
    request.resume();
    request.on('end', () => {
      behave(request, response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = async (): Promise<void> => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  };
  return { instance: createInstance(id, getAddress(server), slots), seen, close };
}

export type RawBehaviour = (socket: Socket, requestId: string, count: number) => void;

/** Starts an endpoint that answers with raw bytes; `behave` runs for each request head. */
export async function startRawEndpoint(
  id: string,
  behave: RawBehaviour,
  slots = 8,
): Promise<FakeEndpoint> {
  const seen: string[] = [];
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const requestId = /x-request-id: (.*)\r\n/u.exec(data.toString('latin1'))?.[1];
      if (requestId === undefined) return;
      seen.push(requestId);
      behave(socket, requestId, seen.length);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const close = async (): Promise<void> => {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  };
  return { instance: createInstance(id, getAddress(server), slots), seen, close };
}

/** Bytes of an answer with a body. */
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

/** Router over the given endpoints. */
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
    membership: createLonelyMembership(),
    claims,
    selfId: 'self',
    region: 'r1',
    dataCentre: 'dc1',
  });
  router.applyConfig(config);
  router.applyInstances(endpoints.map((endpoint) => endpoint.instance));
  return { router, claims };
}
