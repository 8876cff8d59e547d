/** What is known of the replica of the configuration and of the store. Durations are in milliseconds. */
export interface ConfigEvidence {
  /** Time since the store last confirmed the configuration. */
  ageMs: number;
  /** How long its reads have been failing; 0 while they succeed. */
  outageMs: number;
  /** Time since the store last served any call. */
  storeSilenceMs: number;
  /** How long the store has been serving calls; 0 while it is away. */
  storeContactMs: number;
}

/** Part of the bound that is left for the way of a configuration and for the call itself. */
const marginMs = 500;
/** Other calls that were served this long after the first failed read show that not the whole store is away. */
const otherCallsMs = 1000;
/** Time in which a configuration may arrive after an outage of the store. */
const returnMs = 2000;

/**
 * Whether the configuration may decide calls: it is not older than its bound allows, or the whole store is away. The
 * service outlives the store, but not a table that alone cannot be read.
 */
export function isConfigTrusted(evidence: ConfigEvidence, configApplyMs: number): boolean {
  const { ageMs, outageMs, storeSilenceMs, storeContactMs } = evidence;
  if (ageMs <= configApplyMs - marginMs) return true;
  // Reads that do not fail are late only while the process is suspended or a large page arrives.
  if (outageMs === 0) return false;
  const isStoreServing = outageMs - storeSilenceMs >= otherCallsMs;
  return !isStoreServing || storeContactMs < returnMs;
}
