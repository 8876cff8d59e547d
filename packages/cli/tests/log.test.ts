import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { ExitCode } from '@bergamotreach/protocol';
import { expect } from 'earl';
import { parseLogLine, parseLogs } from '../src/logevents.ts';
import { collectJobs, buildLogReport } from '../src/logreport.ts';
import { runCli } from '../src/run.ts';

const startMs = Date.parse('2026-05-01T10:00:00.000Z');

function formatLine(atMs: number, process: string, text: string): string {
  const time = new Date(startMs + atMs).toISOString();
  return `time=${time} level=info process=${process} ${text}\n`;
}

function formatJob(id: string, atMs: number, waitMs: number): string {
  return [
    formatLine(
      atMs,
      'i1',
      `event=job_adopted job=${id} queue=q account=a state=queued priority=1 steps=1 ageMs=0`,
    ),
    formatLine(atMs + waitMs, 'i1', `event=start_sent task=${id}.0.0.0 run=1 fate=started`),
  ].join('');
}

// Guards against misreading values with spaces, and against parsing other lines as events.
test('lines with quoted values are parsed', () => {
  const line = formatLine(5, 'i1', 'event=task_stopped task=j.0.0.1 run=2 reason="preempted by k"');
  expect(parseLogLine(line)?.fields).toEqual({
    time: '2026-05-01T10:00:00.005Z',
    level: 'info',
    process: 'i1',
    event: 'task_stopped',
    task: 'j.0.0.1',
    run: '2',
    reason: 'preempted by k',
  });
  expect(parseLogLine('Listening on port 80')).toEqual(undefined);
});

// Guards against missing a job that later ones overtook.
test('overtaken jobs are counted', () => {
  const lines = [formatJob('old', 0, 9000), formatJob('b', 100, 20), formatJob('c', 200, 20)];
  const { waits } = buildLogReport(parseLogs(lines));
  expect(waits.map(({ jobs, mostOvertaken, mostMs }) => [jobs, mostOvertaken, mostMs])).toEqual([
    [3, 2, 9000],
  ]);
});

// Guards against attributing lost work to the wrong cause, and against counting saved work as lost.
test('lost work is summed by cause', () => {
  const run = 'task=j.0.0.0 run=1';
  const lines = [
    formatJob('j', 0, 20),
    formatLine(500, 'i1', `event=task_stopped ${run} worker=w reason="preempted by k.0.0"`),
    formatLine(800, 'i1', `event=run_ended ${run} end=stopped ranMs=780 lostCoreSeconds=40`),
    formatLine(900, 'i1', 'event=run_ended task=j.0.0.1 run=1 end=failed lostCoreSeconds=3'),
  ];
  expect(buildLogReport(parseLogs(lines)).lost).toEqual([
    { cause: 'preempted', stops: 1, coreSeconds: 40 },
    { cause: 'not stopped, failed', stops: 1, coreSeconds: 3 },
  ]);
  const [job] = collectJobs(parseLogs(lines));
  expect([job?.lostCoreSeconds, job?.stops.get('preempted')]).toEqual([43, 1]);
});

// Guards against takeovers whose duration is not reported.
test('time without an owner is measured across several logs', () => {
  const first = [
    formatLine(0, 'i1', 'event=owner_started epoch=1'),
    formatLine(4000, 'i1', 'event=lease_state region=main state=suspended epoch=1'),
    formatLine(9000, 'i1', 'event=lease_state region=main state=waiting epoch=1'),
  ].join('');
  const second = formatLine(5200, 'i2', 'event=owner_started epoch=2');
  const { ownerlessMs, takeovers } = buildLogReport(parseLogs([second, first]));
  expect([ownerlessMs, takeovers]).toEqual([1200, 1]);
});

// Guards against operators who cannot find out why a job did not start.
test('the history of a job shows why it waits', async () => {
  const folder = mkdtempSync(join(tmpdir(), 'log-'));
  const path = join(folder, 'i1.log');
  const text =
    formatLine(0, 'i1', 'event=job_adopted job=j queue=q account=a priority=1 ageMs=0') +
    formatLine(900, 'i1', 'event=job_waits job=j reason=rack ageMs=900 ahead=3');
  writeFileSync(path, text);
  const output: string[] = [];
  const io = {
    writeOut: (part: string) => void output.push(part),
    writeErr: (part: string) => void output.push(part),
    env: {},
    isTerminal: false,
    wait: () => Promise.resolve(),
  };
  expect(await runCli(['log', 'job', 'j', path], io)).toEqual(ExitCode.Ok);
  expect(output.join('').includes('waitReason       rack')).toEqual(true);
  expect(await runCli(['log', 'job', 'other', path], io)).toEqual(ExitCode.NotFound);
  expect(await runCli(['log', 'report', join(folder, 'absent')], io)).toEqual(ExitCode.Usage);
  rmSync(folder, { recursive: true });
});
