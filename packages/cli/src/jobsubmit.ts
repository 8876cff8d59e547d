import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import { Err, Ok, Result } from 'ts-results-es';
import { HttpMethod, createOperatorClient } from './client.ts';
import type { JsonRecord, OperatorClient, ServerFlags } from './client.ts';
import { parseInteger } from './flags.ts';
import type { CliIo } from './io.ts';
import { buildJobOutput, formatJobPath } from './jobview.ts';
import type { CommandOutput } from './output.ts';

/** Flags of `job submit`. */
export interface SubmitFlags extends ServerFlags {
  id?: string | undefined;
  members: string;
  accelerators: string;
  cores: string;
  memory: string;
  within: string;
  urgent: boolean;
  seconds: string;
  region?: string | undefined;
  'data-centre'?: string | undefined;
  payload?: string | undefined;
  'payload-file'?: string | undefined;
}

/** Submits a job. After a lost response it looks the job up by id. */
export async function submitJob(
  io: CliIo,
  flags: SubmitFlags,
): Promise<Result<CommandOutput, Fault>> {
  const client = createOperatorClient(io, flags);
  if (client.isErr()) return client;
  const job = await buildJob(flags);
  if (job.isErr()) return job;
  const response = await client.value.sendRequest(HttpMethod.Post, '/v1/jobs', job.value);
  if (response.isOk()) return Ok(buildJobOutput(response.value));
  if (response.error.code !== FaultCode.UnknownOutcome) return response;
  return findSubmittedJob(client.value, String(job.value.jobId), response.error);
}

async function findSubmittedJob(
  client: OperatorClient,
  jobId: string,
  lostFault: Fault,
): Promise<Result<CommandOutput, Fault>> {
  const found = await client.sendRequest(HttpMethod.Get, formatJobPath(jobId));
  if (found.isOk()) return Ok(buildJobOutput(found.value));
  return Err({
    ...lostFault,
    message: `${lostFault.message}; job id ${jobId}`,
    details: { jobId },
  });
}

async function buildJob(flags: SubmitFlags): Promise<Result<JsonRecord, Fault>> {
  const numbers = Result.all([
    parseInteger('members', flags.members, 1),
    parseInteger('accelerators', flags.accelerators, 0),
    parseInteger('cores', flags.cores, 0),
    parseInteger('memory', flags.memory, 0),
    parseInteger('seconds', flags.seconds, 0),
  ]);
  if (numbers.isErr()) return numbers;
  const payload = await readPayload(flags);
  if (payload.isErr()) return payload;
  const [members, accelerators, cores, memoryMb, declaredSeconds] = numbers.value;
  const { within, urgent, region } = flags;
  return Ok({
    jobId: flags.id ?? randomUUID(),
    ...{ members, accelerators, cores, memoryMb, within, urgent, declaredSeconds },
    dataCentre: flags['data-centre'] ?? '',
    payload: payload.value,
    ...(region === undefined ? {} : { region }),
  });
}

async function readPayload(flags: SubmitFlags): Promise<Result<string, Fault>> {
  const path = flags['payload-file'];
  if (path === undefined) return Ok(flags.payload ?? '');
  if (flags.payload !== undefined) {
    const message = 'flags --payload and --payload-file exclude each other';
    return Err(createFault(FaultCode.BadRequest, message));
  }
  try {
    return Ok(await readFile(path, 'utf8'));
  } catch (error) {
    return Err(createFault(FaultCode.NotFound, `cannot read ${path}: ${(error as Error).message}`));
  }
}
