import { GangEnd } from '@bergamotreach/placement';
import type { GangPlacement, StopReason } from '@bergamotreach/placement';
import type { TaskSpec } from '@bergamotreach/hosting';
import type { GangJobRecord } from './options.ts';

/** State of a gang member as far as the owner knows. */
export enum MemberPhase {
  /** No hold command was sent. */
  Planned = 'planned',
  /** A hold command was sent and may have been applied. */
  Sent = 'sent',
  Held = 'held',
  Running = 'running',
  /** Ended successfully on its own. */
  Done = 'done',
  /** Certainly no longer running. */
  Gone = 'gone',
}

/** A member of a gang. */
export interface GangMember {
  taskId: string;
  worker: string;
  index: number;
  phase: MemberPhase;
  /** End of the last call that may have extended the task's lease. */
  leaseFromMs: number;
  usedSeconds: number;
  hasCheckpoint: boolean;
}

/** Phase of a gang's lifecycle. */
export enum GangPhase {
  Starting = 'starting',
  Holding = 'holding',
  Running = 'running',
  /** A checkpoint was requested; leases are still renewed. */
  Checkpointing = 'checkpointing',
  /** Members are being stopped; leases are no longer renewed. */
  Stopping = 'stopping',
}

/** Why a gang is stopped. */
export interface GangStop {
  end: GangEnd;
  /** Worker that caused the end; empty if none did. */
  worker: string;
  /** Set if the scheduler decided on the stop. */
  reason?: StopReason;
  /** Time until which members can checkpoint. */
  deadlineMs: number;
}

/** The tasks of one start of a job. */
export interface Gang {
  jobId: string;
  attempt: number;
  placement: GangPlacement;
  phase: GangPhase;
  members: GangMember[];
  stop: GangStop | undefined;
  /** Whether the scheduler has resources allocated to it. */
  isKnownToScheduler: boolean;
  /** Resolves the current `stopChanged`. */
  announceStop: () => void;
  /** Resolves when `stop` is set or its deadline becomes earlier; replaced each time. */
  stopChanged: Promise<void>;
}

function resetStopSignal(gang: Gang): void {
  gang.stopChanged = new Promise((resolve) => {
    gang.announceStop = resolve;
  });
}

/** Creates the gang of a placement; no member is held yet. */
export function createGang(placement: GangPlacement, nowMs: number): Gang {
  const { jobId, attempt } = placement;
  const members = placement.members.map(({ member, worker }) => ({
    taskId: `${jobId}/${attempt}/${member}`,
    worker,
    index: member,
    phase: MemberPhase.Planned,
    leaseFromMs: nowMs,
    usedSeconds: 0,
    hasCheckpoint: false,
  }));
  const gang: Gang = {
    jobId,
    attempt,
    placement,
    phase: GangPhase.Starting,
    members,
    stop: undefined,
    isKnownToScheduler: true,
    announceStop: () => undefined,
    stopChanged: Promise.resolve(),
  };
  resetStopSignal(gang);
  return gang;
}

/** Requests the stop of a gang. A later one keeps the cause and can only advance the deadline. */
export function requestStop(gang: Gang, stop: GangStop): void {
  if (gang.stop === undefined) gang.stop = stop;
  else if (stop.deadlineMs < gang.stop.deadlineMs) gang.stop.deadlineMs = stop.deadlineMs;
  else return;
  const { announceStop } = gang;
  resetStopSignal(gang);
  announceStop();
}

/** Requests the stop of a gang whose members are all done. */
export function stopIfDone(gang: Gang, nowMs: number): void {
  if (!gang.members.every((member) => member.phase === MemberPhase.Done)) return;
  requestStop(gang, { end: GangEnd.Done, worker: '', deadlineMs: nowMs });
}

/** Whether a member may occupy resources on its worker. */
export function isOccupying(member: GangMember): boolean {
  return (
    member.phase === MemberPhase.Sent ||
    member.phase === MemberPhase.Held ||
    member.phase === MemberPhase.Running
  );
}

/** Groups members by worker. */
export function groupByWorker(members: readonly GangMember[]): Map<string, GangMember[]> {
  const groups = new Map<string, GangMember[]>();
  for (const member of members) {
    const group = groups.get(member.worker);
    if (group === undefined) groups.set(member.worker, [member]);
    else group.push(member);
  }
  return groups;
}

/** Accelerator-seconds used by this start so far, as of the workers' latest task lists. */
export function computeUsedSeconds(gang: Gang): number {
  return gang.members.reduce((sum, member) => sum + member.usedSeconds, 0);
}

/** Builds the task that a worker runs for a member. */
export function buildTaskSpec(record: GangJobRecord, member: GangMember): TaskSpec {
  const { jobId, account, spec, payload } = record;
  const { accelerators, cores, memoryMb, members: gangSize } = spec;
  const { taskId } = member;
  return { taskId, jobId, gangSize, account, accelerators, cores, memoryMb, payload };
}
