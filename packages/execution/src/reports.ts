import type { ActionKind, PlacementAction } from '@bergamotreach/placement';
import type { Clock, Logger, Metrics } from '@bergamotreach/protocol';

type GuaranteeReport = Extract<PlacementAction, { kind: ActionKind.ReportGuarantee }>;

/** Quarantined workers and broken guarantees, reported by log, metrics and dump. */
export interface Reports {
  addQuarantine(worker: string, durationMs: number): void;
  removeQuarantine(worker: string): void;
  /** Logs that a guarantee is broken or restored. */
  reportGuarantee(report: GuaranteeReport): void;
  getDump(): { quarantined: Record<string, number>; brokenGuarantees: GuaranteeReport[] };
}

/** Creates reports without quarantines or broken guarantees. */
export function createReports(options: {
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
}): Reports {
  const { clock, logger, metrics } = options;
  /** End of the quarantine by worker id. */
  const quarantined = new Map<string, number>();
  const broken = new Map<string, GuaranteeReport>();

  function reportQuarantines(): void {
    metrics.setGauge('worker.quarantined', quarantined.size);
  }

  return {
    addQuarantine(worker, durationMs) {
      quarantined.set(worker, clock.getNowMs() + durationMs);
      logger.warn('worker_quarantined', { worker, durationMs });
      reportQuarantines();
    },
    removeQuarantine(worker) {
      quarantined.delete(worker);
      logger.info('worker_released', { worker });
      reportQuarantines();
    },
    reportGuarantee(report) {
      const { account, dataCentre, accelerators, missing } = report;
      const key = JSON.stringify([account, dataCentre, accelerators]);
      if (missing > 0) broken.set(key, report);
      else broken.delete(key);
      const event = missing > 0 ? 'guarantee_broken' : 'guarantee_restored';
      logger.warn(event, { account, dataCentre, accelerators, missing });
      metrics.setGauge('guarantee.missing', missing, { account, dataCentre });
    },
    getDump: () => ({
      quarantined: Object.fromEntries(quarantined),
      brokenGuarantees: [...broken.values()],
    }),
  };
}
