import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import type { Instance } from '@bergamotreach/hosting';
import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Clock } from '@bergamotreach/protocol';
import { closeServer, listen, startEndpoint } from './endpoint.ts';
import type { StandinEndpoint, EndpointFault } from './endpoint.ts';
import { createFaultSwitches, createRandom } from './faults.ts';
import type { FaultSwitches } from './faults.ts';
import { createInstanceRegistry } from './instances.ts';
import type { InstanceRegistry } from './instances.ts';
import type { PlatformLayout } from './layout.ts';
import { createPlatformApp } from './app.ts';
import { createMemoryStore } from './store.ts';
import type { MemoryStore } from './store.ts';
import { createStoreStats } from './storestats.ts';
import type { StoreStats } from './storestats.ts';
import { createWorkerAgent } from './workeragent.ts';
import type { WorkerAgent } from './workeragent.ts';

/** Components of a running stand-in, shared by its HTTP handlers. */
export interface PlatformParts {
  clock: Clock;
  store: MemoryStore;
  objects: Map<string, string>;
  faults: FaultSwitches;
  random: () => number;
  registry: InstanceRegistry;
  agents: Map<string, WorkerAgent>;
  /** Ids of workers that calls do not reach. */
  unreachableWorkers: Set<string>;
  endpoints: Map<string, StandinEndpoint>;
  stats: StoreStats;
}

/**
 * A running stand-in for the platform: table, object store, instance list, worker agents and
 * endpoints in one process.
 */
export interface StandinPlatform extends PlatformParts {
  /** `ip:port` that serves the table, the object store, the instance list and the agents. */
  address: string;
  /** Stops the agents, the endpoints and the server. */
  close(): Promise<void>;
}

/** Options of a stand-in. */
export interface PlatformOptions {
  layout: PlatformLayout;
  clock: Clock;
  host: string;
  /** 0 selects a free port. */
  port: number;
  /** Seed of the random faults. */
  seed: number;
}

const noCapacity = { accelerators: 0, cores: 0, memoryMb: 0, slots: 0, connections: 0 };

function listDataCentres(layout: PlatformLayout): { region: string; dataCentre: string }[] {
  return layout.regions.flatMap((entry) =>
    entry.dataCentres.map((dataCentre) => ({ region: entry.region, dataCentre })),
  );
}

function addWorkers(parts: PlatformParts, layout: PlatformLayout, address: string): void {
  for (const { region, dataCentre } of listDataCentres(layout)) {
    for (let index = 0; index < layout.workersPerDataCentre; index += 1) {
      const id = `${dataCentre}-w${index}`;
      parts.agents.set(id, createWorkerAgent(layout.worker, parts.clock));
      parts.registry.putInstance({
        id,
        kind: InstanceKind.Worker,
        address,
        region,
        dataCentre,
        rack: `${dataCentre}-r${Math.floor(index / layout.workersPerRack)}`,
        service: '',
        state: InstanceState.Live,
        capacity: { ...noCapacity, ...layout.worker },
      });
    }
  }
}

async function addEndpoints(
  parts: PlatformParts,
  layout: PlatformLayout,
  host: string,
): Promise<void> {
  const { slots, connections, workMs } = layout.endpoint;
  for (const { region, dataCentre } of listDataCentres(layout)) {
    for (let index = 0; index < layout.endpointsPerDataCentre; index += 1) {
      const id = `${dataCentre}-e${index}`;
      const endpoint = await startEndpoint({ id, host, port: 0, workMs });
      parts.endpoints.set(id, endpoint);
      const instance: Instance = {
        id,
        kind: InstanceKind.Endpoint,
        address: endpoint.address,
        region,
        dataCentre,
        rack: '',
        service: layout.service,
        state: InstanceState.Live,
        capacity: { ...noCapacity, slots, connections },
      };
      parts.registry.putInstance(instance);
    }
  }
}

function createParts(options: PlatformOptions): PlatformParts {
  const faults = createFaultSwitches();
  return {
    clock: options.clock,
    store: createMemoryStore(),
    objects: new Map(),
    faults,
    random: createRandom(options.seed),
    registry: createInstanceRegistry(options.clock, faults),
    agents: new Map(),
    unreachableWorkers: new Set(),
    endpoints: new Map(),
    stats: createStoreStats(options.clock),
  };
}

async function closeParts(parts: PlatformParts, server: Server): Promise<void> {
  for (const agent of parts.agents.values()) agent.stop();
  const closing = [...parts.endpoints.values()].map(async (endpoint) => endpoint.kill());
  await Promise.all([...closing, closeServer(server)]);
}

/** Starts a stand-in with the workers and endpoints of a layout, all of them published. */
export async function startPlatform(options: PlatformOptions): Promise<StandinPlatform> {
  const parts = createParts(options);
  const app = createPlatformApp(parts);
  const handleRequest = getRequestListener(app.fetch);
  const server = createServer((request, response) => {
    void handleRequest(request, response);
  });
  server.keepAliveTimeout = 60_000;
  const address = await listen(server, options.host, options.port);
  addWorkers(parts, options.layout, address);
  await addEndpoints(parts, options.layout, options.host);
  parts.registry.publishNow();
  return { ...parts, address, close: async () => closeParts(parts, server) };
}

/** Sets the same fault on several endpoints; unknown ids are ignored. */
export function setEndpointFault(
  platform: PlatformParts,
  ids: readonly string[],
  fault: EndpointFault,
): void {
  for (const id of ids) platform.endpoints.get(id)?.setFault(fault);
}
