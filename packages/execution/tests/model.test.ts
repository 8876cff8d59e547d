import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { TableFault } from '../../ownership/tests/faketable.ts';
import { WorkerFault } from './fakeworkers.ts';
import { createInvariants } from './invariants.ts';
import type { Invariants } from './invariants.ts';
import { createWorld } from './world.ts';
import type { Daemon, World } from './world.ts';

const seed = 20261204;

type Action =
  | { do: 'submit'; members: number; runMs: number }
  | { do: 'cancel'; job: number }
  | { do: 'advance'; ms: number }
  | { do: 'pause' | 'resume' | 'crash' | 'handOver'; daemon: number }
  | { do: 'store'; fault: TableFault }
  | { do: 'latency'; ms: number }
  | { do: 'worker'; worker: number; fault: WorkerFault }
  | { do: 'failing'; worker: number; isFailing: boolean };

const index = fc.nat(2);
const advanceAction = fc.record({
  do: fc.constant('advance' as const),
  ms: fc.oneof(fc.integer({ min: 1, max: 400 }), fc.integer({ min: 400, max: 12_000 })),
});
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: advanceAction },
  {
    weight: 4,
    arbitrary: fc.record({
      do: fc.constant('submit' as const),
      members: fc.integer({ min: 1, max: 5 }),
      runMs: fc.integer({ min: 500, max: 20_000 }),
    }),
  },
  fc.record({ do: fc.constant('cancel' as const), job: fc.nat(9) }),
  fc.record({
    do: fc.constantFrom('pause' as const, 'resume' as const, 'crash' as const, 'handOver' as const),
    daemon: index,
  }),
  fc.record({
    do: fc.constant('store' as const),
    fault: fc.constantFrom(TableFault.None, ...Object.values(TableFault)),
  }),
  fc.record({ do: fc.constant('latency' as const), ms: fc.constantFrom(0, 30, 800, 2_600) }),
  fc.record({
    do: fc.constant('worker' as const),
    worker: index,
    fault: fc.constantFrom(WorkerFault.None, ...Object.values(WorkerFault)),
  }),
  fc.record({ do: fc.constant('failing' as const), worker: index, isFailing: fc.boolean() }),
);

const actionList = fc.array(action, { minLength: 10, maxLength: 40 });

/** Runs three daemons; one that ends is replaced by one with a new id, as on the platform. */
class Run {
  readonly world: World;
  readonly invariants: Invariants;
  private readonly daemons: Daemon[] = [];
  private started = 0;
  private jobs = 0;

  constructor(change: (world: World) => void = () => undefined) {
    this.world = createWorld({ workers: 3, accelerators: 2 });
    change(this.world);
    this.invariants = createInvariants(this.world);
    for (let n = 0; n < 3; n += 1) this.replaceDaemon(n);
  }

  private replaceDaemon(slot: number): void {
    this.started += 1;
    this.daemons[slot] = this.world.startDaemon(`d${this.started}`, slot === 0);
  }

  async apply(step: Action): Promise<void> {
    const { world } = this;
    switch (step.do) {
      case 'submit':
        this.jobs += 1;
        await world.submit(`j${this.jobs}`, step.members, step.runMs);
        break;
      case 'cancel':
        await world.cancel(`j${step.job}`);
        break;
      case 'advance':
        await this.advance(step.ms);
        break;
      case 'store':
        world.state.fault = step.fault;
        break;
      case 'latency':
        world.state.latencyMs = step.ms;
        break;
      case 'worker':
        this.getWorker(step.worker).fault = step.fault;
        break;
      case 'failing':
        this.getWorker(step.worker).isFailing = step.isFailing;
        break;
      case 'pause':
      case 'resume':
      case 'crash':
      case 'handOver':
        await this.applyToDaemon(step.do, step.daemon);
    }
    this.invariants.checkNow();
  }

  private async applyToDaemon(what: string, slot: number): Promise<void> {
    const { process, owner } = this.daemons[slot]!;
    if (what === 'pause') process.pause();
    else if (what === 'resume') await process.resume();
    else if (what === 'crash') process.kill();
    else void owner.stop();
    if (what === 'crash' || what === 'handOver') this.replaceDaemon(slot);
  }

  private getWorker(n: number) {
    return this.world.fleet.workers.get(`w${n}`)!;
  }

  private async advance(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= 500) {
      await this.world.clock.advance(Math.min(left, 500));
      this.invariants.checkNow();
    }
  }

  /** Ends all faults and gives every accepted job five minutes to end. */
  async finish(): Promise<void> {
    this.world.state.fault = TableFault.None;
    this.world.state.latencyMs = 0;
    for (const worker of this.world.fleet.workers.values()) {
      worker.fault = WorkerFault.None;
      worker.isFailing = false;
    }
    for (const { process } of this.daemons) await process.resume();
    for (let round = 0; round < 60 && !this.invariants.isFinished(); round += 1) {
      await this.advance(5_000);
    }
  }
}

async function runActions(actions: Action[], change?: (world: World) => void): Promise<Run> {
  const run = new Run(change);
  for (const step of actions) await run.apply(step);
  await run.finish();
  return run;
}

// Guards against violated invariants of ownership, gangs and job ends under combined faults.
test('invariants hold under combined faults, and every job ends once', async () => {
  await fc.assert(
    fc.asyncProperty(actionList, async (actions) => {
      const { invariants } = await runActions(actions);
      expect(invariants.violations).toEqual([]);
      expect(invariants.isFinished()).toEqual(true);
    }),
    { seed, numRuns: 60 },
  );
});

// Guards against invariant checks that cannot fail: each broken fake violates a rule that the code
// relies on, and the same actions must detect it.
const brokenFakes: [string, (world: World) => void][] = [
  [
    'workers without a fence',
    ({ fleet }) => {
      fleet.workers.forEach((one) => (one.hasFence = false));
    },
  ],
  [
    'workers that run held tasks',
    ({ fleet }) => {
      fleet.workers.forEach((one) => (one.runsOnHold = true));
    },
  ],
  ['a table that ignores conditions', ({ state }) => (state.ignoresConditions = true)],
];
for (const [name, change] of brokenFakes) {
  test(`invariant checks detect ${name}`, async () => {
    const property = fc.asyncProperty(actionList, async (actions) => {
      const { invariants } = await runActions(actions, change);
      return invariants.violations.length === 0;
    });
    const result = await fc.check(property, { seed, numRuns: 300, endOnFailure: true });
    expect(result.failed).toEqual(true);
  });
}
