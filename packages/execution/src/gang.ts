import { GangEnd } from '@bergamotreach/placement';
import type { GangPlacement, StopReason } from '@bergamotreach/placement';
import type { TaskSpec } from '@bergamotreach/hosting';
import type { GangJobRecord } from './options.ts';

/** What the owner knows of a gang member. */
export enum MemberPhase {
  /** No hold was sent. */
  Planned = 'planned',
  /** A hold may have taken effect. */
  Sent = 'sent',
  Held = 'held',
  Running = 'running',
  /** Ended by itself with success. */
  Done = 'done',
  /** Certainly does not run any more. */
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

/** Step of a gang's life. */
export enum GangPhase {
  Starting = 'starting',
  Holding = 'holding',
  Running = 'running',
  /** Asked for a checkpoint; its leases are still renewed. */
  Checkpointing = 'checkpointing',
  /** Members are being stopped; leases are no longer renewed. */
  Stopping = 'stopping',
}

/** Why a gang comes to its end. */
export interface GangStop {
  end: GangEnd;
  /** Worker that caused the end; empty when none did. */
  worker: string;
  /** Set when the placement core decided the stop. */
  reason?: StopReason;
  /** Until when members may checkpoint. */
  deadlineMs: number;
}

/** One start of a job. */
export interface Gang {
  jobId: string;
  attempt: number;
  placement: GangPlacement;
  phase: GangPhase;
  members: GangMember[];
  stop: GangStop | undefined;
  /** Whether the placement core holds cells for it. */
  isKnownToCore: boolean;
  /** Resolves when `stop` is set or its deadline moves. */
  wake: () => void;
  woken: Promise<void>;
}

function armWake(gang: Gang): void {
  gang.woken = new Promise((resolve) => {
    gang.wake = resolve;
  });
}

/** Creates the gang of a placement, with no member held yet. */
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
    isKnownToCore: true,
    wake: () => undefined,
    woken: Promise.resolve(),
  };
  armWake(gang);
  return gang;
}

/** Asks a gang to end. The first cause stays; later ones can only bring its deadline forward. */
export function requestStop(gang: Gang, stop: GangStop): void {
  if (gang.stop === undefined) gang.stop = stop;
  else if (stop.deadlineMs < gang.stop.deadlineMs) gang.stop.deadlineMs = stop.deadlineMs;
  else return;
  const { wake } = gang;
  armWake(gang);
  wake();
}

/** Ends a gang that is complete, once all members are done. */
export function checkDone(gang: Gang, nowMs: number): void {
  if (!gang.members.every((member) => member.phase === MemberPhase.Done)) return;
  requestStop(gang, { end: GangEnd.Done, worker: '', deadlineMs: nowMs });
}

/** Whether a member may hold resources on its worker. */
export function isPresent(member: GangMember): boolean {
  return (
    member.phase === MemberPhase.Sent ||
    member.phase === MemberPhase.Held ||
    member.phase === MemberPhase.Running
  );
}

/** Groups members by worker. */
export function listByWorker(members: readonly GangMember[]): Map<string, GangMember[]> {
  const groups = new Map<string, GangMember[]>();
  for (const member of members) {
    const group = groups.get(member.worker);
    if (group === undefined) groups.set(member.worker, [member]);
    else group.push(member);
  }
  return groups;
}

/** Accelerator-seconds used by this start so far, as reported with a lag. */
export function computeUsedSeconds(gang: Gang): number {
  return gang.members.reduce((sum, member) => sum + member.usedSeconds, 0);
}

/** Builds the task of a member. */
export function createTask(record: GangJobRecord, member: GangMember): TaskSpec {
  const { jobId, account, spec, payload } = record;
  const { accelerators, cores, memoryMb, members: gangSize } = spec;
  const { taskId } = member;
  return { taskId, jobId, gangSize, account, accelerators, cores, memoryMb, payload };
}
