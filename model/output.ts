/** Result of one exploration by the generated checker. */
export interface Exploration {
  /** Number of states stored. */
  states: number;
  seconds: number;
  /** Name of the violated property; empty when none was violated. */
  violated: string;
  /** Whether every reachable state was explored. */
  isComplete: boolean;
}

/** Output that shows that the checker stopped before it had explored every state. */
const incompleteMarkers = [
  'max search depth too small',
  'Search not completed',
  'reached -DMEMLIM',
  'out of memory',
  'error:',
];

/** Finds the violated property; an acceptance cycle violates the liveness property checked. */
function findViolation(output: string, livenessProperty: string): string {
  const assertion = /assertion violated \(?(\w+)/.exec(output);
  if (assertion?.[1] !== undefined) return assertion[1];
  if (output.includes('acceptance cycle (at depth')) return livenessProperty;
  if (output.includes('invalid end state (at depth')) return 'invalidEndState';
  const errors = /errors: (\d+)/.exec(output)?.[1] ?? '0';
  return errors === '0' ? '' : 'unknownProperty';
}

/**
 * Parses the output of a `pan` run. `livenessProperty` is the name of the LTL property that was
 * checked, or empty.
 */
export function parseOutput(output: string, livenessProperty: string): Exploration {
  const states = /(\d+) states, stored/.exec(output)?.[1];
  const isFinished = states !== undefined && /errors: 0\b/.test(output);
  return {
    states: Number(states ?? 0),
    seconds: Number(/elapsed time ([\d.]+)/.exec(output)?.[1] ?? 0),
    violated: findViolation(output, livenessProperty),
    isComplete: isFinished && !incompleteMarkers.some((marker) => output.includes(marker)),
  };
}
