import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** Role of an instance of the platform. */
export enum InstanceKind {
  Daemon = 'daemon',
  Worker = 'worker',
  Endpoint = 'endpoint',
}

/** Whether an instance accepts new work. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** Resources of an instance; fields that do not apply to its kind are 0. */
export interface InstanceCapacity {
  accelerators: number;
  cores: number;
  memoryMb: number;
  /** Maximum number of concurrent requests of an endpoint. */
  slots: number;
  /** Maximum number of connections of an endpoint. */
  connections: number;
}

/** One entry of the instance list. */
export interface Instance {
  id: string;
  kind: InstanceKind;
  /** `ip:port` of a daemon's peer listener, a worker's agent or an endpoint. */
  address: string;
  region: string;
  dataCentre: string;
  rack: string;
  /** Service that an endpoint serves; empty for other kinds. */
  service: string;
  state: InstanceState;
  capacity: InstanceCapacity;
}

/** The platform's list of instances. It may be stale by several seconds. */
export abstract class InstanceList {
  /** Reads the whole list. Faults: `store_unavailable`. */
  abstract listInstances(): Promise<Result<Instance[], Fault>>;
}
