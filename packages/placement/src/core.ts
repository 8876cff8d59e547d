import type { Fault } from '@bergamotreach/protocol';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { applyConfig } from './account.ts';
import type { PlacementAction } from './action.ts';
import { startReadyClaims } from './allocation.ts';
import { applyEvent } from './events.ts';
import { releaseWorkers } from './failure.ts';
import { canFitEmpty } from './packing.ts';
import { runPass } from './pass.ts';
import { createPolicy } from './policy.ts';
import type { PlacementPolicy } from './policy.ts';
import { repairGuarantees, reportGuarantees } from './repair.ts';
import type { Scheduler } from './scheduler.ts';
import { addWorkers } from './site.ts';
import type { JobSpec, PlacementConfig, WorkerSpec } from './spec.ts';
import type { CoreState } from './state.ts';
import { createDump, listAccountUsage, listGuaranteeStatus, listQuarantined } from './status.ts';

function createState(
  config: PlacementConfig,
  policyOverrides: Partial<PlacementPolicy>,
): CoreState {
  return {
    config,
    policy: createPolicy(config.weights),
    policyOverrides,
    nowMs: 0,
    sites: new Map(),
    workers: new Map(),
    accounts: new Map(),
    jobs: new Map(),
    queue: new Set(),
    gangs: new Set(),
    claims: new Set(),
    pendingActions: [],
    blockedShapes: new Set(),
    preemptionBackoffs: new Map(),
    lastReservationJob: undefined,
    isGuaranteeDirty: true,
    isCapacityDirty: true,
    arrivals: new Set(),
    reportedGuarantees: new Map(),
    nextWakeMs: undefined,
    nextSequence: 0,
  };
}

function checkQuota(state: CoreState, job: JobSpec): Result<void, Fault> {
  const account = state.accounts.get(job.account);
  if (account === undefined) {
    const message = `account "${job.account}" does not exist`;
    return Err(createFault(FaultCode.NotFound, message, { path: ['account'] }));
  }
  const quota = account.spec.quotaAccelerators;
  const wanted = job.members * job.accelerators;
  if (quota === 0 || wanted <= quota) return Ok(undefined);
  const message = `the job needs ${wanted} accelerators; the quota of the account is ${quota}`;
  return Err(createFault(FaultCode.QuotaExceeded, message, { path: ['members'] }));
}

function checkJob(state: CoreState, job: JobSpec): Result<void, Fault> {
  const quota = checkQuota(state, job);
  if (quota.isErr()) return quota;
  const sites = [...state.sites.values()].filter(
    (site) => job.dataCentre === '' || job.dataCentre === site.id,
  );
  if (sites.some((site) => canFitEmpty(site.workers, job, state.config))) return Ok(undefined);
  const where = job.dataCentre === '' ? 'any data centre' : `data centre "${job.dataCentre}"`;
  const message =
    `${job.members} members of ${job.accelerators} accelerators, ${job.cores} cores and ` +
    `${job.memoryMb} MB each, within ${job.within}, cannot fit in ${where} even when it is empty`;
  return Err(createFault(FaultCode.NeverFits, message, { path: ['members'] }));
}

/**
 * Runs a pass over the whole queue if capacity grew or the order of jobs may have changed, else over
 * the new arrivals only, as the other jobs are known not to fit.
 */
function runDuePass(state: CoreState, actions: PlacementAction[]): void {
  const isWakeDue = state.nextWakeMs !== undefined && state.nextWakeMs <= state.nowMs;
  if (isWakeDue) state.nextWakeMs = undefined;
  if (state.isCapacityDirty || isWakeDue) runPass(state, state.queue, actions);
  else if (state.arrivals.size > 0) runPass(state, state.arrivals, actions);
}

function decide(state: CoreState): PlacementAction[] {
  releaseWorkers(state);
  if (state.isGuaranteeDirty) repairGuarantees(state);
  const actions = state.pendingActions;
  state.pendingActions = [];
  if (state.isCapacityDirty) startReadyClaims(state, actions);
  runDuePass(state, actions);
  if (state.isGuaranteeDirty) reportGuarantees(state, actions);
  state.isGuaranteeDirty = false;
  return actions;
}

function getNextWakeMs(state: CoreState): number | undefined {
  let nextMs = state.nextWakeMs ?? Infinity;
  for (const worker of state.workers.values()) {
    if (worker.isQuarantined) nextMs = Math.min(nextMs, worker.quarantineUntilMs);
  }
  return nextMs === Infinity ? undefined : nextMs;
}

/**
 * Creates the placement core of one region. It keeps all state in memory and reads no clock; `nowMs`
 * must not decrease between calls. `policyOverrides` replaces parts of the policy that follows from
 * the configured weights.
 */
export function createScheduler(
  config: PlacementConfig,
  workers: WorkerSpec[],
  policyOverrides: Partial<PlacementPolicy> = {},
): Scheduler {
  const state = createState(config, policyOverrides);
  addWorkers(state, workers);
  applyConfig(state, config);
  return {
    checkJob: (job) => checkJob(state, job),
    applyEvents: (events, nowMs) => {
      state.nowMs = nowMs;
      for (const event of events) applyEvent(state, event);
    },
    decide: (nowMs) => {
      state.nowMs = nowMs;
      return decide(state);
    },
    getNextWakeMs: () => getNextWakeMs(state),
    listGuarantees: () => listGuaranteeStatus(state),
    listUsage: () => listAccountUsage(state),
    listQuarantined: () => listQuarantined(state),
    getDump: () => createDump(state),
  };
}
