import type { Fault } from '@bergamotreach/protocol';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { buildForest, listBuddyLevels } from './cell.ts';
import type { CellWorker } from './cell.ts';
import { computeShortage, countSupply, createDemand, listMaximalCells } from './feasibility.ts';
import type { CellDemand } from './feasibility.ts';
import type { Adjacency, GuaranteeSpec, PlacementConfig, WorkerSpec } from './spec.ts';

/** A guaranteed shape that cannot be satisfied together with the others. */
export interface Oversold {
  account: string;
  dataCentre: string;
  accelerators: number;
  within: Adjacency;
  /** Level of the shape: its cells have 2^level accelerators. */
  level: number;
  /** Number of missing shapes; 0 if only the loss reserve of the data centre is short. */
  missing: number;
  /** Number of missing cells of the loss reserve. */
  missingReserve: number;
}

interface GuaranteedShape {
  account: string;
  spec: GuaranteeSpec;
}

/** Data centres of the workers and guarantees, sorted. */
function listDataCentres(config: PlacementConfig, workers: readonly WorkerSpec[]): string[] {
  const ids = new Set(workers.map((worker) => worker.dataCentre));
  for (const account of config.accounts) {
    for (const spec of account.guarantees) ids.add(spec.dataCentre);
  }
  return [...ids].sort();
}

/** Levels of the cells that the loss of one worker can remove, for the worst worker type. */
function listLostLevels(workers: readonly WorkerSpec[]): number[] {
  const lost: number[] = [];
  for (const worker of workers) {
    listBuddyLevels(worker.accelerators).forEach((level, index) => {
      lost[index] = Math.max(lost[index] ?? 0, level);
    });
  }
  return lost;
}

/**
 * Extra demands that keep all guarantees feasible after the loss of any `count` workers: a lost worker
 * removes one cell of the largest size sold, or of its own size if that is larger.
 */
function listReserveDemands(
  workers: readonly WorkerSpec[],
  demands: readonly CellDemand[],
  count: number,
): CellDemand[] {
  if (count === 0 || demands.length === 0) return [];
  const largest = Math.max(...demands.map((demand) => demand.level));
  return listLostLevels(workers).map((level) => ({
    level: Math.max(largest, level),
    minWorkerLevel: Math.max(...demands.map((demand) => demand.minWorkerLevel)),
    minRackLevel: Math.max(...demands.map((demand) => demand.minRackLevel)),
    count,
  }));
}

function findOversoldAt(
  dataCentre: string,
  config: PlacementConfig,
  workers: readonly WorkerSpec[],
): Oversold[] {
  const shapes: GuaranteedShape[] = config.accounts.flatMap((account) =>
    account.guarantees
      .filter((spec) => spec.dataCentre === dataCentre && spec.count > 0)
      .map((spec) => ({ account: account.id, spec })),
  );
  const demands = shapes.map(({ spec }) => createDemand(spec, spec.count));
  const reserve = listReserveDemands(workers, demands, config.lossReserve[dataCentre] ?? 0);
  const forest = buildForest(workers.map((spec): CellWorker => ({ spec })));
  const supply = countSupply(
    forest.classes,
    forest.maxLevel,
    listMaximalCells(forest, () => true),
  );
  const shortage = computeShortage(supply, [...demands, ...reserve]);
  const missingReserve = shortage.slice(demands.length).reduce((sum, count) => sum + count, 0);
  const largest = Math.max(...demands.map((demand) => demand.level));
  return shapes
    .map(({ account, spec }, index) => ({
      account,
      dataCentre,
      accelerators: spec.accelerators,
      within: spec.within,
      level: demands[index]?.level ?? 0,
      missing: shortage[index] ?? 0,
      missingReserve: demands[index]?.level === largest ? missingReserve : 0,
    }))
    .filter((item) => item.missing > 0 || item.missingReserve > 0);
}

/**
 * Returns every guaranteed shape that cannot be satisfied together with the others and the loss
 * reserve of its data centre on `workers`; empty if the configuration is feasible.
 */
export function findOversold(config: PlacementConfig, workers: readonly WorkerSpec[]): Oversold[] {
  return listDataCentres(config, workers).flatMap((dataCentre) =>
    findOversoldAt(
      dataCentre,
      config,
      workers.filter((worker) => worker.dataCentre === dataCentre),
    ),
  );
}

/** Checks that all guarantees are feasible together. Fault: `oversold`, with the oversold shapes. */
export function checkConfig(
  config: PlacementConfig,
  workers: readonly WorkerSpec[],
): Result<void, Fault> {
  const oversold = findOversold(config, workers);
  const [first] = oversold;
  if (first === undefined) return Ok(undefined);
  const what =
    first.missing > 0
      ? `${first.missing} of the shapes are missing`
      : `the loss reserve is ${first.missingReserve} cells short`;
  return Err(
    createFault(
      FaultCode.Oversold,
      `account "${first.account}" cannot be guaranteed ${first.accelerators} accelerators within ` +
        `${first.within} (level ${first.level}) in data centre "${first.dataCentre}": ${what}`,
      { path: ['accounts', first.account, 'guarantees'], details: oversold },
    ),
  );
}
