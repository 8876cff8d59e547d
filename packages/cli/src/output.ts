import { ExitCode, Outcome, faultResponses, getOutcome } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { Result } from 'ts-results-es';
import { isRecord } from './client.ts';
import { renderConflict } from './conflictview.ts';
import type { CliIo } from './io.ts';

/** Output of a successful command. */
export interface CommandOutput {
  /** Printed with `--json`. */
  data: unknown;
  /** Printed without `--json`; ends with a newline unless empty. */
  text: string;
}

/** Prints the result of a command and resolves to its exit code. */
export async function printResult(
  io: CliIo,
  isJson: boolean,
  pending: Promise<Result<CommandOutput, Fault>>,
): Promise<ExitCode> {
  const result = await pending;
  if (result.isErr()) return printFault(io, isJson, result.error);
  const { data, text } = result.value;
  io.writeOut(isJson ? `${JSON.stringify(data)}\n` : text);
  return ExitCode.Ok;
}

/** Prints a fault on standard error and returns its exit code. */
export function printFault(io: CliIo, isJson: boolean, fault: Fault): ExitCode {
  io.writeErr(isJson ? `${JSON.stringify({ error: fault })}\n` : formatFault(fault));
  return faultResponses[fault.code].exitCode;
}

function formatFault(fault: Fault): string {
  const lines = [`error: ${fault.code}: ${fault.message}`, ...formatDetails(fault)];
  if (fault.retryAfterMs !== undefined) lines.push(`try again in ${fault.retryAfterMs} ms`);
  if (getOutcome(fault) === Outcome.Unknown) lines.push('it is not known whether it took effect');
  return lines.map((line) => `${line}\n`).join('');
}

function formatDetails({ details }: Fault): string[] {
  if (!isRecord(details)) return [];
  if (Array.isArray(details.faults)) {
    return details.faults
      .filter(isRecord)
      .map(({ code, message }) => `  ${String(code)}: ${String(message)}`);
  }
  return Array.isArray(details.files) ? renderConflict(details) : [];
}
