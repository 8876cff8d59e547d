import { TransactionStatus, WritePriority } from '@bergamotreach/ownership';
import type { GroupCommitter, TransactionReply } from '@bergamotreach/ownership';
import type { Row, ServiceContact, Table } from '@bergamotreach/hosting';
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
import { isConfigTrusted } from './configtrust.ts';
import { createConfigWaits } from './configwaits.ts';
import type { JobRequest } from './jobrequest.ts';
import { createHeldWork, computeJobBytes } from './heldwork.ts';
import {
  checkJobRow,
  checkStateRow,
  createStateRow,
  encodeRow,
  getJobKey,
  getStateKey,
} from './jobrows.ts';
import type { JobRow, StateRow } from './jobrows.ts';
import type { ConfigReplica } from './operatorrows.ts';
import { encodePacked } from './packedrow.ts';
import type { TableReplica } from './tablereplica.ts';

/** Options of the job service. */
export interface JobServiceOptions {
  table: Table;
  committer: GroupCommitter;
  states: TableReplica<StateRow>;
  configs: ConfigReplica;
  storeContact: Pick<ServiceContact, 'getSilenceMs' | 'getContactMs'>;
  /** Time within which a configuration must be in force after the store has acknowledged it, in milliseconds. */
  configApplyMs: number;
  /** Time within which the store is expected to answer a call now, in milliseconds. */
  getExpectedStoreMs: () => number;
  /** Memory that accepted jobs may make an owner hold, in bytes. */
  maxHeldBytes: number;
  clock: Clock;
  /** Unix time in milliseconds. */
  getWallMs: () => number;
  logger: Logger;
  metrics: Metrics;
}

/** The queue and account that a caller's host, path and key resolve to. */
export interface Admission {
  queue: QueueConfig;
  /** Absent on a public queue that was called without a known key. */
  account: AccountConfig | undefined;
  /** Version of the configuration that was used. */
  version: number;
  /** The caller's original input, from which a peer admits a relayed call itself. */
  call: { host: string; path: string; key: string | undefined };
}

/** The operations on jobs that callers use. */
export interface JobService {
  /**
   * Resolves the queue and the account of a call. Faults: `store_unavailable` (no configuration yet, or a newer
   * one is arriving), `not_found` (no such queue), `unauthorized` (unknown key).
   */
  admit(host: string, path: string, key: string | undefined): Promise<Result<Admission, Fault>>;
  /**
   * Accepts a job; idempotent for a repeated id. Faults: `store_unavailable` (not accepted and
   * never will be), `too_large` (the store cannot hold it), `quota_exceeded` (accepted jobs take the memory),
   * `unknown_outcome` (may have been accepted; repeat with the same id).
   */
  submit(
    admission: Admission,
    request: JobRequest,
    deadlineMs: number,
  ): Promise<Result<undefined, Fault>>;
  /** State of a job; `undefined` if there is none. Faults: `store_unavailable`. */
  getState(
    admission: Admission,
    id: string,
    deadlineMs: number,
  ): Promise<Result<JobState | undefined, Fault>>;
  /** State of a job in the local replica, however old; `undefined` if it is not there. */
  findCachedState(admission: Admission, id: string): JobState | undefined;
  /**
   * Cancels a job; false if there is none. A job submitted later under the same id never runs.
   * Faults: `store_unavailable`, `unknown_outcome`.
   */
  cancel(admission: Admission, id: string, deadlineMs: number): Promise<Result<boolean, Fault>>;
  /** Number of jobs in a queue of which no task has started; timed jobs are not counted. */
  countPending(queue: string): number;
}

const anonymousAccount = '';
/** Answers are sent this long before the caller's deadline. */
const answerMarginMs = 150;
/**
 * A store call that is undecided after this time is answered with `unknown_outcome`, so that the
 * caller, who repeats with the same id, can still reach another instance before its deadline.
 */
const minUnknownAfterMs = 900;
/**
 * With a slow store, a repeated call only adds to the work of the store, so the call is left undecided for
 * this many times as long as the store takes to answer.
 */
const unknownAfterFactor = 3;
const retryAfterMs = 1000;
/** Accepted jobs end within seconds or hours; callers that come back sooner only add to the load. */
const fullRetryAfterMs = 5000;
/**
 * A refusal by a configuration replica confirmed this recently needs no check against the store.
 */
const freshConfigMs = 300;
/**
 * A call that waited longer for a newer configuration is not decided by it: later calls have been decided by the older
 * one, and an instance must not seem to go back.
 */
const maxOvertakenMs = 200;
/**
 * A store without an answer for this long counts as unreachable, and new jobs are refused at once.
 */
const storeUnreachableAfterMs = 1600;
/**
 * A store whose reads have failed for this long also counts as unreachable; a single lost connection
 * is replaced sooner.
 */
const storeOutageLimitMs = 250;
const maxCancelAttempts = 4;

function isTombstone(row: StateRow): boolean {
  return row.isWithdrawn === true;
}

interface StoredState {
  state: StateRow;
  /** Version of the state row; 0 if there is none. */
  version: number;
}

/** Creates the job service of an instance. */
export function createJobService(options: JobServiceOptions): JobService {
  const { committer, states, configs, storeContact, clock, getWallMs, logger, metrics } = options;
  const heldWork = createHeldWork(states, clock);
  // Refused calls, which anyone can send, must not use up what allowed calls wait with.
  const refusedWaits = createConfigWaits({ clock, refresh: () => configs.refresh() });
  const allowedWaits = createConfigWaits({ clock, refresh: () => configs.refresh() });

  function getConfig(): ServiceConfig | undefined {
    return configs.find();
  }

  /** Keys may have been revoked, and queues changed, since a configuration that is not trusted. */
  function isTrusted(): boolean {
    const evidence = {
      ageMs: configs.getAgeMs(),
      outageMs: configs.getOutageMs(),
      storeSilenceMs: storeContact.getSilenceMs(),
      storeContactMs: storeContact.getContactMs(),
    };
    return isConfigTrusted(evidence, options.configApplyMs);
  }

  function isStoreUnreachable(): boolean {
    const ageMs = Math.min(states.getAgeMs(), configs.getAgeMs());
    const outageMs = Math.max(states.getOutageMs(), configs.getOutageMs());
    return ageMs > storeUnreachableAfterMs || outageMs > storeOutageLimitMs;
  }

  function createUnavailable(message: string): Fault {
    return createFault(FaultCode.StoreUnavailable, message);
  }

  function createUnconfirmedFault(): Fault {
    const message = 'the configuration is not confirmed in time';
    return createFault(FaultCode.StoreUnavailable, message, { retryAfterMs });
  }

  function resolveAdmission(
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

  /** Limits how long the caller waits; the work itself continues. */
  async function limitTime<T>(work: Promise<T>, deadlineMs: number): Promise<T | undefined> {
    const slowStoreMs = unknownAfterFactor * options.getExpectedStoreMs();
    const unknownAfterMs = Math.max(minUnknownAfterMs, slowStoreMs);
    const limitMs = Math.min(deadlineMs - answerMarginMs, unknownAfterMs);
    const timeout = waitFor(clock, Math.max(0, limitMs));
    return Promise.race([work, timeout.then(() => undefined)]);
  }

  function createUnknownOutcome(): Fault {
    const message = 'the store did not answer in time; repeat with the same id';
    return createFault(FaultCode.UnknownOutcome, message, { retryAfterMs });
  }

  function createFullFault(jobBytes: number, usedBytes: number): Fault {
    const message =
      `not accepted: the job takes ${jobBytes} bytes of memory until it ends, and accepted jobs ` +
      `take ${usedBytes} of ${options.maxHeldBytes}`;
    return createFault(FaultCode.QuotaExceeded, message, { retryAfterMs: fullRetryAfterMs });
  }

  function decideSubmit(reply: TransactionReply): Result<undefined, Fault> {
    return match(reply)
      .with({ status: TransactionStatus.Committed }, () => Ok(undefined))
      .with({ status: TransactionStatus.Conflict }, () => Ok(undefined))
      .with({ status: TransactionStatus.Unavailable }, ({ message }) =>
        Err(createUnavailable(`not accepted: ${message}`)),
      )
      .with({ status: TransactionStatus.Rejected }, ({ message }) =>
        Err(createFault(FaultCode.TooLarge, `the job cannot be stored: ${message}`)),
      )
      .with({ status: TransactionStatus.Unknown }, () => Err(createUnknownOutcome()))
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

  async function readRow(id: string, key: string): Promise<Result<Row | undefined, Fault>> {
    const found = await options.table.getRow(key);
    return found.mapErr((fault) => {
      if (fault.code !== FaultCode.Protocol) return fault;
      logger.error('job_row_refused', { job: id, row: key, reason: fault.message });
      return createUnavailable('a row of the job cannot be read');
    });
  }

  /** Reads the state of a job; version 0 if no owner has adopted the job yet. */
  async function readState(id: string): Promise<Result<StoredState | undefined, Fault>> {
    const found = await readRow(id, getStateKey(id));
    if (found.isErr()) return found;
    const row = found.value;
    if (row === undefined) return readUnadoptedJob(id);
    return decodeRow(id, row, checkStateRow).map((state) => ({ state, version: row.version }));
  }

  async function readUnadoptedJob(id: string): Promise<Result<StoredState | undefined, Fault>> {
    const found = await readRow(id, getJobKey(id));
    if (found.isErr()) return found;
    if (found.value === undefined) return Ok(undefined);
    return decodeRow(id, found.value, checkJobRow).map(({ submission, acceptedAtMs }) => ({
      state: createStateRow(submission, JobState.Queued, acceptedAtMs),
      version: 0,
    }));
  }

  /**
   * Finds the state of a job. The replica may lag, so it is used only for final states; otherwise
   * the store decides whether the job exists and what its state is.
   */
  async function findState(id: string): Promise<Result<StateRow | undefined, Fault>> {
    const known = states.find(id);
    if (known !== undefined && isFinal(known.state) && !isTombstone(known)) return Ok(known);
    if (isStoreUnreachable()) return Err(createUnavailable('the store is unreachable'));
    const stored = await readState(id);
    if (stored.isErr()) return stored;
    const state = stored.value?.state;
    if (state === undefined || !isTombstone(state)) return Ok(state);
    return (await readUnadoptedJob(id)).map((job) => (job === undefined ? undefined : state));
  }

  function createTombstone({ queue, account }: Admission): StateRow {
    return {
      state: JobState.Cancelled,
      queue: queue.name,
      account: account?.name ?? anonymousAccount,
      isTimed: false,
      changedAtMs: Math.round(getWallMs()),
      isWithdrawn: true,
    };
  }

  async function tryCancel(
    admission: Admission,
    id: string,
  ): Promise<Result<boolean, Fault> | undefined> {
    const stored = await readState(id);
    if (stored.isErr()) return Err(createUnavailable(stored.error.message));
    const isFound = stored.value !== undefined;
    const { state, version } = stored.value ?? { state: createTombstone(admission), version: 0 };
    if (!isVisible(state, admission)) return Ok(false);
    if (isFound && isFinal(state.state)) return Ok(!isTombstone(state));
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
      .with({ status: TransactionStatus.Rejected }, ({ message }) =>
        Err(createUnavailable(message)),
      )
      .with({ status: TransactionStatus.Unknown }, () => Err(createUnknownOutcome()))
      .exhaustive();
  }

  async function cancelJob(admission: Admission, id: string): Promise<Result<boolean, Fault>> {
    for (let attempt = 0; attempt < maxCancelAttempts; attempt += 1) {
      const result = await tryCancel(admission, id);
      if (result !== undefined) return result;
    }
    return Err(createUnknownOutcome());
  }

  return {
    async admit(host, path, key) {
      const config = getConfig();
      if (config === undefined) return Err(createUnavailable('no configuration yet'));
      const decided = resolveAdmission(config, host, path, key);
      // A key or queue may be newer than the replica, so a refusal is checked against the store.
      const isDecided = decided.isOk() ? isTrusted() : configs.getAgeMs() < freshConfigMs;
      if (isDecided) return decided;
      // A refusal cannot be confirmed now.
      if (decided.isErr() && configs.getOutageMs() > 0) return Err(createUnconfirmedFault());
      // Calls that the old configuration allows are decided meanwhile.
      const canOvertake = decided.isErr() && isTrusted();
      const waitedFromMs = clock.getNowMs();
      const isRefreshed = await (decided.isOk() ? allowedWaits : refusedWaits).waitForRead();
      // A newer configuration may allow what this one refuses, and the reverse.
      const isLate = isRefreshed === undefined && configs.getOutageMs() === 0;
      if (isLate || (isRefreshed !== true && !isTrusted())) {
        return Err(createUnconfirmedFault());
      }
      const current = getConfig() ?? config;
      const isOvertaken =
        current.version !== config.version && clock.getNowMs() - waitedFromMs > maxOvertakenMs;
      if (canOvertake && isOvertaken) return Err(createUnconfirmedFault());
      return resolveAdmission(current, host, path, key);
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
        ...(queue.advice === undefined ? {} : { advice: queue.advice }),
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
      if (known !== undefined && !isTombstone(known)) {
        reportResult('known');
        return Ok(undefined);
      }
      if (isStoreUnreachable()) {
        reportResult('refused_store_away');
        return Err(createUnavailable('not accepted: the store is unreachable'));
      }
      const jobBytes = computeJobBytes(submission);
      const usedBytes = heldWork.getUsedBytes();
      // A repeat is not refused while an earlier attempt may still be stored.
      const isFull = usedBytes + jobBytes > options.maxHeldBytes;
      if (isFull && !heldWork.isReserved(request.id)) {
        // The repeat of a job that no state shows yet must not be refused.
        const stored = await options.table.getRow(getJobKey(request.id));
        if (stored.isErr()) {
          reportResult('refused_store_away');
          return Err(createUnavailable(`not accepted: ${stored.error.message}`));
        }
        if (stored.value !== undefined) {
          reportResult('known');
          return Ok(undefined);
        }
        reportResult('refused_memory');
        return Err(createFullFault(jobBytes, usedBytes));
      }
      heldWork.reserve(request.id, jobBytes);
      const { rowBytes } = options.table.getLimits();
      const job: JobRow = { submission, acceptedAtMs: Math.round(getWallMs()) };
      const work = committer.submit({
        // The state row is left to the owner: job rows and the owner's rows are in different
        // partitions, so that with a store that is slow per partition neither delays the other.
        conditions: [{ key: getJobKey(request.id), version: 0 }],
        writes: [{ key: getJobKey(request.id), value: encodePacked(encodeRow(job), rowBytes) }],
        priority: WritePriority.NewWork,
      });
      const reply = await limitTime(work, deadlineMs);
      const result = reply === undefined ? Err(createUnknownOutcome()) : decideSubmit(reply);
      // Without an outcome the job may still be stored.
      if (result.isOk()) heldWork.reserve(request.id, jobBytes);
      else if (result.error.code !== FaultCode.UnknownOutcome) heldWork.release(request.id);
      reportResult(reply?.status ?? 'timeout');
      return result;
    },
    async getState(admission, id) {
      const found = await findState(id);
      return found.map((row) =>
        row !== undefined && isVisible(row, admission) ? row.state : undefined,
      );
    },
    findCachedState(admission, id) {
      const row = states.find(id);
      const isShown = row !== undefined && !isTombstone(row) && isVisible(row, admission);
      return isShown ? row.state : undefined;
    },
    async cancel(admission, id, deadlineMs) {
      const startedMs = clock.getNowMs();
      const result =
        (await limitTime(cancelJob(admission, id), deadlineMs)) ?? Err(createUnknownOutcome());
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
