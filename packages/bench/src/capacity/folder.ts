import { cp, mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ezelpadLayout } from '@bergamotreach/standin';
import type { PlatformLayout } from '@bergamotreach/standin';

/** Region that every measurement uses. */
export const region = 'noord';
const workersPerRack = 8;

/** Size of the cluster, which varies between measurements. */
export interface ClusterSize {
  daemons: number;
  workers: number;
  endpoints: number;
}

/** Creates a layout with one region of the given size. */
export function createLayout(size: ClusterSize): PlatformLayout {
  return {
    ...ezelpadLayout,
    regions: ezelpadLayout.regions.filter((entry) => entry.region === region),
    workersPerDataCentre: size.workers,
    endpointsPerDataCentre: size.endpoints,
  };
}

/**
 * Writes the example configuration, changed to `workers` workers, to a temporary folder; returns
 * its path.
 */
export async function writeConfigFolder(workers: number): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'capacity-'));
  await cp('examples/ezelpad', folder, { recursive: true });
  const path = join(folder, '10-data-centres.json');
  const content = JSON.parse(await readFile(path, 'utf8')) as {
    dataCentres: Record<string, { racks: Record<string, { workers: number }> }>;
  };
  const dataCentre = content.dataCentres[`${region}-1`];
  const rack = Object.values(dataCentre?.racks ?? {})[0];
  if (dataCentre === undefined || rack === undefined) throw new Error('example has no racks');
  const count = Math.ceil(workers / workersPerRack);
  const entries = Array.from({ length: count }, (_, index) => {
    const left = workers - index * workersPerRack;
    return [`${region}-1-r${index}`, { ...rack, workers: Math.min(workersPerRack, left) }] as const;
  });
  dataCentre.racks = Object.fromEntries(entries);
  await writeFile(path, JSON.stringify(content));
  return folder;
}
