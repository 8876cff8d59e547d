/** Closed list of error kinds. Every error that leaves a process carries one of them. */
export enum FaultCode {
  BadRequest = 'bad_request',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  NotFound = 'not_found',
  TooLarge = 'too_large',
  ReadTimeout = 'read_timeout',
  Conflict = 'conflict',
  DuplicateId = 'duplicate_id',
  ConfigInvalid = 'config_invalid',
  Oversold = 'oversold',
  NeverFits = 'never_fits',
  QuotaExceeded = 'quota_exceeded',
  QueueFull = 'queue_full',
  DeadlineTooShort = 'deadline_too_short',
  DeadlineExceeded = 'deadline_exceeded',
  NoEndpoint = 'no_endpoint',
  Draining = 'draining',
  StoreUnavailable = 'store_unavailable',
  StaleEpoch = 'stale_epoch',
  NotOwner = 'not_owner',
  WorkerUnavailable = 'worker_unavailable',
  EndpointFailed = 'endpoint_failed',
  UnknownOutcome = 'unknown_outcome',
  JobFailed = 'job_failed',
  Protocol = 'protocol',
  Internal = 'internal',
}

/** What the caller may conclude about its request. */
export enum Outcome {
  /** The work certainly did not run; it is safe to send it again. */
  NotRun = 'not_run',
  /** The work may have run. A non-idempotent request must not be sent again under a new id. */
  Unknown = 'unknown',
  /** The work ran, or was examined, and failed. */
  Failed = 'failed',
}

/** Exit codes of the command line, documented in docs/errors.md. */
export enum ExitCode {
  Ok = 0,
  Usage = 2,
  Invalid = 3,
  Conflict = 4,
  Denied = 5,
  NotFound = 6,
  Refused = 7,
  Unavailable = 8,
  Unknown = 9,
  Failed = 10,
}

/** An error as data. Formatting happens at the edge (HTTP answer, log line, terminal). */
export interface Fault {
  code: FaultCode;
  /** Where in the input the error lies, outermost first; empty when it concerns no input. */
  path: readonly (string | number)[];
  message: string;
  /** When the caller should try again, in milliseconds from now. */
  retryAfterMs?: number;
  /** Overrides the outcome of the answer table where only the call site knows it. */
  outcome?: Outcome;
  /** Further data for scripts, for example the competing change of a conflict. */
  details?: unknown;
}

/** How a kind of error is answered. */
export interface FaultAnswer {
  /** HTTP status. */
  status: number;
  outcome: Outcome;
  exitCode: ExitCode;
}

function createAnswer(status: number, outcome: Outcome, exitCode: ExitCode): FaultAnswer {
  return { status, outcome, exitCode };
}

/** The one table from error kind to answer. */
export const faultAnswers: Readonly<Record<FaultCode, FaultAnswer>> = {
  [FaultCode.BadRequest]: createAnswer(400, Outcome.NotRun, ExitCode.Usage),
  [FaultCode.Unauthorized]: createAnswer(401, Outcome.NotRun, ExitCode.Denied),
  [FaultCode.Forbidden]: createAnswer(403, Outcome.NotRun, ExitCode.Denied),
  [FaultCode.NotFound]: createAnswer(404, Outcome.NotRun, ExitCode.NotFound),
  [FaultCode.TooLarge]: createAnswer(413, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.ReadTimeout]: createAnswer(408, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.Conflict]: createAnswer(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.DuplicateId]: createAnswer(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.ConfigInvalid]: createAnswer(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.Oversold]: createAnswer(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.NeverFits]: createAnswer(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.QuotaExceeded]: createAnswer(429, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.QueueFull]: createAnswer(429, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.DeadlineTooShort]: createAnswer(503, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.DeadlineExceeded]: createAnswer(504, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.NoEndpoint]: createAnswer(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.Draining]: createAnswer(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.StoreUnavailable]: createAnswer(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.StaleEpoch]: createAnswer(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.NotOwner]: createAnswer(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.WorkerUnavailable]: createAnswer(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.EndpointFailed]: createAnswer(502, Outcome.Failed, ExitCode.Failed),
  [FaultCode.UnknownOutcome]: createAnswer(504, Outcome.Unknown, ExitCode.Unknown),
  [FaultCode.JobFailed]: createAnswer(500, Outcome.Failed, ExitCode.Failed),
  [FaultCode.Protocol]: createAnswer(502, Outcome.Unknown, ExitCode.Unavailable),
  [FaultCode.Internal]: createAnswer(500, Outcome.Unknown, ExitCode.Unknown),
};

/** Optional fields of a fault. */
export type FaultExtras = Partial<Pick<Fault, 'path' | 'retryAfterMs' | 'outcome' | 'details'>>;

/** Creates a fault; `path` defaults to empty. */
export function createFault(code: FaultCode, message: string, extras: FaultExtras = {}): Fault {
  return { path: [], ...extras, code, message };
}

/** Outcome that the answer to a fault states: the fault's own one, else that of the table. */
export function getOutcome(fault: Fault): Outcome {
  return fault.outcome ?? faultAnswers[fault.code].outcome;
}
