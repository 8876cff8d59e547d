import type { Feed } from '@bergamotreach/hosting';
import { runContained, runEvery } from '@bergamotreach/protocol';
import type { CancelTimer, Clock, Logger, Metrics } from '@bergamotreach/protocol';
import type { Evacuations } from '@bergamotreach/scheduling';
import type { ServiceConfig } from './configuration.ts';
import { createTableReplica } from './tablereplica.ts';
import type { TableReplica } from './tablereplica.ts';

/** What a row of the operators' table states. */
export enum OperatorRowKind {
  Configuration = 'configuration',
  Evacuation = 'evacuation',
}

/** A row of the operators' table. */
export type OperatorRow =
  | { kind: OperatorRowKind.Configuration; config: ServiceConfig }
  /** No task may start on the workers of the data centre while the row exists. */
  | { kind: OperatorRowKind.Evacuation; dataCentre: string };

/** Options of the operators' rows. */
export interface OperatorRowsOptions {
  feed: Feed<OperatorRow>;
  /** Its time includes the time during which the process was suspended. */
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  /** Called after an evacuation begins or ends. */
  onEvacuations?: () => void;
}

/** The active configuration, and how well the store confirms it. */
export interface ConfigReplica extends Pick<
  TableReplica<OperatorRow>,
  'getAgeMs' | 'getOutageMs' | 'refresh'
> {
  /** `undefined` before the first configuration was read. */
  find(): ServiceConfig | undefined;
}

/** What the operators state: the configuration and the evacuated data centres. */
export interface OperatorRows extends ConfigReplica {
  start(): void;
  stop(): void;
  isLoaded(): boolean;
  getEvacuations(): Evacuations;
  /** Reads the evacuations, also while a large configuration arrives; false if the store does not answer. */
  refreshEvacuations(): Promise<boolean>;
}

/** Interval at which the age of the evacuations is checked. */
const checkIntervalMs = 500;
/** Evacuations older than this are read apart from the configuration that is arriving. */
const maxEvacuationAgeMs = 1500;

/** Creates a replica of the operators' table; `start` begins to read it. */
export function createOperatorRows(options: OperatorRowsOptions): OperatorRows {
  const { logger, metrics } = options;
  /** Evacuated data centre by row. */
  const evacuated = new Map<string, string>();
  let dataCentres: ReadonlySet<string> = new Set();
  let config: ServiceConfig | undefined;

  function handleRow(key: string, row: OperatorRow | undefined): void {
    if (row?.kind === OperatorRowKind.Evacuation) handleEvacuation(key, row.dataCentre);
    else if (row === undefined && evacuated.has(key)) handleEvacuation(key, undefined);
    else applyConfig(row?.config);
  }

  function applyConfig(next: ServiceConfig | undefined): void {
    config = next;
    logger.info('config_applied', { version: next?.version, queues: next?.queues.length });
  }

  function handleEvacuation(key: string, dataCentre: string | undefined): void {
    if (dataCentre === undefined) {
      logger.info('evacuation_ended', { dataCentre: evacuated.get(key) });
      evacuated.delete(key);
    } else if (!evacuated.has(key)) {
      logger.info('evacuation_begun', { dataCentre });
      evacuated.set(key, dataCentre);
    }
    dataCentres = new Set(evacuated.values());
    metrics.setGauge('evacuations', dataCentres.size);
    options.onEvacuations?.();
  }

  const replica = createTableReplica<OperatorRow>({
    ...options,
    name: 'configuration',
    onChange: handleRow,
  });

  let cancelChecks: CancelTimer = () => undefined;
  let isReadingEvacuations = false;

  /** Keeps an owner able to start tasks: without recent evacuations it starts none. */
  async function checkEvacuations(): Promise<void> {
    const isWaiting = replica.isLoaded() && replica.getOutageMs() === 0;
    if (!isWaiting || isReadingEvacuations || replica.getUrgentAgeMs() <= maxEvacuationAgeMs)
      return;
    isReadingEvacuations = true;
    await runContained(logger, 'evacuations', () => replica.refreshUrgent());
    isReadingEvacuations = false;
  }

  return {
    ...replica,
    start() {
      replica.start();
      cancelChecks = runEvery(options.clock, checkIntervalMs, () => void checkEvacuations());
    },
    stop() {
      cancelChecks();
      replica.stop();
    },
    find: () => config,
    getEvacuations: () => ({ dataCentres, ageMs: replica.getUrgentAgeMs() }),
    refreshEvacuations: () => replica.refreshUrgent(),
  };
}
