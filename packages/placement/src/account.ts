import { demoteGang, dropClaim } from './allocation.ts';
import { removeBinding } from './binding.ts';
import { createPolicy } from './policy.ts';
import { applyEvacuations, getSite } from './site.ts';
import type { AccountSpec, GuaranteeSpec, PlacementConfig } from './spec.ts';
import type { Account, Binding, Claim, CoreState, Gang, Guarantee } from './state.ts';

/** Creates an account without guarantees or usage. */
export function createAccount(spec: AccountSpec): Account {
  return { spec, guarantees: [], usedAccelerators: 0 };
}

/** Creates a placeholder account for a job whose own account is no longer configured. */
export function createUnknownAccount(id: string): Account {
  return createAccount({ id, weight: 1, quotaAccelerators: 0, guarantees: [] });
}

function isClaim(user: Gang | Claim): user is Claim {
  return 'isReservation' in user;
}

/** Removes a binding that may be in use: its gangs become lent work and its claims are dropped. */
export function releaseBinding(state: CoreState, binding: Binding): void {
  for (const user of [...binding.users]) {
    if (isClaim(user)) dropClaim(state, user);
    else demoteGang(state, user);
  }
  removeBinding(binding);
  state.isGuaranteeDirty = true;
}

/** Merges guarantees of the same shape by adding their counts. */
function mergeShapes(specs: readonly GuaranteeSpec[]): GuaranteeSpec[] {
  const merged = new Map<string, GuaranteeSpec>();
  for (const spec of specs) {
    const key = `${spec.dataCentre}/${spec.accelerators}/${spec.within}`;
    merged.set(key, { ...spec, count: spec.count + (merged.get(key)?.count ?? 0) });
  }
  return [...merged.values()];
}

function isSameShape(a: GuaranteeSpec, b: GuaranteeSpec): boolean {
  return (
    a.dataCentre === b.dataCentre && a.accelerators === b.accelerators && a.within === b.within
  );
}

function createGuarantee(state: CoreState, account: Account, spec: GuaranteeSpec): Guarantee {
  const known = account.guarantees.find((guarantee) => isSameShape(guarantee.spec, spec));
  const bindings = known?.bindings ?? new Set<Binding>();
  const guarantee = { account, spec, site: getSite(state, spec.dataCentre), bindings };
  for (const binding of bindings) binding.guarantee = guarantee;
  return guarantee;
}

function updateAccount(state: CoreState, account: Account, spec: AccountSpec): void {
  const previous = account.guarantees;
  account.spec = spec;
  account.guarantees = mergeShapes(spec.guarantees).map((shape) =>
    createGuarantee(state, account, shape),
  );
  const kept = new Set(account.guarantees.flatMap((guarantee) => [...guarantee.bindings]));
  for (const guarantee of account.guarantees) {
    const excess = [...guarantee.bindings].slice(guarantee.spec.count);
    for (const binding of excess) releaseBinding(state, binding);
  }
  for (const binding of previous.flatMap((guarantee) => [...guarantee.bindings])) {
    if (!kept.has(binding)) releaseBinding(state, binding);
  }
}

/** Applies a configuration. Work beyond a reduced guarantee becomes lent work. */
export function applyConfig(state: CoreState, config: PlacementConfig): void {
  state.config = config;
  applyEvacuations(state);
  state.policy = { ...createPolicy(config.weights), ...state.policyOverrides };
  const previous = new Map(state.accounts);
  state.accounts.clear();
  for (const spec of config.accounts) {
    const account = previous.get(spec.id) ?? createAccount(spec);
    previous.delete(spec.id);
    state.accounts.set(spec.id, account);
  }
  for (const account of previous.values()) {
    updateAccount(state, account, { ...account.spec, guarantees: [] });
  }
  for (const spec of config.accounts) {
    const account = state.accounts.get(spec.id);
    if (account !== undefined) updateAccount(state, account, spec);
  }
  state.isGuaranteeDirty = true;
  state.isCapacityDirty = true;
}
