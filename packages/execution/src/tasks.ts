import { TaskState } from '@bergamotreach/hosting';
import type { TaskStatus } from '@bergamotreach/hosting';
import { MemberPhase } from './gang.ts';
import type { GangMember } from './gang.ts';

/** How a member that the owner did not stop was lost, according to a task list. */
export enum MemberLoss {
  /** Failed on its own. */
  Failed = 'failed',
  /** Stopped, for example because its lease expired, or not listed at all. */
  Missing = 'missing',
}

/** Updates a member from its listed task; returns how it was lost, or `undefined`. */
export function updateMember(member: GangMember, task: TaskStatus): MemberLoss | undefined {
  member.usedSeconds = Math.max(member.usedSeconds, task.usedSeconds);
  member.hasCheckpoint = task.hasCheckpoint;
  if (task.state === TaskState.Done) member.phase = MemberPhase.Done;
  // The release may have been applied although its reply was lost.
  if (task.state === TaskState.Running) member.phase = MemberPhase.Running;
  if (task.state === TaskState.Failed || task.state === TaskState.Stopped) {
    member.phase = MemberPhase.Gone;
    return task.state === TaskState.Failed ? MemberLoss.Failed : MemberLoss.Missing;
  }
  return undefined;
}

/** Updates the members on `worker` from its task list; returns how the first lost one was lost. */
export function updateMembers(
  members: readonly GangMember[],
  worker: string,
  tasks: readonly TaskStatus[],
): MemberLoss | undefined {
  const byId = new Map(tasks.map((task) => [task.taskId, task]));
  let loss: MemberLoss | undefined;
  for (const member of members) {
    const task = member.worker === worker ? byId.get(member.taskId) : undefined;
    if (task !== undefined) loss ??= updateMember(member, task);
  }
  return loss;
}
