import { InstanceKind, InstanceState } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';
import { createEndpoint } from './endpoint.ts';
import type { Endpoint } from './endpoint.ts';

/** Endpoints known to the router. */
export interface EndpointSet {
  /** Applies the platform's list. Endpoints that are no longer listed get no new requests. */
  applyInstances(instances: readonly Instance[]): void;
  getEndpoint(id: string): Endpoint | undefined;
  listEndpoints(): Endpoint[];
  /** Endpoints of a service. */
  listService(service: string): readonly Endpoint[];
  /**
   * Stops new requests to an endpoint until the instance list shows that it is leaving. False when
   * it is unknown or already excluded.
   */
  markLeaving(id: string, nowMs: number): boolean;
  close(): void;
}

/** Must exceed the lag of the instance list. */
const avoidMs = 15_000;

/** Creates an empty set. */
export function createEndpointSet(): EndpointSet {
  const endpoints = new Map<string, Endpoint>();
  let byService = new Map<string, Endpoint[]>();

  function applyInstance(instance: Instance): void {
    const existing = endpoints.get(instance.id);
    if (existing?.instance.address === instance.address) {
      existing.instance = instance;
      existing.isLeaving = instance.state === InstanceState.Leaving;
      return;
    }
    // The same id at another address is a replacement, with its own health and connections.
    if (existing !== undefined) existing.connections.close();
    const endpoint = createEndpoint(instance);
    endpoint.isLeaving = instance.state === InstanceState.Leaving;
    endpoints.set(instance.id, endpoint);
  }

  function removeUnlisted(listed: ReadonlySet<string>): void {
    for (const [id, endpoint] of endpoints) {
      if (listed.has(id)) continue;
      endpoint.isLeaving = true;
      if (endpoint.running.size > 0) continue;
      endpoint.connections.close();
      endpoints.delete(id);
    }
  }

  function updateServices(): void {
    byService = new Map();
    for (const endpoint of endpoints.values()) {
      const { service } = endpoint.instance;
      const list = byService.get(service) ?? [];
      list.push(endpoint);
      byService.set(service, list);
    }
  }

  return {
    applyInstances: (instances) => {
      const listed = instances.filter((instance) => instance.kind === InstanceKind.Endpoint);
      for (const instance of listed) applyInstance(instance);
      removeUnlisted(new Set(listed.map((instance) => instance.id)));
      updateServices();
    },
    getEndpoint: (id) => endpoints.get(id),
    listEndpoints: () => [...endpoints.values()],
    listService: (service) => byService.get(service) ?? [],
    markLeaving: (id, nowMs) => {
      const endpoint = endpoints.get(id);
      if (endpoint === undefined) return false;
      const isNew = !endpoint.isLeaving && nowMs >= endpoint.avoidedUntilMs;
      endpoint.avoidedUntilMs = nowMs + avoidMs;
      // If the list never confirms that it is leaving, the endpoint returns with a probe.
      endpoint.health.applyHint(nowMs);
      return isNew;
    },
    close: () => {
      for (const endpoint of endpoints.values()) endpoint.connections.close();
    },
  };
}
