import type { TaskRecord } from '@bergamotreach/standin';
import { gangMembers } from './context.ts';
import type { ScenarioContext } from './context.ts';

/** Timing of the attempts of the gang. */
export interface GangTiming {
  /** Attempts in which at least one member ran. */
  attempts: number;
  /** Longest time during which only some members of an attempt ran, in milliseconds. */
  partialMs: number;
  /** Longest overlap of two consecutive attempts, in milliseconds. */
  overlapMs: number;
}

interface Span {
  startMs: number;
  endMs: number;
}

/** Remembers the run time of each task, even after its worker has lost its records. */
export interface GangWatch {
  stop(): GangTiming;
}

const scanIntervalMs = 100;

function getAttempt(taskId: string): number {
  return Number(taskId.split('/').at(-2));
}

/**
 * Longest time during which at least one but fewer than `total` spans overlap, in milliseconds,
 * whether or not all of them have started by then.
 */
function computePartialMs(spans: readonly Span[], total: number): number {
  const edges = [
    ...spans.map((span) => ({ atMs: span.startMs, step: 1 })),
    ...spans.map((span) => ({ atMs: span.endMs, step: -1 })),
  ].sort((left, right) => left.atMs - right.atMs);
  let running = 0;
  let longestMs = 0;
  let sinceMs: number | undefined;
  for (const { atMs, step } of edges) {
    running += step;
    const isPartial = running > 0 && running < total;
    if (isPartial) sinceMs ??= atMs;
    if (!isPartial && sinceMs !== undefined) {
      longestMs = Math.max(longestMs, atMs - sinceMs);
      sinceMs = undefined;
    }
  }
  return longestMs;
}

function computeOverlapMs(attempts: readonly Span[][]): number {
  const attemptSpans = attempts.map((spans) => ({
    startMs: Math.min(...spans.map((span) => span.startMs)),
    endMs: Math.max(...spans.map((span) => span.endMs)),
  }));
  attemptSpans.sort((left, right) => left.startMs - right.startMs);
  const overlaps = attemptSpans
    .slice(1)
    .map((span, index) => (attemptSpans[index]?.endMs ?? 0) - span.startMs);
  return Math.max(0, ...overlaps);
}

/** Samples the tasks of the gang on all workers until it is stopped. */
export function watchGang(context: ScenarioContext): GangWatch {
  const tasks = new Map<string, Span>();

  function updateTask(record: TaskRecord, nowMs: number): void {
    if (record.spec.jobId !== context.jobId || record.startedMs === undefined) return;
    const endMs = record.endedMs ?? nowMs;
    tasks.set(record.spec.taskId, { startMs: record.startedMs, endMs });
  }

  function scan(): void {
    const nowMs = context.cluster.platform.clock.getNowMs();
    for (const agent of context.cluster.platform.agents.values()) {
      for (const record of agent.listRecords()) updateTask(record, nowMs);
    }
  }

  const timer = setInterval(scan, scanIntervalMs);
  return {
    stop: () => {
      clearInterval(timer);
      scan();
      const attempts = new Map<number, Span[]>();
      for (const [taskId, span] of tasks) {
        const attempt = getAttempt(taskId);
        attempts.set(attempt, [...(attempts.get(attempt) ?? []), span]);
      }
      const groups = [...attempts.values()];
      return {
        attempts: groups.length,
        partialMs: Math.max(0, ...groups.map((spans) => computePartialMs(spans, gangMembers))),
        overlapMs: computeOverlapMs(groups),
      };
    },
  };
}
