import { draw } from './draw.js';
import type { SimulatedMachine } from './machine.js';
import { type StateSettings, type Submission, TracedWorld } from './world.js';

/** The faults and the length of one kind of history. */
interface HistoryScript {
  /** Seconds from the first user request to the first fault. */
  firstFaultS: number;
  faultIntervalS: number;
  /** Seconds from the first user request to the final status queries. */
  durationS: number;
  /** Injects a fault. `faultIndex` counts from 0. */
  injectFault: (run: HistoryRun, faultIndex: number) => void;
  /** State service settings that replace the defaults. */
  stateSettings?: Partial<StateSettings>;
  /** Called before the first submission. */
  setUp?: (run: HistoryRun) => void;
}

/** Jobs that users submit in turn. */
const TEMPLATES: Partial<Submission>[] = [
  {},
  { rank: 'low', bracket: 'batch', hands: 4, expectedS: 60, markEveryS: 10, markCostS: 2 },
  { crew: 'lab', cores: 8, hands: 3, loaner: false },
  { rank: 'urgent', cores: 2, hands: 6, deck: 'small', pullGb: 0.5, scatter: true },
  { rank: 'critical', cores: 16, hands: 1, memoryGb: 32, expectedS: 12 },
  { accelerators: 1, cores: 2, hands: 2, bracket: 'due', dueS: 60, deck: 'gpu', pullGb: 3 },
  { rank: 'low', hands: 12, cores: 1, memoryGb: 2, expectedS: 8, oneZone: true },
  { hands: 1, cores: 12, hall: 'a', expectedS: 25 },
  { crew: 'lab', cores: 2, hands: 10, rank: 'urgent', expectedS: 10 },
];

/** Submissions that the controllers must reject. */
const INVALID_SUBMISSIONS: Partial<Submission>[] = [
  { cores: 400 },
  { crew: 'nobody' },
  { hands: 0 },
  { awaits: ['req-999999'] },
  { crew: 'lab', cores: 30 },
];

/** A running history, with the users and their routine requests. */
export class HistoryRun {
  readonly world: TracedWorld;
  readonly jobIds: string[] = [];
  /** Machines that got a preemption notice. */
  readonly preempted = new Set<SimulatedMachine>();

  constructor(
    readonly seed: string,
    stateSettings: Partial<StateSettings> = {},
  ) {
    this.world = new TracedWorld(seed, stateSettings);
  }

  /** Returns a pseudo-random number in [0, 1) for the purpose. */
  draw(...purpose: (string | number)[]): number {
    return draw(this.seed, ...purpose);
  }

  /** Returns a pseudo-random element, or undefined when the list is empty. */
  pick<T>(list: readonly T[], ...purpose: (string | number)[]): T | undefined {
    return list[Math.floor(this.draw(...purpose) * list.length)];
  }

  pickMachine(faultIndex: number): SimulatedMachine | undefined {
    const machines = [...this.world.machines.values()];
    return this.pick(machines, 'machine', faultIndex);
  }

  preempt(machine: SimulatedMachine, noticeS: number): void {
    this.preempted.add(machine);
    this.world.preempt(machine, noticeS);
  }

  /**
   * Sends a submission (new, repeated or invalid), status query or cancellation.
   * Every tenth step also sends a health check.
   */
  sendRequest(step: number): void {
    const { world, jobIds } = this;
    const sample = this.draw('use', step);
    const id = this.pick(jobIds.slice(-10), 'id', step);
    if (step % 3 === 0 || !id) jobIds.push(world.submit(this.jobTemplate(step)));
    else if (sample < 0.5) world.query(id);
    else if (sample < 0.62) world.submit({ id });
    else if (sample < 0.72) world.cancel(id);
    else if (sample < 0.78) world.submit(this.pick(INVALID_SUBMISSIONS, 'refused', step));
    else
      jobIds.push(
        world.submit({ ...this.jobTemplate(step + 1), awaits: this.drawDependencies(step) }),
      );
    if (step % 10 === 0) world.sendUserRequest('GET', '/healthz', undefined, step % 3);
  }

  private jobTemplate(step: number): Partial<Submission> {
    return (
      TEMPLATES[Math.floor(step / 3 + this.draw('work') * TEMPLATES.length) % TEMPLATES.length] ??
      {}
    );
  }

  /** Returns each of the last four jobs with a probability of one half. */
  private drawDependencies(step: number): string[] {
    return this.jobIds.slice(-4).filter((id) => this.draw('needs', step, id) < 0.5);
  }
}

/** Runs one history: routine user requests with the scripted faults. */
export async function runHistory(kind: string, seed: number): Promise<TracedWorld> {
  const script = SCRIPTS[kind];
  if (!script) throw new Error(`unknown kind of history: ${kind}`);
  // The kind is part of the seed: renaming it would change the history and its digest.
  const run = new HistoryRun(`${kind} ${seed}`, script.stateSettings);
  const { world } = run;
  await world.simulate(async () => {
    for (const i of [0, 1, 2]) world.start(i);
    script.setUp?.(run);
    await world.run(3);
    let faultsInjected = 0;
    for (let step = 0; step < script.durationS; step++) {
      // Users stop before the end, so that scale-in terminates idle machines.
      if (step < script.durationS * 0.7) run.sendRequest(step);
      if (step >= script.firstFaultS && (step - script.firstFaultS) % script.faultIntervalS === 0)
        script.injectFault(run, faultsInjected++);
      await world.run(1);
      world.countTeamsAtLimit();
    }
    for (const id of run.jobIds) world.query(id);
    await world.run(5);
  });
  world.countFinalEvents();
  return world;
}

/** Crashes a controller and starts it again after `downMs`. */
function crashAndRestart({ world }: HistoryRun, i: number, downMs: number): void {
  world.crash(i);
  world.time.schedule(downMs, () => world.start(i));
}

/**
 * Scripts by kind of history. Users send a request every second, more often than
 * an idle machine sends heartbeats. Only the faults of the script occur.
 */
const SCRIPTS: Record<string, HistoryScript> = {
  // Preemptions of spot machines, with limited capacity in the cloud.
  calm: {
    firstFaultS: 18,
    faultIntervalS: 6,
    durationS: 66,
    setUp: ({ world }) => {
      world.cloud.capacity = (type) => (type === 'm16' ? 2 : 1);
    },
    injectFault: (run, faultIndex) => {
      const spot = [...run.world.machines.values()].filter(
        (machine) => machine.cloudMachine.loaner && !run.preempted.has(machine),
      );
      const machine = run.pick(spot, 'spot', faultIndex);
      if (machine) run.preempt(machine, 4 + faultIndex * 3);
    },
  },
  // Crashes of the leader or of all controllers, followed by failovers.
  takeovers: {
    firstFaultS: 15,
    faultIntervalS: 12,
    durationS: 62,
    injectFault: (run, faultIndex) => {
      const { world } = run;
      if (faultIndex % 3 === 2) for (const i of [0, 1, 2]) crashAndRestart(run, i, 1000 + i * 2500);
      else crashAndRestart(run, world.leaderIndex, 500 + run.draw('back', faultIndex) * 6000);
      // During the failover, a follower that renews the agents' leases has to stop these tasks.
      for (const id of run.jobIds.slice(-9))
        if (faultIndex % 2 === 0 && world.hasLiveTask(id))
          world.time.schedule(300, () => world.cancel(id));
    },
  },
  // Network partitions between the leader, the followers, the machines and the zones.
  cuts: {
    firstFaultS: 14,
    faultIntervalS: 16,
    durationS: 70,
    injectFault: (run, faultIndex) => {
      const { world } = run;
      const leader = `c-${world.leaderIndex}`;
      const durationMs = 8000 + run.draw('cut', faultIndex) * 14_000;
      const isMachine = (host: string) => host.startsWith('n-');
      const isPeer = (host: string) => host.startsWith('c-') && host !== leader;
      if (faultIndex % 4 === 0)
        world.partition(
          durationMs,
          (h) => h === leader,
          (h) => isMachine(h) && h.endsWith('1'),
        );
      else if (faultIndex % 4 === 1)
        world.partition(
          durationMs,
          (h) => h === leader,
          (h) => isPeer(h) || isMachine(h),
        );
      else if (faultIndex % 4 === 2)
        world.partition(
          durationMs,
          (h) => world.zoneOf(h) === 'a',
          (h) => world.zoneOf(h) === 'b',
        );
      else world.partition(durationMs, (h) => h === leader, isMachine);
    },
  },
  // Errors, lost responses, delayed transactions, outages and compactions of the state service.
  'state service': {
    firstFaultS: 12,
    faultIntervalS: 8,
    durationS: 64,
    injectFault: (run, faultIndex) => {
      const { world } = run;
      const durationMs = 2000 + run.draw('state', faultIndex) * 9000;
      const controller = faultIndex % 2 === 0 ? world.leaderIndex : (world.leaderIndex + 1) % 3;
      if (faultIndex % 6 === 0)
        world.injectStateFaults(controller, durationMs, { errorStatus: 429 });
      else if (faultIndex % 6 === 1)
        world.injectStateFaults(controller, durationMs, { errorStatus: 503 });
      else if (faultIndex % 6 === 2)
        world.injectStateFaults(controller, durationMs, { lostResponseRate: 0.3 });
      else if (faultIndex % 6 === 3) {
        world.state.setOutage(true);
        world.time.schedule(durationMs * 2, () => world.state.setOutage(false));
      } else if (faultIndex % 6 === 4)
        world.injectStateFaults(controller, durationMs * 2, { delayedTransactionRate: 0.6 });
      else world.state.compact();
    },
  },
  // Lost responses, delayed commands, duplicate heartbeats and hung machines.
  'lost and late': {
    firstFaultS: 10,
    faultIntervalS: 12,
    durationS: 62,
    setUp: ({ world }) => {
      world.lostResponseRate = 0.15;
      world.delayedCommandRate = 0.1;
      world.duplicateHeartbeatRate = 0.15;
    },
    injectFault: (run, faultIndex) => {
      const machine = run.pickMachine(faultIndex);
      if (!machine) return;
      machine.hung = true;
      run.world.time.schedule(2000 + run.draw('hangs', faultIndex) * 16_000, () =>
        machine.resume(),
      );
    },
  },
  // Lost responses and outages of the cloud, limited capacity, and machines that never boot.
  cloud: {
    firstFaultS: 8,
    faultIntervalS: 9,
    durationS: 62,
    setUp: ({ world }) => {
      world.cloud.capacity = (_type, zone, spot) => (spot ? 1 : zone === 'a' ? 0 : 3);
      world.cloud.bootFailureRate = 0.25;
      world.cloud.lostResponseRate = 0.25;
    },
    injectFault: (run, faultIndex) => {
      const { cloud } = run.world;
      cloud.unresponsive = faultIndex % 3 === 1;
      if (faultIndex === 3) cloud.capacity = () => 3;
    },
  },
  // Faulty jobs and machines, hung and unresponsive machines, and preemptions.
  failures: {
    firstFaultS: 14,
    faultIntervalS: 7,
    durationS: 70,
    setUp: (run) => {
      const { world } = run;
      world.taskFails = (task, machine) => {
        const jobId = task.split('/')[0] as string;
        return run.draw('bad job', jobId) < 0.08 || run.draw('bad machine', machine) < 0.15;
      };
    },
    injectFault: (run, faultIndex) => {
      const machine = run.pickMachine(faultIndex);
      if (!machine) return;
      if (faultIndex % 3 === 0) machine.unresponsive = true;
      else if (faultIndex % 3 === 1) machine.hung = true;
      else run.preempt(machine, 2.5);
    },
  },
  // Chains of dependent jobs, with cancellations and crashes of the leader.
  dependencies: {
    firstFaultS: 4,
    faultIntervalS: 6,
    durationS: 56,
    injectFault: (run, faultIndex) => {
      const { world, jobIds } = run;
      const rootId = world.submit({ hands: 2, expectedS: 6 + faultIndex });
      const submitDependent = () => world.submit({ hands: 2, expectedS: 5, awaits: [rootId] });
      const submitLast = (id: string) =>
        world.submit({ hands: 1, awaits: [id, ...jobIds.slice(-12)] });
      world.time.schedule(500, () => {
        const id = submitDependent();
        world.time.schedule(500, () => jobIds.push(submitLast(id)));
      });
      if (faultIndex % 3 === 1) world.time.schedule(2500, () => world.cancel(rootId));
      if (faultIndex % 5 === 4) crashAndRestart(run, world.leaderIndex, 2000);
    },
  },
  // More work than fits on the two machines that the cloud provides.
  crowded: {
    firstFaultS: 12,
    faultIntervalS: 9,
    durationS: 150,
    setUp: ({ world }) => {
      world.cloud.capacity = (type, _zone, spot) => (type === 'm16' && !spot ? 1 : 0);
    },
    injectFault: ({ world, jobIds }, faultIndex) => {
      const long = { expectedS: 80, cores: 8, hands: 2, loaner: false };
      if (faultIndex % 3 === 0)
        jobIds.push(world.submit({ ...long, rank: 'low', markEveryS: 20, markCostS: 3 }));
      else if (faultIndex % 3 === 1)
        jobIds.push(world.submit({ ...long, crew: 'lab', expectedS: 30 }));
      else jobIds.push(world.submit({ rank: 'critical', cores: 16, hands: 1, loaner: false }));
    },
  },
  // Hung and unresponsive machines, crashes of the leader, and a state service outage.
  silence: {
    firstFaultS: 16,
    faultIntervalS: 13,
    durationS: 100,
    setUp: ({ world, jobIds }) => {
      for (let i = 0; i < 4; i++) jobIds.push(world.submit({ hands: 24, expectedS: 20 }));
    },
    injectFault: (run, faultIndex) => {
      const { world, jobIds } = run;
      jobIds.push(world.submit({ hands: 20, expectedS: 18 }));
      const machines = [...world.machines.values()].slice(
        faultIndex % 2,
        (faultIndex % 2) + (faultIndex % 3 === 0 ? 1 : 3),
      );
      for (const machine of machines) {
        if (faultIndex % 3 === 2) machine.unresponsive = true;
        else machine.hung = true;
        if (faultIndex % 3 === 1)
          world.time.schedule(4600 + 100 * faultIndex, () => machine.resume());
      }
      if (faultIndex % 3 === 0)
        world.time.schedule(700, () => crashAndRestart(run, world.leaderIndex, 3000));
      if (faultIndex !== 4) return;
      world.state.setOutage(true);
      world.time.schedule(33_000, () => world.state.setOutage(false));
    },
  },
  // Dependency lists that exceed the maximum value size of the state service.
  'long lists': {
    firstFaultS: 6,
    faultIntervalS: 11,
    durationS: 50,
    stateSettings: { value_kb: 0.75 },
    setUp: ({ world }) => {
      world.cloud.capacity = () => 2;
    },
    injectFault: ({ world, jobIds }, faultIndex) => {
      const small = { hands: 1, cores: 1, expectedS: 4, deck: 'small', pullGb: 0.5 };
      const dependencies = Array.from({ length: 30 }, (_, i) => world.submit(small, i % 3));
      world.time.schedule(400, () => jobIds.push(world.submit({ ...small, awaits: dependencies })));
      if (faultIndex === 1)
        world.time.schedule(900, () => world.cancel(dependencies[20] as string));
    },
  },
  // Limits of the state service that are lowered while the controllers run.
  'lowered limits': {
    firstFaultS: 14,
    faultIntervalS: 15,
    durationS: 56,
    stateSettings: { next: { write_rps: 12, value_kb: 1, txn_ops: 4 } },
    injectFault: (run, faultIndex) => {
      const { state } = run.world;
      if (faultIndex === 0)
        state.limits = { maxValueBytes: 1024, maxChanges: 4, maxChangesPerS: 12 };
      else crashAndRestart(run, run.world.leaderIndex, 1500);
    },
  },
};

/** All kinds of history. */
export const KINDS = Object.keys(SCRIPTS);
