/** Whether an endpoint takes work. */
export enum HealthState {
  Healthy = 'healthy',
  /** Out of service until a time. */
  Out = 'out',
  /** One request at a time tries whether the endpoint works again. */
  Probing = 'probing',
  /** Takes a growing part of its slots. */
  SlowStart = 'slow_start',
}

/** Observed health of one endpoint. Times are on the caller's monotonic clock. */
export interface EndpointHealth {
  /** A whole answer arrived. */
  reportSuccess(nowMs: number): void;
  /** An exchange failed, or its deadline passed without an answer. */
  reportFailure(nowMs: number): void;
  /** The endpoint has requests in progress and has not answered any for too long. */
  reportStall(nowMs: number): void;
  /** A peer saw it out of service: start with a probe. */
  applyHint(nowMs: number): void;
  getState(nowMs: number): HealthState;
  /** Part of the slots that may be used, 0 to 1; a probing endpoint takes one request. */
  computeUsable(slots: number, nowMs: number): number;
}

const maxFailures = 3;
const firstOutMs = 1000;
const maxOutMs = 16_000;
const slowStartMs = 3000;
const firstUsableShare = 0.25;

/** Creates the health record of an endpoint, healthy at first. */
export function createEndpointHealth(): EndpointHealth {
  let failures = 0;
  let outMs = firstOutMs;
  let outUntilMs = -Infinity;
  let isProbing = false;
  /** The probe was asked for by a peer. */
  let isHinted = false;
  let rampStartMs = -Infinity;

  function startOutage(nowMs: number): void {
    // Exchanges that were in progress at the start of the outage must not lengthen it.
    if (nowMs < outUntilMs) return;
    outUntilMs = nowMs + outMs;
    outMs = Math.min(maxOutMs, outMs * 2);
    isProbing = true;
    isHinted = false;
    failures = 0;
  }

  function reportFailure(nowMs: number): void {
    failures += 1;
    if (isProbing || failures >= maxFailures) startOutage(nowMs);
  }

  function reportSuccess(nowMs: number): void {
    failures = 0;
    if (!isProbing) return;
    if (nowMs < outUntilMs) return;
    isProbing = false;
    // An endpoint that only a peer saw failing was never out here, so it needs no slow start.
    if (!isHinted) rampStartMs = nowMs;
    isHinted = false;
    outMs = firstOutMs;
  }

  function getState(nowMs: number): HealthState {
    if (nowMs < outUntilMs) return HealthState.Out;
    if (isProbing) return HealthState.Probing;
    return nowMs - rampStartMs < slowStartMs ? HealthState.SlowStart : HealthState.Healthy;
  }

  function computeUsable(slots: number, nowMs: number): number {
    const state = getState(nowMs);
    if (state === HealthState.Out) return 0;
    if (state === HealthState.Probing) return Math.min(1, slots);
    const ramp = Math.max(firstUsableShare, (nowMs - rampStartMs) / slowStartMs);
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
    reportStall: startOutage,
    applyHint,
    getState,
    computeUsable,
  };
}
