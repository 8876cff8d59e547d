import { readFileSync } from 'node:fs';
import { FaultCode, createFault } from '@bergamotreach/protocol';
import type { Fault } from '@bergamotreach/protocol';
import type { CommandDef } from 'citty';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { createCommand } from '../command.ts';
import type { CliIo } from '../io.ts';
import { parseLogs } from '../logevents.ts';
import type { LogEvent } from '../logevents.ts';
import { collectJobs, listJobEvents, buildLogReport } from '../logreport.ts';
import type { JobHistory, LogReport } from '../logreport.ts';
import { printResult } from '../output.ts';
import type { CommandOutput } from '../output.ts';
import { createColumns, renderRecord, renderTable } from '../table.ts';

const logFlags = {
  json: { type: 'boolean', default: false, description: 'Print JSON' },
  file: {
    type: 'positional',
    required: true,
    description: 'Log files of all instances, one or more',
  },
} as const;

/** Creates `log`, which analyses the logs of all instances. */
export function createLogCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'log', description: 'Explain waits, stops and takeovers from log files' },
    subCommands: { job: createLogJobCommand(io), report: createLogReportCommand(io) },
  });
}

function createLogReportCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'report', description: 'Waits, lost work and time without an owner' },
    args: logFlags,
    run: ({ args }) => {
      const report = readLogs(args._).map(buildLogReport).map(renderReport);
      return printResult(io, args.json, Promise.resolve(report));
    },
  });
}

function createLogJobCommand(io: CliIo): CommandDef {
  return createCommand({
    meta: { name: 'job', description: 'History of one job' },
    args: {
      id: { type: 'positional', required: true, description: 'Id of the job' },
      ...logFlags,
    },
    run: ({ args }) => {
      const [, ...paths] = args._;
      const history = readLogs(paths).andThen((events) => renderJob(events, args.id));
      return printResult(io, args.json, Promise.resolve(history));
    },
  });
}

/** Reads log files. Faults: `bad_request` (no file, an unreadable file, or no events). */
function readLogs(paths: readonly string[]): Result<LogEvent[], Fault> {
  if (paths.length === 0) return Err(createFault(FaultCode.BadRequest, 'no log file given'));
  const texts: string[] = [];
  for (const path of paths) {
    try {
      texts.push(readFileSync(path, 'utf8'));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return Err(createFault(FaultCode.BadRequest, `cannot read ${path}: ${reason}`));
    }
  }
  const events = parseLogs(texts);
  if (events.length > 0) return Ok(events);
  return Err(createFault(FaultCode.BadRequest, `no log events in ${paths.join(', ')}`));
}

function renderReport(report: LogReport): CommandOutput {
  const waitColumns = createColumns([
    'queue',
    'account',
    'jobs',
    'neverStarted',
    'p50Ms',
    'p95Ms',
    'mostMs',
    'mostOvertaken',
  ]);
  const lostColumns = createColumns(['cause', 'stops', 'coreSeconds']);
  const rows = report.waits.map((wait) => ({ ...wait }));
  const text = [
    renderTable(rows, waitColumns, false),
    renderTable(
      report.lost.map((row) => ({ ...row })),
      lostColumns,
      false,
    ),
    renderRecord({ ownerlessMs: report.ownerlessMs, takeovers: report.takeovers }),
  ].join('\n');
  return { data: report, text };
}

function formatEvent({ atMs, process, event, fields }: LogEvent): string {
  const hidden = new Set(['time', 'level', 'process', 'event']);
  const shown = Object.entries(fields).filter(([key]) => !hidden.has(key));
  const pairs = shown.map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(' ');
  return `${new Date(atMs).toISOString()} ${process} ${event} ${pairs}\n`;
}

function formatJob(job: JobHistory): Record<string, unknown> {
  const { startedAtMs, endedAtMs, acceptedAtMs, stops, ...rest } = job;
  return {
    ...rest,
    acceptedAt: new Date(acceptedAtMs).toISOString(),
    waitedMs: startedAtMs === undefined ? 'not started' : startedAtMs - acceptedAtMs,
    tookMs: endedAtMs === undefined ? 'not ended' : endedAtMs - acceptedAtMs,
    stops: Object.fromEntries(stops),
  };
}

/** Renders the history of a job. Faults: `not_found` when no event names it. */
function renderJob(events: readonly LogEvent[], id: string): Result<CommandOutput, Fault> {
  const jobEvents = listJobEvents(events, id);
  if (jobEvents.length === 0) return Err(createFault(FaultCode.NotFound, `no events of job ${id}`));
  const job = collectJobs(jobEvents)[0];
  const summary = job === undefined ? {} : formatJob(job);
  const text = `${renderRecord(summary)}\n${jobEvents.map(formatEvent).join('')}`;
  return Ok({ data: { job: summary, events: jobEvents }, text });
}
