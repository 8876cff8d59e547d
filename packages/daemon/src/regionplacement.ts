import type { EffectiveConfig } from '@bergamotreach/config';
import type { PlacementConfig, WorkerSpec } from '@bergamotreach/placement';
import { InstanceKind } from '@bergamotreach/hosting';
import type { Instance } from '@bergamotreach/hosting';

/** Lists the regions in the configuration, sorted by name. */
export function listConfigRegions(config: EffectiveConfig | undefined): string[] {
  const regions = Object.values(config?.dataCentres ?? {}).map((entry) => entry.region);
  return [...new Set(regions)].sort();
}

/** Selects the placement configuration of a region: guarantees in its data centres only. */
export function selectRegionPlacement(config: EffectiveConfig, region: string): PlacementConfig {
  const accounts = config.placement.accounts.map((account) => ({
    ...account,
    guarantees: account.guarantees.filter(
      ({ dataCentre }) => config.dataCentres[dataCentre]?.region === region,
    ),
  }));
  return { ...config.placement, accounts };
}

/** Builds placement specs of the workers in a region. */
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
