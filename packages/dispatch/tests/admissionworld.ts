import { createServiceContact } from '@bergamotreach/hosting';
import { createManualClock, createNullLogger, createNullMetrics } from '@bergamotreach/protocol';
import type { FaultCode } from '@bergamotreach/protocol';
import { createJobService, createOperatorRows, OperatorRowKind } from '../src/index.ts';
import type { JobServiceOptions, OperatorRow } from '../src/index.ts';
import { queue } from './services.ts';
import { SlowFeed } from './slowfeed.ts';

/** A configuration with one queue for each path. */
export function createConfigRow(version: number, paths: string[]): OperatorRow {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const queues = paths.map((prefix) => ({ ...queue, name: prefix, prefix }));
  const config = { version, queues, accounts: [], limits };
  return { kind: OperatorRowKind.Configuration, config };
}

/** Admission of calls by a configuration whose reads a test controls. */
export function createAdmission() {
  const clock = createManualClock();
  const logger = createNullLogger();
  const metrics = createNullMetrics();
  const contact = createServiceContact({ clock, maxSilenceMs: 2500 });
  const feed = new SlowFeed<OperatorRow>(clock);
  const configs = createOperatorRows({ feed, clock, logger, metrics });
  const jobs = createJobService({
    ...{ configs, clock, logger, metrics, storeContact: contact, configApplyMs: 2500 },
  } as unknown as JobServiceOptions);
  const callQueue = async (path: string): Promise<FaultCode | number> => {
    const admitting = jobs.admit('h', path, undefined);
    await clock.advance(1100);
    const admitted = await admitting;
    return admitted.isOk() ? admitted.value.version : admitted.error.code;
  };
  return { clock, feed, contact, configs, jobs, callQueue };
}
