import { ExitCode, FaultCode, createFault, faultResponses } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient, isRecord } from './client.ts';
import type { JsonRecord, OperatorClient, ServerFlags } from './client.ts';
import { parseInteger } from './flags.ts';
import { canUseColours } from './io.ts';
import type { CliIo } from './io.ts';
import type { CommandOutput } from './output.ts';
import { createColumns, listRecords, renderRecord, renderTable } from './table.ts';

const pollMs = 1000;
// A restarted daemon is back within seconds; a longer outage is reported to the user.
const maxFailedPolls = 30;

const jobColumns = [
  ...createColumns(['jobId', 'account', 'region', 'state']),
  ...['members', 'accelerators', 'within'].map((name) => ({
    heading: name.toUpperCase(),
    getCell: ({ spec }: JsonRecord) => (isRecord(spec) ? spec[name] : undefined),
  })),
  ...createColumns(['attempts', 'message']),
];

/** Formats the URL path of a job. */
export function formatJobPath(id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`;
}

/** Builds the output for one job record. */
export function buildJobOutput(job: JsonRecord): CommandOutput {
  return { data: job, text: renderRecord(job) };
}

/** Shows a job. */
export function showJob(
  io: CliIo,
  flags: ServerFlags,
  id: string,
): Promise<Result<CommandOutput, Fault>> {
  return callJob(io, flags, HttpMethod.Get, id);
}

/** Cancels a job. */
export function cancelJob(
  io: CliIo,
  flags: ServerFlags,
  id: string,
): Promise<Result<CommandOutput, Fault>> {
  return callJob(io, flags, HttpMethod.Delete, id);
}

async function callJob(
  io: CliIo,
  flags: ServerFlags,
  method: HttpMethod,
  id: string,
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  return (await client.value.sendRequest(method, formatJobPath(id))).map(buildJobOutput);
}

/** Lists jobs, optionally filtered by state and account. */
export async function listJobs(
  io: CliIo,
  flags: ServerFlags,
  filter: { state?: string | undefined; account?: string | undefined },
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const response = await client.value.sendRequest(HttpMethod.Get, '/v1/jobs');
  return response.map((data) => {
    const jobs = listRecords(data, 'jobs').filter(
      ({ state, account }) =>
        state === (filter.state ?? state) && account === (filter.account ?? account),
    );
    return { data: { jobs }, text: renderTable(jobs, jobColumns, canUseColours(io)) };
  });
}

/** Waits until a job ends. Faults: `job_failed` unless it is done, `deadline_exceeded`. */
export async function waitForJob(
  io: CliIo,
  flags: ServerFlags,
  id: string,
  timeout: string | undefined,
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const seconds = parseInteger('timeout', timeout, 0);
  if (seconds.isErr()) return seconds;
  return pollJob(io, client.value, id, seconds.value ?? Infinity);
}

async function pollJob(
  io: CliIo,
  client: OperatorClient,
  id: string,
  maxPolls: number,
): Promise<Result<CommandOutput, Fault>> {
  let failedPolls = 0;
  for (let polls = 0; ; polls += 1) {
    const response = await client.sendRequest(HttpMethod.Get, formatJobPath(id));
    if (response.isErr()) {
      failedPolls += 1;
      const { exitCode } = faultResponses[response.error.code];
      if (exitCode !== ExitCode.Unavailable || failedPolls > maxFailedPolls) return response;
    } else {
      failedPolls = 0;
      const result = getFinalResult(id, response.value);
      if (result !== undefined) return result;
    }
    if (polls >= maxPolls) {
      const message = `job ${id} has not ended within ${maxPolls} s`;
      return Err(createFault(FaultCode.DeadlineExceeded, message));
    }
    await io.wait(pollMs);
  }
}

function getFinalResult(id: string, job: JsonRecord): Result<CommandOutput, Fault> | undefined {
  if (job.state === 'done') return Ok(buildJobOutput(job));
  if (job.state !== 'failed' && job.state !== 'cancelled') return undefined;
  const reason = typeof job.message === 'string' && job.message !== '' ? `: ${job.message}` : '';
  const message = `job ${id} ${job.state}${reason}`;
  return Err(createFault(FaultCode.JobFailed, message, { details: { job } }));
}
