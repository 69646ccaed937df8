import type {
  ExitCause,
  JobSpec,
  MachineReport,
  MachineType,
  Order,
  TaskState,
  Team,
} from '../../src/model/model.js';
import { BitmapLayout } from '../../src/records/bitmap-layout.js';
import { raiseFence } from '../../src/scheduler/reconcile/task-commands.js';
import { Cluster } from '../../src/scheduler/state/cluster-state.js';

export const TYPE: MachineType = {
  name: 'm16',
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  cacheGb: 50,
  fetchGbPerS: 0.5,
  price: 1,
  spotPrice: 0.3,
  bootS: 40,
  zones: ['a', 'b'],
};

export function team(fields: Partial<Team> & { name: string }): Team {
  return { cpus: 0, gpus: 0, cpusMax: 0, gpusMax: 0, ...fields };
}

export function cluster(options: { term?: number; teams?: Team[]; types?: MachineType[] } = {}) {
  const teams = options.teams ?? [team({ name: 'ops' })];
  const c = new Cluster(
    options.term ?? 1,
    new Map(teams.map((t) => [t.name, t])),
    {
      reportMs: 3000,
      workerLeaseMs: 20_000,
      listProofMs: 18_000,
      silentMs: 9000,
    },
    {
      weights: { throughput: 1, cost: 1, locality: 1 },
      waitSpread: 1.5,
      spread: 0.4,
      smoothBoots: 2.5,
      drainBoots: 0.5,
      idleBoots: 0.6,
      bootPatience: 4,
      backoffBoots: 0.3,
      sickJobs: 2,
      sickFailures: 3,
      faultyMachines: 3,
      machineStarts: 32,
    },
    { classes: new Map(), guaranteeS: null },
    new BitmapLayout(64, 64),
    () => {},
  );
  c.setTypes(options.types ?? [TYPE]);
  return c;
}

export function spec(fields: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'req-000001',
    jobClass: 'work',
    team: 'ops',
    rank: 2,
    tasks: 4,
    cpus: 4,
    gpus: 0,
    memoryGb: 8,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: true,
    estimateS: 20,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...fields,
  };
}

/** A worker by script: it executes orders as the protocol says and reports when told to. */
export class ScriptedWorker {
  session = 1;
  seq = 0;
  /** The highest token seen, in its two parts. */
  term = 0;
  fence = 0;
  noticeS: number | null = null;
  readonly tasks = new Map<
    string,
    { job: string; index: number; attempt: number; state: TaskState; cause: ExitCause | null }
  >();

  constructor(
    readonly id: string,
    readonly zone = 'a',
    readonly spot = false,
  ) {}

  report(): MachineReport {
    return {
      machine: this.id,
      address: `10.0.0.1:${9000 + Number(this.id.slice(2))}`,
      type: TYPE.name,
      zone: this.zone,
      spot: this.spot,
      session: this.session,
      seq: ++this.seq,
      term: this.term,
      fence: this.fence,
      noticeS: this.noticeS,
      tasks: [...this.tasks.values()].map((t) => ({ ...t, saved: false })),
    };
  }

  execute(term: number, orders: Order[], fence = 0): boolean {
    if (term < this.term || (term === this.term && fence < this.fence)) return false;
    this.term = term;
    this.fence = fence;
    for (const order of orders) this.carryOut(order);
    return true;
  }

  private carryOut(order: Order): void {
    const { op, job, index, attempt } = order;
    const key = `${job}/${index}/${attempt}`;
    const known = this.tasks.get(key);
    if (op === 'start') {
      if (!known) this.tasks.set(key, { job, index, attempt, state: 'running', cause: null });
    } else if (op === 'stop') {
      if (known && known.state !== 'exited') this.exit(key, 'stopped');
    } else if (known?.state === 'exited') this.tasks.delete(key);
  }

  exit(key: string, cause: ExitCause): void {
    const t = this.tasks.get(key);
    if (!t) throw new Error(`no task ${key}`);
    t.state = 'exited';
    t.cause = cause;
  }

  /** Its lease ran out. */
  lapse(): void {
    this.session++;
    this.tasks.clear();
  }

  running(): string[] {
    return [...this.tasks.values()]
      .filter((t) => t.state !== 'exited')
      .map((t) => `${t.job}/${t.index}`);
  }
}

/** Brings a machine up, confirmed and in the roster, as a leader's duties would. */
export function joined(c: Cluster, w: ScriptedWorker, now: number): ScriptedWorker {
  c.report(w.report(), true, now);
  w.execute(c.term, []);
  c.report(w.report(), true, now);
  const m = c.machines.get(w.id);
  if (!m) throw new Error('machine is not known');
  m.rostered = true;
  c.rosterPuts.delete(m);
  return w;
}

/** One report with its answer executed. */
export function beat(c: Cluster, w: ScriptedWorker, now: number): Order[] {
  c.report(w.report(), true, now);
  const m = c.machines.get(w.id);
  if (m) raiseFence(m, c.timing, now);
  const orders = m ? c.orders(m) : [];
  w.execute(c.term, orders, m?.fence ?? 0);
  return orders;
}
