import { findOversold } from '@bergamotreach/placement';
import type { Oversold } from '@bergamotreach/placement';
import { listExpectedWorkers } from './effective.ts';
import type { EffectiveConfig } from './effective.ts';
import type { Finding } from './rules.ts';

/** Lists guarantees that the hardware in the configuration cannot satisfy together. */
export function listOversoldFindings(config: EffectiveConfig): Finding[] {
  const oversold = findOversold(config.placement, listExpectedWorkers(config));
  return oversold.map((item) => ({
    path: ['accounts', item.account, 'guarantees', findGuaranteeIndex(config, item)],
    found: `${formatGuarantee(item)} guaranteed to account ${item.account}`,
    allowed: formatLimit(item),
    data: { ...item },
  }));
}

function findGuaranteeIndex(config: EffectiveConfig, oversold: Oversold): number {
  const guarantees = config.accounts[oversold.account]?.guarantees ?? [];
  const index = guarantees.findIndex(
    ({ dataCentre, accelerators, within }) =>
      dataCentre === oversold.dataCentre &&
      accelerators === oversold.accelerators &&
      within === oversold.within,
  );
  return Math.max(0, index);
}

function formatGuarantee({ accelerators, within, level, dataCentre }: Oversold): string {
  return `${accelerators} accelerators within ${within} (level ${level}) in ${dataCentre}`;
}

function formatLimit({ missing, missingReserve, dataCentre }: Oversold): string {
  const hardware = `what the hardware of ${dataCentre} can satisfy`;
  if (missing > 0) return `${hardware}; missing shapes: ${missing}`;
  return `${hardware} after a loss of workers; the loss reserve is ${missingReserve} cells short`;
}
