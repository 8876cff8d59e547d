import { createHash } from 'node:crypto';
import { connect } from 'node:net';
import {
  createLogger,
  createNullMetrics,
  createSystemClock,
  LogLevel,
} from '@bergamotreach/protocol';
import type { Metrics } from '@bergamotreach/protocol';
import { startPlatform } from '@bergamotreach/standin';
import type { PlatformLayout, StandinPlatform } from '@bergamotreach/standin';
import { request } from 'undici';
import { startDaemon } from '../src/daemon.ts';
import type { Daemon } from '../src/daemon.ts';
import { openPlatformClients } from '../src/platformclients.ts';
import type { DaemonSettings } from '../src/settings.ts';

export const tokens = {
  operator: 'op-token-secret',
  anna: 'anna-token-secret',
  bert: 'bert-token-secret',
};
export const peerSecret = 'peer-secret-0123456789';

/** Work that an endpoint of these tests does for a request, in milliseconds. */
const workMs = 0;

const layout: PlatformLayout = {
  name: 'test',
  service: 'plan',
  regions: [{ region: 'noord', dataCentres: ['noord-1'] }],
  workersPerDataCentre: 2,
  workersPerRack: 8,
  worker: { accelerators: 8, cores: 32, memoryMb: 65_536 },
  endpointsPerDataCentre: 1,
  endpoint: { slots: 4, connections: 8, workMs },
};

export interface Answer {
  status: number;
  outcome: string;
  headers: Record<string, unknown>;
  text: string;
  /** Error of the body; empty when it holds none. */
  error: { code: string; path: unknown[]; message: string };
}

export interface World {
  platform: StandinPlatform;
  daemon: Daemon;
  url: string;
  lines: string[];
  call(method: string, path: string, options?: CallOptions): Promise<Answer>;
  /** Sends bytes as they are; resolves with everything received when the connection closes. */
  sendRaw(text: string, next?: (write: (text: string) => boolean) => void): Promise<string>;
  stop(): Promise<void>;
}

export interface CallOptions {
  token?: string | undefined;
  headers?: Record<string, string>;
  body?: string | Buffer | AsyncIterable<Buffer>;
}

export interface WorldOptions {
  limits?: Record<string, number>;
  /** False leaves the daemon without a configuration. */
  hasConfig?: boolean;
  workMs?: number;
  metrics?: Metrics;
}

function computeTokenHash(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function createConfig(limits: Record<string, number>): Record<string, string> {
  const createAccount = (token: string) => ({
    quotaAccelerators: 8,
    tokenHashes: [computeTokenHash(token)],
  });
  const config = {
    accounts: { anna: createAccount(tokens.anna), bert: createAccount(tokens.bert) },
    services: { plan: {} },
    dataCentres: { 'noord-1': { region: 'noord', racks: { r0: { workers: 2 } } } },
    limits: { maxBodyBytes: 1000, ...limits },
  };
  return { 'all.json': JSON.stringify(config) };
}

function createSettings(platform: StandinPlatform): DaemonSettings {
  return {
    id: 'noord-d0',
    region: 'noord',
    dataCentre: 'noord-1',
    httpAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    platformUrl: `http://${platform.address}`,
    seeds: [],
    peerSecret,
    operatorTokenHash: computeTokenHash(tokens.operator),
    logLevel: LogLevel.Debug,
  };
}

function parseError(text: string): Answer['error'] {
  try {
    return (JSON.parse(text) as { error: Answer['error'] }).error;
  } catch {
    return { code: '', path: [], message: '' };
  }
}

export async function callUrl(url: string, method: string, options: CallOptions): Promise<Answer> {
  const { token, body = null } = options;
  const authorization = token === undefined ? {} : { authorization: `Bearer ${token}` };
  const headers = { ...authorization, ...options.headers };
  const answer = await request(url, {
    method: method as 'GET',
    headers,
    body: body as string | null,
  });
  const text = await answer.body.text();
  const outcome = String(answer.headers['x-outcome'] ?? '');
  return {
    status: answer.statusCode,
    outcome,
    headers: answer.headers,
    text,
    error: parseError(text),
  };
}

/** Waits for a state; the test runner's own limit ends a wait for one that never comes. */
export async function waitUntil(check: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await check())) await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Starts a stand-in platform with one daemon in this process. */
export async function startWorld(options: WorldOptions = {}): Promise<World> {
  const clock = createSystemClock();
  const endpoint = { ...layout.endpoint, workMs: options.workMs ?? workMs };
  const platform = await startPlatform({
    layout: { ...layout, endpoint },
    clock,
    host: '127.0.0.1',
    port: 0,
    seed: 1,
  });
  const lines: string[] = [];
  const write = (line: string): void => void lines.push(line);
  const settings = createSettings(platform);
  const daemon = await startDaemon({
    settings,
    clock,
    logger: createLogger({ name: settings.id, level: settings.logLevel, write }),
    metrics: options.metrics ?? createNullMetrics(),
    clients: openPlatformClients(settings.platformUrl),
  });
  const url = `http://${daemon.httpAddress}`;
  const port = Number(daemon.httpAddress.split(':')[1]);

  const world: World = {
    platform,
    daemon,
    url,
    lines,
    call: async (method, path, extras = {}) => callUrl(`${url}${path}`, method, extras),
    sendRaw: (text, next) =>
      new Promise((resolve) => {
        let received = '';
        const socket = connect(port, '127.0.0.1', () => {
          socket.write(text);
          next?.((more) => !socket.destroyed && socket.write(more));
        });
        socket.on('data', (chunk: Buffer) => (received += chunk.toString()));
        socket.on('error', () => undefined);
        socket.on('close', () => {
          resolve(received);
        });
      }),
    stop: async () => {
      daemon.stop();
      await platform.close();
    },
  };
  if (options.hasConfig !== false) await applyConfig(world, options.limits ?? {});
  return world;
}

async function applyConfig(world: World, limits: Record<string, number>): Promise<void> {
  const change = { baseRevision: 0, put: createConfig(limits), remove: [], operationId: 'first' };
  const body = JSON.stringify(change);
  const answer = await world.call('POST', '/v1/config', { token: tokens.operator, body });
  if (answer.status !== 200) throw new Error(answer.text);
  await waitUntil(async () => (await world.call('GET', '/v1/health')).status === 200);
}

/** Runs a test on a world that is stopped afterwards. */
export async function runInWorld(
  options: WorldOptions,
  run: (world: World) => Promise<void>,
): Promise<void> {
  const world = await startWorld(options);
  try {
    await run(world);
  } finally {
    await world.stop();
  }
}

export const requestPath = '/v1/services/plan/requests';

/** Sends an idempotent request of anna. */
export async function sendPlan(world: World, options: CallOptions = {}): Promise<Answer> {
  const headers = { 'x-idempotent': 'true', 'x-request-id': 'r1', ...options.headers };
  return world.call('POST', requestPath, {
    token: tokens.anna,
    body: 'hello',
    ...options,
    headers,
  });
}

interface OwnerDump {
  owner: { session: { isRecovered?: boolean; waitingEvents?: number } };
}

/** Waits until the daemon owns its region and its scheduler knows accounts and workers. */
export async function waitOwner(world: World): Promise<void> {
  await waitUntil(() => {
    const { isRecovered, waitingEvents } = (world.daemon.getDump() as OwnerDump).owner.session;
    return isRecovered === true && waitingEvents === 0;
  });
}

/** Submits a job of an account. */
export async function submitJob(world: World, job: object, token = tokens.anna): Promise<Answer> {
  return world.call('POST', '/v1/jobs', { token, body: JSON.stringify(job) });
}

/** Bytes of request bodies that the daemon holds. */
export function getBodyBytes(world: World): number {
  return (world.daemon.getDump() as { bodyBytes: number }).bodyBytes;
}
