import {
  createHttpClient,
  createHttpInstanceList,
  createHttpObjectStore,
  createHttpTable,
  createHttpWorkerClient,
} from '@bergamotreach/hosting';
import type { InstanceList, ObjectStore, Table, WorkerClient } from '@bergamotreach/hosting';
import { createMeasuredObjectStore, createMeasuredTable } from './measuredstores.ts';
import type { MeasureOptions } from './measuredstores.ts';

/** Clients of the platform services. */
export interface PlatformClients {
  table: Table;
  objectStore: ObjectStore;
  instanceList: InstanceList;
  workerClient: WorkerClient;
  close(): Promise<void>;
}

const storeConnections = 4;
// Shorter than the lease minus its safety margin, so that a hung store call fails before the lease
// expires.
const expectedStoreMs = 2000;
const workerTimeoutMs = 1000;

/** Wraps the store clients to count and time their calls. */
export function createMeasuredClients(
  options: MeasureOptions & { clients: PlatformClients },
): PlatformClients {
  const { clients } = options;
  return {
    ...clients,
    table: createMeasuredTable(clients.table, options),
    objectStore: createMeasuredObjectStore(clients.objectStore, options),
  };
}

/** Creates clients of the platform at `origin` (`http://ip:port`). */
export function openPlatformClients(origin: string): PlatformClients {
  const client = createHttpClient({
    origin,
    connections: storeConnections,
    timeoutMs: expectedStoreMs,
  });
  return {
    table: createHttpTable(client),
    objectStore: createHttpObjectStore(client),
    instanceList: createHttpInstanceList(client),
    workerClient: createHttpWorkerClient(workerTimeoutMs),
    close: async () => client.close(),
  };
}
