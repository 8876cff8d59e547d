/** A region and the names of its data centres. */
export interface RegionLayout {
  region: string;
  dataCentres: string[];
}

/** Regions, workers and endpoints of a stand-in platform. */
export interface PlatformLayout {
  name: string;
  service: string;
  regions: RegionLayout[];
  workersPerDataCentre: number;
  workersPerRack: number;
  worker: { accelerators: number; cores: number; memoryMb: number };
  endpointsPerDataCentre: number;
  endpoint: { slots: number; connections: number; workMs: number };
}

function createRegions(names: string[]): RegionLayout[] {
  return names.map((region) => ({ region, dataCentres: [`${region}-1`] }));
}

const sharedLayout = {
  workersPerDataCentre: 10,
  workersPerRack: 8,
  endpointsPerDataCentre: 10,
  endpoint: { slots: 8, connections: 60, workMs: 20 },
};

/** Platform of Ezelpad Software: the trek planner in three regions. */
export const ezelpadLayout: PlatformLayout = {
  ...sharedLayout,
  name: 'ezelpad',
  service: 'trek-planner',
  regions: createRegions(['noord', 'midden', 'zuid']),
  worker: { accelerators: 8, cores: 32, memoryMb: 65_536 },
};

/** Platform of Consorzio Vasche Trinacria: the tank studio in three regions. */
export const trinacriaLayout: PlatformLayout = {
  ...sharedLayout,
  name: 'trinacria',
  service: 'tank-studio',
  regions: createRegions(['catania', 'palermo', 'trapani']),
  worker: { accelerators: 8, cores: 128, memoryMb: 262_144 },
};
