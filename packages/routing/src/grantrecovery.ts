import type { CreditDemand } from '@bergamotreach/protocol';
import type { MemberView } from '@bergamotreach/membership';

/** Recovers the slots that were granted by daemons that are now dead. */
export interface GrantRecovery {
  /** Applies a view; returns the members that died since the last call. */
  applyView(view: MemberView, nowMs: number): string[];
  /**
   * Reports to send to every member for a while. A demand with a dead daemon's id as endpoint
   * states that the sender has given up that daemon's grants and counts the requests dispatched on
   * them as its own.
   */
  createReports(nowMs: number): CreditDemand[];
  /** Applies the reports in a member's request. */
  applyReports(from: string, demands: readonly CreditDemand[]): void;
  /** Dead daemons whose grants every other member has reported on. */
  listReconciled(view: MemberView): string[];
  isDead(member: string): boolean;
}

/** Reports are repeated in every round for this long, so that a lost one does not matter. */
const reportDurationMs = 10_000;

/** Creates an empty record. */
export function createGrantRecovery(): GrantRecovery {
  const deadSinceMs = new Map<string, number>();
  const reports = new Map<string, Set<string>>();

  function applyView(view: MemberView, nowMs: number): string[] {
    const dead = view.members
      .filter((member) => member.isGone && !deadSinceMs.has(member.id))
      .map((member) => member.id);
    for (const id of dead) deadSinceMs.set(id, nowMs);
    // A member that refused connections because it had not started yet is no longer gone.
    const gone = new Set(view.members.filter(({ isGone }) => isGone).map(({ id }) => id));
    for (const id of deadSinceMs.keys()) if (!gone.has(id)) deadSinceMs.delete(id);
    const known = new Set(view.members.map((member) => member.id));
    for (const id of reports.keys()) if (!known.has(id)) reports.delete(id);
    return dead;
  }

  function listReconciled(view: MemberView): string[] {
    const others = view.members.filter((member) => !member.isGone && member.id !== view.selfId);
    return [...deadSinceMs.keys()].filter((dead) => {
      const reporters = reports.get(dead);
      return others.every((member) => reporters?.has(member.id) === true);
    });
  }

  /** Each request replaces the sender's earlier reports. */
  function applyReports(from: string, demands: readonly CreditDemand[]): void {
    const reported = new Set(demands.map((demand) => demand.endpoint));
    for (const [dead, reporters] of reports) {
      if (!reported.has(dead)) reporters.delete(from);
    }
    for (const dead of reported) {
      let reporters = reports.get(dead);
      if (reporters === undefined) reports.set(dead, (reporters = new Set()));
      reporters.add(from);
    }
  }

  return {
    applyView,
    createReports: (nowMs) =>
      [...deadSinceMs]
        .filter(([, atMs]) => nowMs - atMs < reportDurationMs)
        .map(([endpoint]) => ({ endpoint, wanted: 0, inUse: 0, longestDeadlineMs: 0 })),
    applyReports,
    listReconciled,
    isDead: (member) => deadSinceMs.has(member),
  };
}
