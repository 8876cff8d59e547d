/** An endpoint that may be chosen if it has a free slot. */
export interface EndpointCandidate {
  id: string;
  inUse: number;
  /** Slots that this router may use at the endpoint. */
  slots: number;
  /** Moving average of the service time at this endpoint. */
  serviceMs: number;
}

function computeScore(candidate: EndpointCandidate): number {
  return ((candidate.inUse + 1) / candidate.slots) * candidate.serviceMs;
}

/**
 * Chooses the endpoint with the smallest expected load, so that slow ones get fewer requests.
 * `rotation` breaks ties and should increase with each call.
 */
export function chooseEndpoint<T extends EndpointCandidate>(
  candidates: readonly T[],
  rotation: number,
): T | undefined {
  let best: T | undefined;
  let bestScore = Infinity;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(index + rotation) % candidates.length];
    if (candidate === undefined || candidate.inUse >= candidate.slots) continue;
    const score = computeScore(candidate);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
