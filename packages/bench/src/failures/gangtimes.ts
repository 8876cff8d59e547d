import type { TaskRecord } from '@bergamotreach/standin';
import { gangMembers } from './scene.ts';
import type { Scene } from './scene.ts';

/** How the attempts of the gang ran in time. */
export interface GangTimes {
  /** Attempts of which a member executed. */
  attempts: number;
  /** Longest time for which a part of an attempt executed without the rest, in milliseconds. */
  partialMs: number;
  /** Longest time for which two attempts executed at once, in milliseconds. */
  overlapMs: number;
}

interface Span {
  startMs: number;
  endMs: number;
}

/** Keeps what is known of each task, also after a worker lost its records. */
export interface GangWatch {
  stop(): GangTimes;
}

const watchMs = 100;

function getAttempt(taskId: string): number {
  return Number(taskId.split('/').at(-2));
}

/** Time for which the number of open spans lies in [1, total), after all had started or not. */
function computePartialMs(spans: readonly Span[], total: number): number {
  const edges = [
    ...spans.map((span) => ({ atMs: span.startMs, step: 1 })),
    ...spans.map((span) => ({ atMs: span.endMs, step: -1 })),
  ].sort((left, right) => left.atMs - right.atMs);
  let open = 0;
  let longestMs = 0;
  let sinceMs: number | undefined;
  for (const { atMs, step } of edges) {
    open += step;
    const isPartial = open > 0 && open < total;
    if (isPartial) sinceMs ??= atMs;
    if (!isPartial && sinceMs !== undefined) {
      longestMs = Math.max(longestMs, atMs - sinceMs);
      sinceMs = undefined;
    }
  }
  return longestMs;
}

function computeOverlapMs(attempts: readonly Span[][]): number {
  const whole = attempts.map((spans) => ({
    startMs: Math.min(...spans.map((span) => span.startMs)),
    endMs: Math.max(...spans.map((span) => span.endMs)),
  }));
  whole.sort((left, right) => left.startMs - right.startMs);
  const overlaps = whole.slice(1).map((span, index) => (whole[index]?.endMs ?? 0) - span.startMs);
  return Math.max(0, ...overlaps);
}

/** Watches the tasks of the gang on all workers until it is stopped. */
export function watchGang(scene: Scene): GangWatch {
  const tasks = new Map<string, Span>();

  function noteRecord(record: TaskRecord, nowMs: number): void {
    if (record.spec.jobId !== scene.jobId || record.startedMs === undefined) return;
    const endMs = record.endedMs ?? nowMs;
    tasks.set(record.spec.taskId, { startMs: record.startedMs, endMs });
  }

  function scan(): void {
    const nowMs = scene.cluster.platform.clock.getNowMs();
    for (const agent of scene.cluster.platform.agents.values()) {
      for (const record of agent.listRecords()) noteRecord(record, nowMs);
    }
  }

  const timer = setInterval(scan, watchMs);
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
