/** Expected result of a run. */
export enum Expectation {
  /** Every property holds in every reachable state. */
  Holds = 'holds',
  /** A seeded protocol fault violates the named property. */
  Fault = 'fault',
  /** A literal reading of the design page violates the named property; see docs/model.md. */
  Reading = 'reading',
}

/** One exploration of one specification, compiled with its defines. */
export interface Run {
  specification: string;
  expectation: Expectation;
  /** Name of the seeded fault or reading, or of the variant of the bounds. */
  label: string;
  /** Property expected to be violated, or LTL property to check; empty for all assertions. */
  property: string;
  defines: string[];
  isLiveness: boolean;
}

/** Numbers of workers, owners and faults of `gang.pml`; each variant is explored completely. */
const gangBounds = {
  lostWorker: ['N=2', 'OWNERS=2', 'LOSSES=1', 'WORKERS_LOST=1', 'CUTS=0'],
  threeOwners: ['N=2', 'OWNERS=3', 'LOSSES=1', 'WORKERS_LOST=0', 'CUTS=0'],
  otherWorker: ['N=3', 'OWNERS=1', 'LOSSES=0', 'WORKERS_LOST=1', 'CUTS=1'],
  cutAndTakeover: ['N=3', 'OWNERS=2', 'LOSSES=0', 'WORKERS_LOST=0', 'CUTS=1'],
};

/** Checks all assertions and the absence of invalid end states. */
function createSafetyRun(specification: string, label = '', defines: string[] = []): Run {
  const expectation = Expectation.Holds;
  return { specification, expectation, label, property: '', defines, isLiveness: false };
}

/** Checks one LTL property under weak fairness. */
function createLivenessRun(
  specification: string,
  property: string,
  label = '',
  defines: string[] = [],
): Run {
  const expectation = Expectation.Holds;
  return { specification, expectation, label, property, defines, isLiveness: true };
}

/** Compiles a variant that must violate the named assertion. */
function createViolatingRun(
  expectation: Expectation,
  specification: string,
  define: string,
  property: string,
  bounds: string[] = [],
): Run {
  const defines = [define, ...bounds];
  return { specification, expectation, label: define, property, defines, isLiveness: false };
}

/** Runs of `gang.pml` for every variant of its bounds. */
function listGangRuns(): Run[] {
  return Object.entries(gangBounds).flatMap(([label, defines]) => [
    createSafetyRun('gang', label, defines),
    createLivenessRun('gang', 'jobEnds', label, defines),
    createLivenessRun('gang', 'partStops', label, defines),
  ]);
}

const { Fault, Reading } = Expectation;

/** Numbers of takeovers and restarts of `orders.pml`; each variant is explored completely. */
const orderBounds = {
  oneEach: ['TAKEOVERS=1', 'RESTARTS=1'],
  twoRestarts: ['TAKEOVERS=1', 'RESTARTS=2'],
  twoTakeovers: ['TAKEOVERS=2', 'RESTARTS=1'],
};

/** Seeded protocol faults, with the property that must catch each. */
const faultRuns = [
  createViolatingRun(Fault, 'ownership', 'NO_TABLE_FENCE', 'fencedWrite'),
  createViolatingRun(Fault, 'ownership', 'NO_WORKER_FENCE', 'fencedCommand'),
  createViolatingRun(Fault, 'ownership', 'WALL_CLOCK', 'ownerIsCurrent'),
  createViolatingRun(Fault, 'gang', 'NO_FENCING', 'fencedCommand'),
  createViolatingRun(Fault, 'gang', 'START_BEFORE_COMMIT', 'committedStart'),
  createViolatingRun(Fault, 'gang', 'RELEASE_BEFORE_ALL_HELD', 'releaseAfterHold'),
  createViolatingRun(Fault, 'caretaker', 'CARETAKER_RAISES_EPOCH', 'epochFromTakeover'),
  createViolatingRun(Fault, 'claims', 'BLIND_RETRY', 'claimBeforeDispatch'),
  createViolatingRun(Fault, 'claims', 'RETRY_AFTER_DISPATCH', 'atMostOnce'),
  createViolatingRun(Fault, 'claims', 'RELEASE_AFTER_DISPATCH', 'atMostOnce'),
  createViolatingRun(Fault, 'config', 'BLIND_RETRY', 'acceptedKept'),
  createViolatingRun(Fault, 'config', 'ACCEPT_STALE', 'neverReverts'),
  createViolatingRun(Fault, 'credits', 'CHANGE_EARLY', 'slotsBound'),
  createViolatingRun(Fault, 'orders', 'TOKEN_BY_EPOCH', 'notAfterDone'),
  createViolatingRun(Fault, 'orders', 'REFUSAL_DECIDES', 'notAfterDone'),
  createViolatingRun(Fault, 'orders', 'DROP_ON_RESTART', 'onceAtATime'),
  createViolatingRun(Fault, 'orders', 'FORGET_OLDER_COPIES', 'onceAtATime'),
  createViolatingRun(Fault, 'orders', 'FORGET_AT_TAKEOVER', 'onceAtATime'),
  createViolatingRun(Fault, 'orders', 'FORGET_OLDER_ENDS', 'endsSeen'),
  createViolatingRun(Fault, 'orders', 'CURSOR_ALWAYS', 'endsSeen'),
];

/** Literal readings of the design page that the specifications refute. */
const readingRuns = [
  createViolatingRun(Reading, 'ownership', 'EPOCH_ONLY', 'viewMatchesTable'),
  createViolatingRun(Reading, 'gang', 'REQUEUE_AT_ONCE', 'noOverlap', gangBounds.otherWorker),
  {
    ...createLivenessRun('caretaker', 'partStops', 'RENEW_INCOMPLETE', ['RENEW_INCOMPLETE']),
    expectation: Reading,
  },
  createViolatingRun(Reading, 'claims', 'WHOLE_REQUEST', 'notRun'),
  createViolatingRun(Reading, 'submit', 'REFUSE_ON_ABSENT', 'notRun'),
  createViolatingRun(Reading, 'submit', 'COMPARE_LAST_WRITER', 'noFalseFailure'),
  createViolatingRun(Reading, 'config', 'COMPARE_LAST_WRITER', 'noFalseFailure'),
  createViolatingRun(Reading, 'credits', 'COUNT_FROM_RECEIPT', 'slotsBound'),
  createViolatingRun(Reading, 'credits', 'GRANT_PAST_PROMISE', 'slotsBound'),
  createViolatingRun(Reading, 'credits', 'DELEGATE_WHILE_USING', 'slotsBound'),
];

/** Every run, the longest first so that the processes finish together. */
export const runs: Run[] = [
  createLivenessRun('ownership', 'takeoverCompletes'),
  createSafetyRun('ownership'),
  ...listGangRuns(),
  createLivenessRun('config', 'configurationSpreads'),
  createLivenessRun('config', 'operatorsAnswered'),
  createSafetyRun('config'),
  createSafetyRun('claims'),
  createLivenessRun('claims', 'callersAnswered'),
  createSafetyRun('submit'),
  createLivenessRun('submit', 'acceptedEnds'),
  createLivenessRun('submit', 'submissionsAnswered'),
  createSafetyRun('caretaker'),
  createLivenessRun('caretaker', 'partStops'),
  createSafetyRun('credits'),
  ...Object.entries(orderBounds).map(([label, defines]) =>
    createSafetyRun('orders', label, defines),
  ),
  ...faultRuns,
  ...readingRuns,
];
