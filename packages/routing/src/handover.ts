import type { CreditDemand } from '@bergamotreach/protocol';
import type { MemberView } from '@bergamotreach/membership';

/** What becomes of the slots that daemons granted before they certainly ended. */
export interface Handover {
  /** Takes the view; returns the members that ended since the last call. */
  applyView(view: MemberView, nowMs: number): string[];
  /**
   * Reports to send to every member for a while: a demand that names an ended daemon tells that
   * the sender has given up its grants and counts the requests dispatched on them as its own.
   */
  createReports(nowMs: number): CreditDemand[];
  /** Takes the reports in a member's request. */
  applyReports(from: string, demands: readonly CreditDemand[]): void;
  /** Ended daemons whose grants every other member has reported on. */
  listSettled(view: MemberView): string[];
  isEnded(member: string): boolean;
}

/** Reports are repeated in each round, so that a lost one does not matter. */
const reportForMs = 10_000;

/** Creates an empty record. */
export function createHandover(): Handover {
  const endedAtMs = new Map<string, number>();
  const reports = new Map<string, Set<string>>();

  function applyView(view: MemberView, nowMs: number): string[] {
    const ended = view.members
      .filter((member) => member.isGone && !endedAtMs.has(member.id))
      .map((member) => member.id);
    for (const id of ended) endedAtMs.set(id, nowMs);
    // A member whose address refuses connections before it has started is not gone later.
    const gone = new Set(view.members.filter(({ isGone }) => isGone).map(({ id }) => id));
    for (const id of endedAtMs.keys()) if (!gone.has(id)) endedAtMs.delete(id);
    const known = new Set(view.members.map((member) => member.id));
    for (const id of reports.keys()) if (!known.has(id)) reports.delete(id);
    return ended;
  }

  function listSettled(view: MemberView): string[] {
    const others = view.members.filter((member) => !member.isGone && member.id !== view.selfId);
    return [...endedAtMs.keys()].filter((ended) => {
      const reporters = reports.get(ended);
      return others.every((member) => reporters?.has(member.id) === true);
    });
  }

  /** Each request replaces the sender's earlier reports. */
  function applyReports(from: string, demands: readonly CreditDemand[]): void {
    const reported = new Set(demands.map((demand) => demand.endpoint));
    for (const [ended, reporters] of reports) {
      if (!reported.has(ended)) reporters.delete(from);
    }
    for (const ended of reported) {
      let reporters = reports.get(ended);
      if (reporters === undefined) reports.set(ended, (reporters = new Set()));
      reporters.add(from);
    }
  }

  return {
    applyView,
    createReports: (nowMs) =>
      [...endedAtMs]
        .filter(([, atMs]) => nowMs - atMs < reportForMs)
        .map(([endpoint]) => ({ endpoint, wanted: 0, inUse: 0, longestDeadlineMs: 0 })),
    applyReports,
    listSettled,
    isEnded: (member) => endedAtMs.has(member),
  };
}
