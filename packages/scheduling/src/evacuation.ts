/** The data centres that operators have evacuated, as far as an owner knows. */
export interface Evacuations {
  /** Data centres on whose workers no task may start until the operators end the evacuation. */
  dataCentres: ReadonlySet<string>;
  /** Time since the store last confirmed the set, in milliseconds. */
  ageMs: number;
}

/**
 * An owner that knows the evacuations only as of an earlier time may miss one, so it starts nothing. The
 * limit is below the shortest time within which an evacuation must take effect (5 s), less the time that a
 * worker takes to carry out a start.
 */
const maxEvacuationAgeMs = 3500;

/** Whether tasks may start on the workers of a data centre. */
export function canStartIn(dataCentre: string, { dataCentres, ageMs }: Evacuations): boolean {
  return ageMs <= maxEvacuationAgeMs && !dataCentres.has(dataCentre);
}
