import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';

/** What an instance of the platform is. */
export enum InstanceKind {
  Daemon = 'daemon',
  Worker = 'worker',
  Endpoint = 'endpoint',
}

/** Whether an instance is to be used. */
export enum InstanceState {
  Live = 'live',
  Leaving = 'leaving',
}

/** What an instance offers; fields that do not apply to its kind are 0. */
export interface InstanceCapacity {
  accelerators: number;
  cores: number;
  memoryMb: number;
  /** Concurrent exchanges of an endpoint. */
  slots: number;
  /** Connection limit of an endpoint. */
  connections: number;
}

/** One entry of the instance list. */
export interface Instance {
  id: string;
  kind: InstanceKind;
  /** `ip:port`. For a daemon this is the peer listener; for a worker, its agent. */
  address: string;
  region: string;
  dataCentre: string;
  rack: string;
  /** Service that an endpoint serves; empty for other kinds. */
  service: string;
  state: InstanceState;
  capacity: InstanceCapacity;
}

/** The platform's list of instances. It lags behind reality by seconds. */
export abstract class InstanceList {
  /** Reads the whole list. Faults: `store_unavailable`. */
  abstract listInstances(): Promise<Result<Instance[], Fault>>;
}
