import type { Membership, MemberView } from '@bergamotreach/membership';

/** Membership whose view is computed once per round instead of with each use. */
export interface CachedMembership extends Membership {
  /** Takes the present view. */
  updateView(): void;
}

/** Wraps a membership. The view is also renewed whenever the membership reports a change. */
export function createCachedMembership(membership: Membership): CachedMembership {
  let view: MemberView = membership.getView();
  membership.addViewListener((next) => {
    view = next;
  });
  return {
    ...membership,
    getView: () => view,
    updateView: () => {
      view = membership.getView();
    },
  };
}
