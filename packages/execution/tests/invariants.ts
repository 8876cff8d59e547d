import { JobState, isEnded } from '@bergamotreach/ownership';
import type { LeaseRecord } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { AcceptedCommit } from '../../ownership/tests/faketable.ts';
import { region } from '../../ownership/tests/setup.ts';
import type { GangJobRecord } from '../src/index.ts';
import type { AcceptedBatch } from './fakeworkers.ts';
import type { World } from './world.ts';

/** Lease less margin, as promised by the design page. */
const leaseMs = 2_500;

const allowed: Record<JobState, JobState[]> = {
  [JobState.Queued]: [JobState.Queued, JobState.Starting, JobState.Failed, JobState.Cancelled],
  [JobState.Starting]: [JobState.Starting, JobState.Running, JobState.Queued, JobState.Cancelled],
  [JobState.Running]: [JobState.Running, JobState.Queued, JobState.Done, JobState.Cancelled],
  [JobState.Done]: [],
  [JobState.Failed]: [],
  [JobState.Cancelled]: [],
};

/**
 * Longest time that a part of a gang may run: a worker is noticed as lost, its task lease runs
 * out, and calls and polls in between.
 */
const maxPartMs = 60_000;

/** Watches a world from outside; collects what must never happen. */
export function createInvariants(world: World) {
  const { state, fleet } = world;
  const violations: string[] = [];
  const holders = new Map<number, string>();
  const leaseSentMs = new Map<string, number>();
  const records = new Map<string, GangJobRecord>();
  const workerEpochs = new Map<string, number>();
  const held = new Set<string>();
  /** Start of a job to the time since which only a part of it runs. */
  const partSinceMs = new Map<string, number>();

  function check(isTrue: boolean, what: string): void {
    if (!isTrue) violations.push(`${world.clock.getNowMs()}: ${what}`);
  }

  function getHolder(): string | undefined {
    return holders.get(Math.max(...holders.keys()));
  }

  function listRunning(jobId: string): string[] {
    return fleet
      .listTasks()
      .filter(({ task }) => task.jobId === jobId && task.state === TaskState.Running)
      .map(({ task }) => task.taskId);
  }

  function listTaskIds({ jobId, placement }: GangJobRecord): string[] {
    const members = placement?.members ?? [];
    return members.map(({ member }) => `${jobId}/${placement?.attempt ?? 0}/${member}`);
  }

  function checkJobWrite(next: GangJobRecord, commit: AcceptedCommit): void {
    const { jobId } = next;
    const before = records.get(jobId);
    records.set(jobId, next);
    if (before === undefined) return;
    check(allowed[before.state].includes(next.state), `${jobId}: ${before.state} to ${next.state}`);
    if (before.state === next.state) return;
    check(commit.processId === getHolder(), `${jobId} written by deposed ${commit.processId}`);
    if (next.state === JobState.Running) {
      check(
        listTaskIds(next).every((id) => held.has(id)),
        `${jobId} running, not all held`,
      );
    } else {
      check(listRunning(jobId).length === 0, `${jobId} ${next.state} while members run`);
    }
  }

  state.listeners.push((commit) => {
    for (const { key, value } of commit.writes) {
      if (value === null) continue;
      if (key === `epoch/${region}`) {
        const { epoch, holder } = value as { epoch: number; holder: string };
        check(!holders.has(epoch) && epoch === holders.size + 1, `epoch ${epoch} taken twice`);
        holders.set(epoch, holder);
      } else if (key === `owner/${region}`) {
        const { holder } = value as unknown as LeaseRecord;
        leaseSentMs.set(commit.processId, holder === '' ? -Infinity : commit.sentMs);
      } else if (key.startsWith('job/')) {
        checkJobWrite(value as unknown as GangJobRecord, commit);
      }
    }
  });

  function isRenewal({ commands }: AcceptedBatch): boolean {
    return commands.every(({ kind }) => kind === CommandKind.Renew);
  }

  // Renewals are safe without the lease; everything else needs it when it is sent.
  fleet.sendListeners.push((batch) => {
    const untilMs = (leaseSentMs.get(batch.processId) ?? -Infinity) + leaseMs;
    check(isRenewal(batch) || batch.sentMs < untilMs, `${batch.processId} acts without the lease`);
  });

  fleet.listeners.push((batch) => {
    const { worker, epoch, processId, commands } = batch;
    check(epoch >= (workerEpochs.get(worker) ?? 0), `${worker} went back to epoch ${epoch}`);
    workerEpochs.set(worker, epoch);
    if (!isRenewal(batch)) {
      check(holders.get(epoch) === processId, `${processId} used epoch ${epoch} of another`);
    }
    for (const command of commands) {
      if (command.kind === CommandKind.Hold) held.add(command.task.taskId);
    }
  });

  function checkParts(): void {
    const counts = new Map<string, { running: number; gone: number }>();
    for (const { task } of fleet.listTasks()) {
      const start = task.taskId.slice(0, task.taskId.lastIndexOf('/'));
      const count = counts.get(start) ?? { running: 0, gone: 0 };
      if (task.state === TaskState.Running) count.running += 1;
      else if (task.state !== TaskState.Done) count.gone += 1;
      counts.set(start, count);
    }
    for (const [start, { running, gone }] of counts) {
      const isPart = running > 0 && gone > 0;
      if (!isPart) partSinceMs.delete(start);
      else if (!partSinceMs.has(start)) partSinceMs.set(start, world.clock.getNowMs());
      const sinceMs = partSinceMs.get(start) ?? Infinity;
      check(world.clock.getNowMs() - sinceMs <= maxPartMs, `${start} runs in part`);
    }
  }

  return {
    violations,
    /** Checks what holds at any moment; to be called after each step. */
    checkNow(): void {
      for (const { task } of fleet.listTasks()) {
        if (task.state !== TaskState.Running) continue;
        const record = records.get(task.jobId);
        const isOwn = record !== undefined && listTaskIds(record).includes(task.taskId);
        check(isOwn && record.state === JobState.Running, `${task.taskId} runs by itself`);
      }
      checkParts();
    },
    /** Whether every accepted job has ended. */
    isSettled: () => [...records.values()].every((record) => isEnded(record.state)),
    countEnded: () => [...records.values()].filter((record) => isEnded(record.state)).length,
  };
}

export type Invariants = ReturnType<typeof createInvariants>;
