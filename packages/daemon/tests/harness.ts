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

/** Default processing time of a request at an endpoint, in milliseconds. */
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

export interface TestResponse {
  status: number;
  outcome: string;
  headers: Record<string, unknown>;
  text: string;
  /** Error in the body; its fields are empty without one. */
  error: { code: string; path: unknown[]; message: string };
}

/** A daemon in this process, with a stand-in platform. */
export interface Harness {
  platform: StandinPlatform;
  daemon: Daemon;
  url: string;
  /** Log lines of the daemon. */
  lines: string[];
  call(method: string, path: string, options?: CallOptions): Promise<TestResponse>;
  /**
   * Sends raw bytes over a new connection; resolves with everything received when it closes. `next`
   * can write more once connected.
   */
  sendRaw(text: string, next?: (write: (text: string) => boolean) => void): Promise<string>;
  stop(): Promise<void>;
}

export interface CallOptions {
  token?: string | undefined;
  headers?: Record<string, string>;
  body?: string | Buffer | AsyncIterable<Buffer>;
}

export interface HarnessOptions {
  limits?: Record<string, number>;
  /** Whether to apply a configuration; default true. */
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

function parseError(text: string): TestResponse['error'] {
  try {
    return (JSON.parse(text) as { error: TestResponse['error'] }).error;
  } catch {
    return { code: '', path: [], message: '' };
  }
}

export async function callUrl(
  url: string,
  method: string,
  options: CallOptions,
): Promise<TestResponse> {
  const { token, body = null } = options;
  const authorization = token === undefined ? {} : { authorization: `Bearer ${token}` };
  const headers = { ...authorization, ...options.headers };
  const response = await request(url, {
    method: method as 'GET',
    headers,
    body: body as string | null,
  });
  const text = await response.body.text();
  const outcome = String(response.headers['x-outcome'] ?? '');
  return {
    status: response.statusCode,
    outcome,
    headers: response.headers,
    text,
    error: parseError(text),
  };
}

/** Polls until `check` holds. It has no timeout of its own: that of the test runner applies. */
export async function waitUntil(check: () => boolean | Promise<boolean>): Promise<void> {
  while (!(await check())) await new Promise((resolve) => setTimeout(resolve, 10));
}

/** Starts a stand-in platform and a daemon in this process. */
export async function startHarness(options: HarnessOptions = {}): Promise<Harness> {
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

  const harness: Harness = {
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
  if (options.hasConfig !== false) await applyConfig(harness, options.limits ?? {});
  return harness;
}

async function applyConfig(harness: Harness, limits: Record<string, number>): Promise<void> {
  const change = { baseRevision: 0, put: createConfig(limits), remove: [], operationId: 'first' };
  const body = JSON.stringify(change);
  const response = await harness.call('POST', '/v1/config', { token: tokens.operator, body });
  if (response.status !== 200) throw new Error(response.text);
  await waitUntil(async () => (await harness.call('GET', '/v1/health')).status === 200);
}

/** Runs a test with a new harness and stops it afterwards. */
export async function runWithHarness(
  options: HarnessOptions,
  run: (harness: Harness) => Promise<void>,
): Promise<void> {
  const harness = await startHarness(options);
  try {
    await run(harness);
  } finally {
    await harness.stop();
  }
}

export const requestPath = '/v1/services/plan/requests';

/** Sends an idempotent request from account `anna`, unless `options` say otherwise. */
export async function sendRequest(
  harness: Harness,
  options: CallOptions = {},
): Promise<TestResponse> {
  const headers = { 'x-idempotent': 'true', 'x-request-id': 'r1', ...options.headers };
  return harness.call('POST', requestPath, {
    token: tokens.anna,
    body: 'hello',
    ...options,
    headers,
  });
}

interface OwnerDump {
  owner: { session: { isRecovered?: boolean; waitingEvents?: number } };
}

/** Waits until the daemon owns its region and its scheduler has loaded accounts and workers. */
export async function waitForOwner(harness: Harness): Promise<void> {
  await waitUntil(() => {
    const { isRecovered, waitingEvents } = (harness.daemon.getDump() as OwnerDump).owner.session;
    return isRecovered === true && waitingEvents === 0;
  });
}

/** Submits a job with the token of an account. */
export async function submitJob(
  harness: Harness,
  job: object,
  token = tokens.anna,
): Promise<TestResponse> {
  return harness.call('POST', '/v1/jobs', { token, body: JSON.stringify(job) });
}

/** Gets the bytes of request bodies that the daemon holds in memory. */
export function getBodyBytes(harness: Harness): number {
  return (harness.daemon.getDump() as { bodyBytes: number }).bodyBytes;
}
