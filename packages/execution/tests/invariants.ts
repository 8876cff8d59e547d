import { JobState, isEnded } from '@bergamotreach/ownership';
import type { LeaseRecord } from '@bergamotreach/ownership';
import { CommandKind, TaskState } from '@bergamotreach/hosting';
import type { AcceptedCommit } from '../../ownership/tests/faketable.ts';
import { region } from '../../ownership/tests/setup.ts';
import type { GangJobRecord } from '../src/index.ts';
import type { AcceptedBatch } from './fakeworkers.ts';
import type { World } from './world.ts';

/** Lease minus margin as on the design page: how long after sending a renewal a holder may act. */
const leaseMs = 2_500;

const allowedTransitions: Record<JobState, JobState[]> = {
  [JobState.Queued]: [JobState.Queued, JobState.Starting, JobState.Failed, JobState.Cancelled],
  [JobState.Starting]: [JobState.Starting, JobState.Running, JobState.Queued, JobState.Cancelled],
  [JobState.Running]: [JobState.Running, JobState.Queued, JobState.Done, JobState.Cancelled],
  [JobState.Done]: [],
  [JobState.Failed]: [],
  [JobState.Cancelled]: [],
};

/**
 * Longest time that part of a gang may run alone: detecting a lost worker, the expiry of its task
 * leases, and the calls and polls in between.
 */
const maxPartialRunMs = 60_000;

/** Observes a world from outside and collects violations of its invariants. */
export function createInvariants(world: World) {
  const { state, fleet } = world;
  const violations: string[] = [];
  const holders = new Map<number, string>();
  const leaseSentMs = new Map<string, number>();
  const records = new Map<string, GangJobRecord>();
  const workerEpochs = new Map<string, number>();
  const held = new Set<string>();
  /** Time since which only part of a gang runs, by the start of its job (`jobId/attempt`). */
  const partialSinceMs = new Map<string, number>();

  function check(isTrue: boolean, description: string): void {
    if (!isTrue) violations.push(`${world.clock.getNowMs()}: ${description}`);
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
    check(
      allowedTransitions[before.state].includes(next.state),
      `${jobId}: ${before.state} to ${next.state}`,
    );
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

  // Renewals are safe without the lease; all other commands need it when they are sent.
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

  function checkPartialGangs(): void {
    const counts = new Map<string, { running: number; gone: number }>();
    for (const { task } of fleet.listTasks()) {
      const start = task.taskId.slice(0, task.taskId.lastIndexOf('/'));
      const count = counts.get(start) ?? { running: 0, gone: 0 };
      if (task.state === TaskState.Running) count.running += 1;
      else if (task.state !== TaskState.Done) count.gone += 1;
      counts.set(start, count);
    }
    for (const [start, { running, gone }] of counts) {
      const isPartial = running > 0 && gone > 0;
      if (!isPartial) partialSinceMs.delete(start);
      else if (!partialSinceMs.has(start)) partialSinceMs.set(start, world.clock.getNowMs());
      const sinceMs = partialSinceMs.get(start) ?? Infinity;
      check(world.clock.getNowMs() - sinceMs <= maxPartialRunMs, `${start} runs in part`);
    }
  }

  return {
    violations,
    /** Checks the invariants that hold at all times; call it after each step. */
    checkNow(): void {
      for (const { task } of fleet.listTasks()) {
        if (task.state !== TaskState.Running) continue;
        const record = records.get(task.jobId);
        const isOwn = record !== undefined && listTaskIds(record).includes(task.taskId);
        check(
          isOwn && record.state === JobState.Running,
          `${task.taskId} runs outside the placement of a running job`,
        );
      }
      checkPartialGangs();
    },
    /** Whether every accepted job has ended. */
    isFinished: () => [...records.values()].every((record) => isEnded(record.state)),
    countEnded: () => [...records.values()].filter((record) => isEnded(record.state)).length,
  };
}

export type Invariants = ReturnType<typeof createInvariants>;
