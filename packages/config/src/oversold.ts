import { findOversold } from '@bergamotreach/placement';
import type { Oversold } from '@bergamotreach/placement';
import { listExpectedWorkers } from './effective.ts';
import type { EffectiveConfig } from './effective.ts';
import type { Finding } from './rules.ts';

/** Checks what is sold against the hardware that the configuration expects. */
export function listOversoldFindings(config: EffectiveConfig): Finding[] {
  const shapes = findOversold(config.placement, listExpectedWorkers(config));
  return shapes.map((shape) => ({
    path: ['accounts', shape.account, 'guarantees', findIndex(config, shape)],
    found: `${formatShape(shape)} sold to account ${shape.account}`,
    allowed: formatLimit(shape),
    data: { ...shape },
  }));
}

function findIndex(config: EffectiveConfig, shape: Oversold): number {
  const guarantees = config.accounts[shape.account]?.guarantees ?? [];
  const index = guarantees.findIndex(
    ({ dataCentre, accelerators, within }) =>
      dataCentre === shape.dataCentre &&
      accelerators === shape.accelerators &&
      within === shape.within,
  );
  return Math.max(0, index);
}

function formatShape({ accelerators, within, level, dataCentre }: Oversold): string {
  return `${accelerators} accelerators within ${within} (level ${level}) in ${dataCentre}`;
}

function formatLimit({ missing, missingReserve, dataCentre }: Oversold): string {
  const hardware = `what the hardware of ${dataCentre} can honour`;
  if (missing > 0) return `${hardware}; ${missing} shapes are missing`;
  return `${hardware} after a loss; the loss reserve is ${missingReserve} cells short`;
}
