/** All kinds of errors. Every error that leaves a process has one of them. */
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

/** What an error says about the execution of the caller's request. */
export enum Outcome {
  /** The work did not run; retrying is safe. */
  NotRun = 'not_run',
  /** The work may have run. A non-idempotent request must not be retried under a new id. */
  Unknown = 'unknown',
  /** The work ran, or was examined, and failed. */
  Failed = 'failed',
}

/** Exit codes of the command line interface, documented in docs/errors.md. */
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

/** An error as data, formatted only where it is output (HTTP response, log line, terminal). */
export interface Fault {
  code: FaultCode;
  /** Path of the invalid input, outermost part first; empty when the error concerns no input. */
  path: readonly (string | number)[];
  message: string;
  /** Delay after which the caller should retry, in milliseconds. */
  retryAfterMs?: number;
  /** Overrides the default outcome of the code where only the call site knows it. */
  outcome?: Outcome;
  /** Additional data for scripts, for example the competing change of a conflict. */
  details?: unknown;
}

/** HTTP status, default outcome and exit code of a kind of error. */
export interface FaultResponse {
  status: number;
  outcome: Outcome;
  exitCode: ExitCode;
}

function createResponse(status: number, outcome: Outcome, exitCode: ExitCode): FaultResponse {
  return { status, outcome, exitCode };
}

/** Response to each kind of error; documented in docs/errors.md. */
export const faultResponses: Readonly<Record<FaultCode, FaultResponse>> = {
  [FaultCode.BadRequest]: createResponse(400, Outcome.NotRun, ExitCode.Usage),
  [FaultCode.Unauthorized]: createResponse(401, Outcome.NotRun, ExitCode.Denied),
  [FaultCode.Forbidden]: createResponse(403, Outcome.NotRun, ExitCode.Denied),
  [FaultCode.NotFound]: createResponse(404, Outcome.NotRun, ExitCode.NotFound),
  [FaultCode.TooLarge]: createResponse(413, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.ReadTimeout]: createResponse(408, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.Conflict]: createResponse(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.DuplicateId]: createResponse(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.ConfigInvalid]: createResponse(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.Oversold]: createResponse(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.NeverFits]: createResponse(422, Outcome.NotRun, ExitCode.Invalid),
  [FaultCode.QuotaExceeded]: createResponse(429, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.QueueFull]: createResponse(429, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.DeadlineTooShort]: createResponse(503, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.DeadlineExceeded]: createResponse(504, Outcome.NotRun, ExitCode.Refused),
  [FaultCode.NoEndpoint]: createResponse(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.Draining]: createResponse(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.StoreUnavailable]: createResponse(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.StaleEpoch]: createResponse(409, Outcome.NotRun, ExitCode.Conflict),
  [FaultCode.NotOwner]: createResponse(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.WorkerUnavailable]: createResponse(503, Outcome.NotRun, ExitCode.Unavailable),
  [FaultCode.EndpointFailed]: createResponse(502, Outcome.Failed, ExitCode.Failed),
  [FaultCode.UnknownOutcome]: createResponse(504, Outcome.Unknown, ExitCode.Unknown),
  [FaultCode.JobFailed]: createResponse(500, Outcome.Failed, ExitCode.Failed),
  [FaultCode.Protocol]: createResponse(502, Outcome.Unknown, ExitCode.Unavailable),
  [FaultCode.Internal]: createResponse(500, Outcome.Unknown, ExitCode.Unknown),
};

/** Optional fields of a fault. */
export type FaultExtras = Partial<Pick<Fault, 'path' | 'retryAfterMs' | 'outcome' | 'details'>>;

/** Creates a fault; `path` defaults to empty. */
export function createFault(code: FaultCode, message: string, extras: FaultExtras = {}): Fault {
  return { path: [], ...extras, code, message };
}

/** Returns the outcome of a fault: its own, or the default of its code. */
export function getOutcome(fault: Fault): Outcome {
  return fault.outcome ?? faultResponses[fault.code].outcome;
}
