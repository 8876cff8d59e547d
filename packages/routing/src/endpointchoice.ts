/** An endpoint with a free slot. */
export interface EndpointCandidate {
  id: string;
  inUse: number;
  /** Slots that this router may use there. */
  slots: number;
  /** Mean time of recent requests at this endpoint. */
  serviceMs: number;
}

function computeScore(candidate: EndpointCandidate): number {
  return ((candidate.inUse + 1) / candidate.slots) * candidate.serviceMs;
}

/**
 * Endpoint with the smallest expected load, so that a slow one gets less work. `turn` decides
 * between equals and should grow with each call.
 */
export function chooseEndpoint<T extends EndpointCandidate>(
  candidates: readonly T[],
  turn: number,
): T | undefined {
  let best: T | undefined;
  let bestScore = Infinity;
  for (let index = 0; index < candidates.length; index += 1) {
    const candidate = candidates[(index + turn) % candidates.length];
    if (candidate === undefined || candidate.inUse >= candidate.slots) continue;
    const score = computeScore(candidate);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}
