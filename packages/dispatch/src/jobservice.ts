import { TransactionStatus, WritePriority } from '@bergamotreach/ownership';
import type { GroupCommitter, TransactionReply } from '@bergamotreach/ownership';
import type { Row, Table } from '@bergamotreach/hosting';
import { FaultCode, createFault, waitFor } from '@bergamotreach/protocol';
import type { Clock, Fault, Logger, Metrics } from '@bergamotreach/protocol';
import type { Check } from '@bergamotreach/protocol/check';
import { JobState, isFinal } from '@bergamotreach/scheduling';
import type { JobSubmission } from '@bergamotreach/scheduling';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { match } from 'ts-pattern';
import { findAccount, findQueue } from './configuration.ts';
import type { AccountConfig, QueueConfig, ServiceConfig } from './configuration.ts';
import type { JobRequest } from './jobrequest.ts';
import {
  checkJobRow,
  checkStateRow,
  createStateRow,
  encodeRow,
  getJobKey,
  getStateKey,
} from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import type { Mirror } from './mirror.ts';

/** Options of the job service. */
export interface JobServiceOptions {
  table: Table;
  committer: GroupCommitter;
  states: Mirror<StateRow>;
  configs: Mirror<ServiceConfig>;
  clock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
}

/** A call that a key and a path admit. */
export interface Admission {
  queue: QueueConfig;
  /** Absent on a public queue that was called without a known key. */
  account: AccountConfig | undefined;
  /** Version of the configuration that decided. */
  version: number;
  /** What the caller sent, for an instance that the call is relayed to. */
  call: { host: string; path: string; key: string | undefined };
}

/** Jobs as callers see them. */
export interface JobService {
  /**
   * Finds the queue and the account of a call. Faults: `store_unavailable` (no configuration yet),
   * `not_found` (no such queue), `unauthorized` (unknown key).
   */
  admit(host: string, path: string, key: string | undefined): Promise<Result<Admission, Fault>>;
  /**
   * Accepts a job; a repeated id finds the job that is there. Faults: `store_unavailable` (not
   * accepted and never will be), `unknown_outcome` (may have been accepted; repeat with the same
   * id), `draining`.
   */
  submit(
    admission: Admission,
    request: JobRequest,
    deadlineMs: number,
  ): Promise<Result<undefined, Fault>>;
  /** State of a job; `undefined` when there is none. Faults: `store_unavailable`. */
  getState(
    admission: Admission,
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobState | undefined, Fault>>;
  /** State of a job in this instance's copy, however old; `undefined` when it is not there. */
  findCopy(admission: Admission, id: string): JobState | undefined;
  /**
   * Cancels a job; false when there is none, and one that is submitted later under the id never runs.
   * Faults: `store_unavailable`, `unknown_outcome`.
   */
  cancel(admission: Admission, id: string, deadlineMs: number): Promise<Result<boolean, Fault>>;
  /** Jobs of a queue none of whose tasks has started; timed jobs are not counted. */
  countPending(queue: string): number;
}

const anonymousAccount = '';
/** An answer leaves this long before the caller stops waiting. */
const answerMarginMs = 150;
/**
 * A store call whose fate is open is answered as unknown after this time, so that the caller, who
 * repeats with the same id, reaches another instance while it still waits.
 */
const unknownAfterMs = 900;
const retryAfterMs = 1000;
/** A copy of the configuration that was confirmed this recently answers for itself. */
const freshConfigMs = 300;
/** A feed that works confirms the configuration every second; its timeout is 1.7 s. */
const staleConfigMs = 2000;
/** A store that has not answered for this long is taken for away: new jobs are refused at once. */
const storeAwayMs = 1600;
/** Reads that fail for this long mean the same; one lost connection is replaced sooner. */
const storeLostMs = 250;
const maxCancelTries = 4;

function isWithdrawn(row: StateRow): boolean {
  return row.isWithdrawn === true;
}

interface StoredState {
  state: StateRow;
  /** Version of the state row; 0 while there is none. */
  version: number;
}

/** Creates the job service of an instance. */
export function createJobService(options: JobServiceOptions): JobService {
  const { committer, states, configs, clock, getWallMs, logger, metrics } = options;

  function getConfig(): ServiceConfig | undefined {
    return configs.list()[0]?.[1];
  }

  function isStoreAway(): boolean {
    const ageMs = Math.min(states.getAgeMs(), configs.getAgeMs());
    const lostMs = Math.max(states.getLostMs(), configs.getLostMs());
    return ageMs > storeAwayMs || lostMs > storeLostMs;
  }

  function createUnavailable(message: string): Fault {
    return createFault(FaultCode.StoreUnavailable, message);
  }

  function decide(
    config: ServiceConfig,
    host: string,
    path: string,
    key: string | undefined,
  ): Result<Admission, Fault> {
    const queue = findQueue(config, host, path);
    if (queue === undefined) return Err(createFault(FaultCode.NotFound, 'no such queue'));
    const account = key === undefined ? undefined : findAccount(config, key);
    if (account === undefined && !queue.isPublic) {
      return Err(createFault(FaultCode.Unauthorized, 'unknown key'));
    }
    return Ok({ queue, account, version: config.version, call: { host, path, key } });
  }

  /** Limits the time that an answer may take; the work itself goes on. */
  async function limitTime<T>(work: Promise<T>, deadlineMs: number): Promise<T | undefined> {
    const limitMs = Math.min(deadlineMs - answerMarginMs, unknownAfterMs);
    const timeout = waitFor(clock, Math.max(0, limitMs));
    return Promise.race([work, timeout.then(() => undefined)]);
  }

  function createUnknown(): Fault {
    const message = 'the store did not answer in time; repeat with the same id';
    return createFault(FaultCode.UnknownOutcome, message, { retryAfterMs });
  }

  function decideSubmit(reply: TransactionReply): Result<undefined, Fault> {
    return match(reply)
      .with({ status: TransactionStatus.Committed }, () => Ok(undefined))
      .with({ status: TransactionStatus.Conflict }, () => Ok(undefined))
      .with({ status: TransactionStatus.Unavailable }, ({ message }) =>
        Err(createUnavailable(`not accepted: ${message}`)),
      )
      .with({ status: TransactionStatus.Unknown }, () => Err(createUnknown()))
      .exhaustive();
  }

  function isVisible(row: StateRow, admission: Admission): boolean {
    return row.account === (admission.account?.name ?? anonymousAccount);
  }

  function decodeRow<T>(id: string, row: Row, check: Check<T>): Result<T, Fault> {
    return check(row.value).mapErr((reason) => {
      logger.error('job_row_refused', { job: id, row: row.key, reason });
      return createUnavailable('a row of the job cannot be read');
    });
  }

  /** Reads the state of a job; version 0 is a job that no owner has taken on yet. */
  async function readState(id: string): Promise<Result<StoredState | undefined, Fault>> {
    const found = await options.table.getRow(getStateKey(id));
    if (found.isErr()) return found;
    const row = found.value;
    if (row === undefined) return readNewJob(id);
    return decodeRow(id, row, checkStateRow).map((state) => ({ state, version: row.version }));
  }

  async function readNewJob(id: string): Promise<Result<StoredState | undefined, Fault>> {
    const found = await options.table.getRow(getJobKey(id));
    if (found.isErr()) return found;
    if (found.value === undefined) return Ok(undefined);
    return decodeRow(id, found.value, checkJobRow).map(({ submission, acceptedAtMs }) => ({
      state: createStateRow(submission, JobState.Queued, acceptedAtMs),
      version: 0,
    }));
  }

  /**
   * The copy may lag, so only a final state is taken from it: the store tells whether a job exists and
   * how far it is.
   */
  async function findState(id: string): Promise<Result<StateRow | undefined, Fault>> {
    const known = states.find(id);
    if (known !== undefined && isFinal(known.state) && !isWithdrawn(known)) return Ok(known);
    if (isStoreAway()) return Err(createUnavailable('the store is away'));
    const stored = await readState(id);
    if (stored.isErr()) return stored;
    const state = stored.value?.state;
    if (state === undefined || !isWithdrawn(state)) return Ok(state);
    return (await readNewJob(id)).map((job) => (job === undefined ? undefined : state));
  }

  function createWithdrawal({ queue, account }: Admission): StateRow {
    return {
      state: JobState.Cancelled,
      queue: queue.name,
      account: account?.name ?? anonymousAccount,
      isTimed: false,
      changedAtMs: Math.round(getWallMs()),
      isWithdrawn: true,
    };
  }

  async function cancelOnce(
    admission: Admission,
    id: string,
  ): Promise<Result<boolean, Fault> | undefined> {
    const stored = await readState(id);
    if (stored.isErr()) return Err(createUnavailable(stored.error.message));
    const isFound = stored.value !== undefined;
    const { state, version } = stored.value ?? { state: createWithdrawal(admission), version: 0 };
    if (!isVisible(state, admission)) return Ok(false);
    if (isFound && isFinal(state.state)) return Ok(!isWithdrawn(state));
    const cancelled = { ...state, state: JobState.Cancelled, changedAtMs: Math.round(getWallMs()) };
    const reply = await committer.submit({
      conditions: [{ key: getStateKey(id), version }],
      writes: [{ key: getStateKey(id), value: encodeRow(cancelled) }],
      priority: WritePriority.Outcome,
    });
    return match(reply)
      .with({ status: TransactionStatus.Committed }, () => Ok(isFound))
      .with({ status: TransactionStatus.Conflict }, () => undefined)
      .with({ status: TransactionStatus.Unavailable }, ({ message }) =>
        Err(createUnavailable(message)),
      )
      .with({ status: TransactionStatus.Unknown }, () => Err(createUnknown()))
      .exhaustive();
  }

  async function cancelJob(admission: Admission, id: string): Promise<Result<boolean, Fault>> {
    for (let attempt = 0; attempt < maxCancelTries; attempt += 1) {
      const result = await cancelOnce(admission, id);
      if (result !== undefined) return result;
    }
    return Err(createUnknown());
  }

  return {
    async admit(host, path, key) {
      const config = getConfig();
      if (config === undefined) return Err(createUnavailable('no configuration yet'));
      const decided = decide(config, host, path, key);
      const ageMs = configs.getAgeMs();
      // Without a loss a copy is only this old when the process was suspended: keys may be gone.
      const isStale = ageMs > staleConfigMs && configs.getLostMs() === 0;
      // A key or queue may be newer than the copy, so a refusal is checked against the store.
      const isTrusted = decided.isOk() ? !isStale : ageMs < freshConfigMs;
      if (isTrusted) return decided;
      await configs.refresh();
      return decide(getConfig() ?? config, host, path, key);
    },
    async submit(admission, request, deadlineMs) {
      const { queue, account } = admission;
      const { recurrence } = request;
      const startedMs = clock.getNowMs();
      const submission: JobSubmission = {
        id: request.id,
        account: account?.name ?? anonymousAccount,
        queue: queue.name,
        pool: queue.pool,
        rules: queue.rules,
        payload: request.payload,
        steps: request.steps,
        ...(recurrence === undefined ? {} : { recurrence }),
      };
      const reportResult = (outcome: string): void => {
        logger.info('job_submitted', {
          job: request.id,
          queue: queue.name,
          account: submission.account,
          configVersion: admission.version,
          stateAgeMs: Math.round(states.getAgeMs()),
          outcome,
          tookMs: Math.round(clock.getNowMs() - startedMs),
        });
        metrics.count('jobs.submitted', 1, { outcome });
        metrics.reportTiming('jobs.submit', clock.getNowMs() - startedMs);
      };
      const known = states.find(request.id);
      if (known !== undefined && !isWithdrawn(known)) {
        reportResult('known');
        return Ok(undefined);
      }
      if (isStoreAway()) {
        reportResult('refused_store_away');
        return Err(createUnavailable('not accepted: the store is away'));
      }
      const job: JobRow = { submission, acceptedAtMs: Math.round(getWallMs()) };
      const work = committer.submit({
        // The owner writes the state: jobs and what the owner keeps are in different partitions, so
        // that a store that is slow for each partition holds neither up for the other.
        conditions: [{ key: getJobKey(request.id), version: 0 }],
        writes: [{ key: getJobKey(request.id), value: encodeRow(job) }],
        priority: WritePriority.NewWork,
      });
      const reply = await limitTime(work, deadlineMs);
      const result = reply === undefined ? Err(createUnknown()) : decideSubmit(reply);
      reportResult(reply?.status ?? 'timeout');
      return result;
    },
    async getState(admission, id) {
      const found = await findState(id);
      return found.map((row) =>
        row !== undefined && isVisible(row, admission) ? row.state : undefined,
      );
    },
    findCopy(admission, id) {
      const row = states.find(id);
      const isShown = row !== undefined && !isWithdrawn(row) && isVisible(row, admission);
      return isShown ? row.state : undefined;
    },
    async cancel(admission, id, deadlineMs) {
      const startedMs = clock.getNowMs();
      const result =
        (await limitTime(cancelJob(admission, id), deadlineMs)) ?? Err(createUnknown());
      logger.info('cancel_requested', {
        job: id,
        account: admission.account?.name,
        outcome: result.isOk() ? String(result.value) : result.error.code,
        tookMs: Math.round(clock.getNowMs() - startedMs),
      });
      return result;
    },
    countPending: (queue) =>
      states
        .list()
        .filter(([, row]) => row.queue === queue && row.state === JobState.Queued && !row.isTimed)
        .length,
  };
}
