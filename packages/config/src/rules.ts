import { findNearest } from './describe.ts';
import type { AccountConfig, EffectiveConfig } from './effective.ts';
import type { JsonPath } from './merge.ts';

/** A violation of a rule, before the file that causes it is known. */
export interface Finding {
  path: JsonPath;
  found: string;
  allowed: string;
  nearest?: string | undefined;
  /** Additional details for scripts. */
  data?: object;
}

/** Checks rules that involve several keys. Expects a configuration that matches the schema. */
export function listRuleFindings(config: EffectiveConfig): Finding[] {
  return [
    ...listNumberFindings(config),
    ...listGuaranteeFindings(config),
    ...listQuotaFindings(config),
    ...listTokenFindings(config),
    ...listLinkFindings(config),
  ];
}

function listNumberFindings(config: EffectiveConfig): Finding[] {
  const { weights, quarantineMs, quarantineMaxMs } = config.placement;
  const { defaultRequestMs, maxRequestMs } = config.limits;
  const findings: Finding[] = [];
  if (weights.completion + weights.fragmentation === 0) {
    findings.push(
      createFinding(['placement', 'weights'], 'two zeros', 'at least one weight above 0'),
    );
  }
  if (quarantineMaxMs < quarantineMs) {
    const path = ['placement', 'quarantineMaxMs'];
    findings.push(createFinding(path, quarantineMaxMs, `at least quarantineMs (${quarantineMs})`));
  }
  if (defaultRequestMs > maxRequestMs) {
    const path = ['limits', 'defaultRequestMs'];
    findings.push(createFinding(path, defaultRequestMs, `at most maxRequestMs (${maxRequestMs})`));
  }
  return findings;
}

function createFinding(path: JsonPath, found: string | number, allowed: string): Finding {
  return { path, found: String(found), allowed };
}

function listGuaranteeFindings(config: EffectiveConfig): Finding[] {
  const known = Object.keys(config.dataCentres);
  return Object.entries(config.accounts).flatMap(([id, account]) =>
    account.guarantees.flatMap(({ dataCentre }, index) =>
      known.includes(dataCentre)
        ? []
        : [
            createUnknownNameFinding(
              ['accounts', id, 'guarantees', index, 'dataCentre'],
              dataCentre,
              known,
            ),
          ],
    ),
  );
}

function createUnknownNameFinding(path: JsonPath, name: string, known: string[]): Finding {
  const finding = createFinding(path, `unknown name ${JSON.stringify(name)}`, known.join(', '));
  return { ...finding, nearest: findNearest(name, known) };
}

// The quota applies per region, because each region's scheduler counts only its own jobs.
function listQuotaFindings(config: EffectiveConfig): Finding[] {
  return Object.entries(config.accounts).flatMap(([id, account]) => {
    const largest = Math.max(0, ...countGuaranteedByRegion(config, account).values());
    if (account.quotaAccelerators === 0 || largest <= account.quotaAccelerators) return [];
    const path = ['accounts', id, 'quotaAccelerators'];
    const allowed = `0, or at least the ${largest} accelerators guaranteed in one region`;
    return [createFinding(path, account.quotaAccelerators, allowed)];
  });
}

function countGuaranteedByRegion(
  config: EffectiveConfig,
  account: AccountConfig,
): Map<string, number> {
  const guaranteed = new Map<string, number>();
  for (const { dataCentre, accelerators, count } of account.guarantees) {
    const region = config.dataCentres[dataCentre]?.region ?? '';
    guaranteed.set(region, (guaranteed.get(region) ?? 0) + accelerators * count);
  }
  return guaranteed;
}

function listTokenFindings(config: EffectiveConfig): Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const [id, account] of Object.entries(config.accounts)) {
    for (const [index, hash] of account.tokenHashes.entries()) {
      const owner = owners.get(hash);
      const path = ['accounts', id, 'tokenHashes', index];
      if (owner === undefined) owners.set(hash, id);
      else findings.push(createFinding(path, `the token of account ${owner}`, 'an unused token'));
    }
  }
  return findings;
}

function listLinkFindings(config: EffectiveConfig): Finding[] {
  const regions = [...new Set(Object.values(config.dataCentres).map(({ region }) => region))];
  return Object.entries(config.services).flatMap(([name, { links }]) =>
    Object.entries(links).flatMap(([from, targets]) =>
      [[from], ...Object.keys(targets).map((to) => [from, to])].flatMap((parts) => {
        const region = parts.at(-1) ?? '';
        if (regions.includes(region)) return [];
        return [createUnknownNameFinding(['services', name, 'links', ...parts], region, regions)];
      }),
    ),
  );
}
