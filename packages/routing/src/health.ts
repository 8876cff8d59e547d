/** Circuit breaker state of an endpoint. */
export enum HealthState {
  Healthy = 'healthy',
  /** Gets no requests until the ejection ends. */
  Ejected = 'out',
  /** Gets one request at a time, which tests whether it has recovered. */
  Probing = 'probing',
  /** Has recovered and gets a growing fraction of its slots. */
  SlowStart = 'slow_start',
}

/** Outlier detection for one endpoint. Times are on the caller's monotonic clock. */
export interface EndpointHealth {
  /** Reports a complete answer. */
  reportSuccess(nowMs: number): void;
  /** Reports an exchange that failed or whose deadline passed without an answer. */
  reportFailure(nowMs: number): void;
  /** Ejects an endpoint that refuses connections or answers none of its requests in flight. */
  startEjection(nowMs: number): void;
  /** Applies a peer's report that the endpoint is out of service: probes it first. */
  applyHint(nowMs: number): void;
  getState(nowMs: number): HealthState;
  /** Number of the given slots that may be used: 0 while ejected, at most 1 while probing. */
  computeUsableSlots(slots: number, nowMs: number): number;
}

const maxConsecutiveFailures = 3;
const minEjectionMs = 1000;
const maxEjectionMs = 16_000;
const slowStartMs = 3000;
const initialSlotShare = 0.25;

/** Creates the health record of an endpoint, initially healthy. */
export function createEndpointHealth(): EndpointHealth {
  let failures = 0;
  let ejectionMs = minEjectionMs;
  let ejectedUntilMs = -Infinity;
  let isProbing = false;
  /** The probe was triggered by a peer's hint. */
  let isHinted = false;
  let slowStartBeginMs = -Infinity;

  function startEjection(nowMs: number): void {
    // Failures of exchanges that were in flight when the ejection began must not extend it.
    if (nowMs < ejectedUntilMs) return;
    ejectedUntilMs = nowMs + ejectionMs;
    ejectionMs = Math.min(maxEjectionMs, ejectionMs * 2);
    isProbing = true;
    isHinted = false;
    failures = 0;
  }

  function reportFailure(nowMs: number): void {
    failures += 1;
    if (isProbing || failures >= maxConsecutiveFailures) startEjection(nowMs);
  }

  function reportSuccess(nowMs: number): void {
    failures = 0;
    if (!isProbing) return;
    if (nowMs < ejectedUntilMs) return;
    isProbing = false;
    // An endpoint that only a peer reported was not ejected here, so it needs no slow start.
    if (!isHinted) slowStartBeginMs = nowMs;
    isHinted = false;
    ejectionMs = minEjectionMs;
  }

  function getState(nowMs: number): HealthState {
    if (nowMs < ejectedUntilMs) return HealthState.Ejected;
    if (isProbing) return HealthState.Probing;
    return nowMs - slowStartBeginMs < slowStartMs ? HealthState.SlowStart : HealthState.Healthy;
  }

  function computeUsableSlots(slots: number, nowMs: number): number {
    const state = getState(nowMs);
    if (state === HealthState.Ejected) return 0;
    if (state === HealthState.Probing) return Math.min(1, slots);
    const ramp = Math.max(initialSlotShare, (nowMs - slowStartBeginMs) / slowStartMs);
    return Math.min(slots, Math.max(1, Math.floor(slots * Math.min(1, ramp))));
  }

  function applyHint(nowMs: number): void {
    if (getState(nowMs) !== HealthState.Healthy) return;
    isProbing = true;
    isHinted = true;
  }

  return {
    reportSuccess,
    reportFailure,
    startEjection,
    applyHint,
    getState,
    computeUsableSlots,
  };
}
