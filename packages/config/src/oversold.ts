import type { Adjacency, PlacementConfig, WorkerSpec } from '@bergamotreach/placement';
import { listExpectedWorkers } from './effective.ts';
import type { EffectiveConfig } from './effective.ts';
import type { Finding } from './rules.ts';

/** A guaranteed shape that cannot be honoured together with the others. */
export interface OversoldShape {
  account: string;
  dataCentre: string;
  accelerators: number;
  within: Adjacency;
  /** Level of the shape: its cells have 2^level accelerators. */
  level: number;
  /** Shapes that cannot be had; 0 when only the loss reserve of the data centre cannot. */
  missing: number;
  /** Cells of the loss reserve that cannot be had. */
  missingReserve: number;
}

/** Finds shapes that are sold but cannot all be honoured on the workers. */
export type FindOversold = (
  config: PlacementConfig,
  workers: readonly WorkerSpec[],
) => readonly OversoldShape[];

/** Checks what is sold against the hardware that the configuration expects. */
export function listOversoldFindings(
  config: EffectiveConfig,
  findOversold?: FindOversold,
): Finding[] {
  const shapes = findOversold?.(config.placement, listExpectedWorkers(config)) ?? [];
  return shapes.map((shape) => ({
    path: ['accounts', shape.account, 'guarantees', findIndex(config, shape)],
    found: `${formatShape(shape)} sold to account ${shape.account}`,
    allowed: formatLimit(shape),
    data: { ...shape },
  }));
}

function findIndex(config: EffectiveConfig, shape: OversoldShape): number {
  const guarantees = config.accounts[shape.account]?.guarantees ?? [];
  const index = guarantees.findIndex(
    ({ dataCentre, accelerators, within }) =>
      dataCentre === shape.dataCentre &&
      accelerators === shape.accelerators &&
      within === shape.within,
  );
  return Math.max(0, index);
}

function formatShape({ accelerators, within, level, dataCentre }: OversoldShape): string {
  return `${accelerators} accelerators within ${within} (level ${level}) in ${dataCentre}`;
}

function formatLimit({ missing, missingReserve, dataCentre }: OversoldShape): string {
  const hardware = `what the hardware of ${dataCentre} can honour`;
  if (missing > 0) return `${hardware}; ${missing} shapes are missing`;
  return `${hardware} after a loss; the loss reserve is ${missingReserve} cells short`;
}
