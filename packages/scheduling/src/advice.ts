import type { TaskGroup } from './group.ts';

/** What the policy of a queue has decided for one group. It does not change during the life of a worker. */
export interface PolicyDecisions {
  /** Ids of admitted workers, with or without a valid ticket. */
  admitted: ReadonlySet<string>;
  /** Ids of refused workers. */
  refused: ReadonlySet<string>;
}

/** The group as far as decisions go, regardless of tickets: work that is planned ahead starts later. */
export function createDecidedGroup(group: TaskGroup): TaskGroup {
  if (group.decisions === undefined) return group;
  return { ...group, allowedWorkers: group.decisions.admitted };
}

/** The group as if the policy admitted all workers on which it has not decided. */
export function createOpenGroup(
  group: TaskGroup,
  workers: readonly { readonly id: string }[],
): TaskGroup {
  const { decisions } = group;
  if (decisions === undefined) return group;
  const open = workers.filter(({ id }) => !decisions.refused.has(id));
  return { ...group, allowedWorkers: new Set(open.map(({ id }) => id)) };
}
