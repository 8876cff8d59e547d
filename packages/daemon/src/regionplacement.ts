import type { EffectiveConfig } from '@bergamotreach/config';
import type { PlacementConfig, WorkerSpec } from '@bergamotreach/placement';
import { InstanceKind } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';

/** Regions named by the configuration, in name order. */
export function listConfigRegions(config: EffectiveConfig | undefined): string[] {
  const regions = Object.values(config?.dataCentres ?? {}).map((entry) => entry.region);
  return [...new Set(regions)].sort();
}

/** Placement settings with the guarantees of one region's data centres only. */
export function selectRegionPlacement(config: EffectiveConfig, region: string): PlacementConfig {
  const accounts = config.placement.accounts.map((account) => ({
    ...account,
    guarantees: account.guarantees.filter(
      ({ dataCentre }) => config.dataCentres[dataCentre]?.region === region,
    ),
  }));
  return { ...config.placement, accounts };
}

/** Workers of a region as placement sees them. */
export function listWorkerSpecs(instances: readonly Instance[], region: string): WorkerSpec[] {
  return instances
    .filter((instance) => instance.kind === InstanceKind.Worker && instance.region === region)
    .map(({ id, dataCentre, rack, capacity }) => ({
      id,
      dataCentre,
      rack,
      accelerators: capacity.accelerators,
      cores: capacity.cores,
      memoryMb: capacity.memoryMb,
    }));
}
