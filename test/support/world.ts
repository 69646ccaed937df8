import assert from 'node:assert/strict';
import { pino } from 'pino';
import { DEFAULT_POLICY } from '../../src/config/policy.js';
import type { ListedMachine, MachineReport, Order } from '../../src/core/model.js';
import type { Context } from '../../src/duties/context.js';
import { corePolicy, Leader } from '../../src/duties/leader.js';
import { Leadership } from '../../src/duties/leadership.js';
import { Reports } from '../../src/duties/reports.js';
import { Users } from '../../src/duties/users.js';
import { NoAnswer, NotTried } from '../../src/http/client.js';
import type { Reply } from '../../src/http/server.js';
import { tokenOf } from '../../src/protocol/wire.js';
import { FakeClock } from './clock.js';
import { ScriptedWorker, TYPE } from './cluster.js';
import { context, type NextLimits } from './context.js';
import { FakeState, FakeStore } from './state.js';

const FENCES = tokenOf(1, 0);
/** A worker gives a report up after this long (protocol). */
const REPORT_TIMEOUT_MS = 4000;
/** Steps of a worker's own time. */
const TICK_MS = 500;

const STANDINGS = { fetching: 'pulling', running: 'running', saving: 'saving', exited: 'exited' };

/** A report in the wire's words. */
export function onWire(r: MachineReport): Buffer {
  return Buffer.from(
    JSON.stringify({
      cart: r.machine,
      endpoint: r.address,
      rig: r.type,
      hall: r.zone,
      loaner: r.spot,
      shift: r.session,
      tally: r.seq,
      baton: tokenOf(r.term, r.fence),
      recallS: r.noticeS,
      hands: r.tasks.map((t) => ({
        hand: `${t.job}/${t.index}`,
        try: t.attempt,
        standing: STANDINGS[t.state],
        ...(t.cause ? { cause: t.cause === 'stopped' ? 'halted' : t.cause } : {}),
      })),
    }),
  );
}

interface WireOrder {
  verb: string;
  hand: string;
  try: number;
  windDownS?: number;
}

function fromWire(o: WireOrder): Order {
  const [job = '', index = ''] = o.hand.split('/');
  const base = { job, index: Number(index), attempt: o.try };
  if (o.verb === 'run') return { op: 'start', ...base };
  return o.verb === 'kill' ? { op: 'stop', ...base, graceS: 0 } : { op: 'forget', ...base };
}

/** One controller with its real duties; its sockets are played. */
export class Controller {
  readonly state: FakeState;
  readonly ctx: Context;
  readonly leadership: Leadership;
  readonly reports: Reports;
  readonly users: Users;
  leader: Leader | null = null;
  /** Reaches no other controller, and no worker reaches or hears it. */
  cutFromPeers = false;
  cutFromWorkers = false;
  dead = false;
  private readonly stop = new AbortController();

  constructor(
    readonly world: World,
    readonly name: string,
    life: number,
  ) {
    const { clock, store } = world;
    this.state = new FakeState(store);
    this.state.holdsBack = () => world.random() < world.lateShare;
    const next = world.upgraded.has(name) ? NEXT : null;
    this.ctx = { ...context(name, this.state, clock, next), incarnation: `${name}-${life}` };
    this.ctx.log = pino({ level: 'silent' });
    this.leadership = new Leadership(this.ctx, async (term) => {
      const leader = new Leader(
        this.ctx,
        world.cloud(this),
        term,
        corePolicy(DEFAULT_POLICY),
        world.commands(this),
      );
      this.leader = leader;
      world.terms.push(this);
      try {
        await leader.run();
      } finally {
        this.leader = null;
      }
    });
    this.users = new Users(
      this.ctx,
      () => null,
      async (id, revision) => {
        this.leader?.cancelled(id, revision);
        for (const peer of this.peersHeard()) peer.leader?.cancelled(id, revision);
      },
    );
    const peer = (node: string) => this.peersHeard().find((c) => c.name === node);
    this.reports = new Reports(
      this.ctx,
      this.leadership,
      () => this.leader,
      {
        hears: (node) => peer(node) !== undefined,
        heardLeading: (node) => world.heardLeading(this, node),
        passReport: async (node, body) => {
          const other = peer(node);
          if (!other) throw new Error('not heard');
          return other.reports.handle(body);
        },
        mailReport: () => Promise.reject(new Error('no mail')),
      },
      async (address) => {
        const m = world.byAddress(address);
        if (!m || m.hangs || m.deaf || this.cutFromWorkers) throw new NoAnswer('not asked');
        return m.worker.report();
      },
    );
    void this.leadership.run(this.stop.signal);
  }

  private peersHeard(): Controller[] {
    if (this.cutFromPeers) return [];
    return this.world.controllers.filter((c) => c !== this && !c.dead && !c.cutFromPeers);
  }

  /** Ends like a killed process: nothing more leaves it. */
  crash(): void {
    this.dead = true;
    this.state.fault = 'dead';
    this.stop.abort();
  }
}

/** A machine with its worker, as the protocol describes it. */
export class PlayedMachine {
  readonly worker: ScriptedWorker;
  hangs = false;
  deaf = false;
  mute = false;
  gone = false;
  /** The lease runs from here. */
  private leaseFrom: number;
  private at: number;
  private reported = '';
  private readonly ends = new Map<string, number>();
  /** Direct commands that came while it hung. */
  private held: (() => void)[] = [];

  constructor(
    readonly world: World,
    id: string,
    zone: string,
  ) {
    this.worker = new ScriptedWorker(id, zone);
    this.leaseFrom = world.clock.now();
    this.at = world.pick(3);
    void this.run();
  }

  get address(): string {
    return `10.0.0.1:${9000 + Number(this.worker.id.slice(2))}`;
  }

  /** The worker's own clock: its lease and its tasks' ends, to the moment. */
  sync(): void {
    const now = this.world.clock.now();
    if (now - this.leaseFrom > this.world.leaseMs) {
      this.worker.lapse();
      this.leaseFrom = now;
      this.ends.clear();
    }
    if (this.hangs) return;
    for (const [key, end] of this.ends) {
      const t = this.worker.tasks.get(key);
      if (!t || t.state === 'exited') this.ends.delete(key);
      else if (end <= now) {
        this.worker.exit(key, 'done');
        this.ends.delete(key);
        this.world.ended(t.job, t.index);
      }
    }
  }

  execute(token: number, orders: Order[]): boolean {
    this.sync();
    const before = new Set(this.worker.tasks.keys());
    const took = this.worker.execute(Math.floor(token / FENCES), orders, token % FENCES);
    for (const [key, t] of this.worker.tasks)
      if (!before.has(key) && t.state === 'running') {
        if (this.world.completed.has(`${t.job}/${t.index}`)) this.worker.exit(key, 'done');
        else {
          this.world.starts(t.job);
          this.ends.set(key, this.world.clock.now() + this.world.runMs());
        }
      }
    return took;
  }

  /** A direct command. */
  command(token: number, session: number, orders: Order[]) {
    const took = session === this.worker.session && this.execute(token, orders);
    return { executed: took, report: this.worker.report() };
  }

  hold(work: () => void): void {
    this.held.push(work);
  }

  resume(): void {
    this.hangs = false;
    this.sync();
    for (const work of this.held.splice(0)) work();
  }

  private async run(): Promise<void> {
    const { clock } = this.world;
    const every = this.world.reportMs;
    let due = clock.now() + this.world.random() * every;
    while (!this.gone) {
      await clock.sleep(TICK_MS);
      if (this.gone) return;
      this.sync();
      if (this.hangs) continue;
      const { worker } = this;
      const now = `${worker.session} ${worker.term} ${worker.fence} ${worker.running()} ${worker.tasks.size}`;
      if (clock.now() < due && now === this.reported) continue;
      this.reported = now;
      due = clock.now() + every * (0.75 + this.world.random() * 0.5);
      await this.report();
    }
  }

  private async report(): Promise<void> {
    const { clock, controllers } = this.world;
    const sentAt = clock.now();
    const node = controllers[this.at] as Controller;
    const { session } = this.worker;
    const body = onWire(this.worker.report());
    let reply: Reply | null = null;
    if (!this.mute && !node.dead && !node.cutFromWorkers) {
      if (this.world.random() < this.world.copyShare)
        this.world.later(2000 + this.world.random() * 30_000, () => {
          const to = controllers[this.world.pick(3)] as Controller;
          if (!to.dead) void to.reports.handle(body);
        });
      const answer = node.reports.handle(body).catch(() => null);
      const late = clock.sleep(REPORT_TIMEOUT_MS).then(() => null);
      reply = await Promise.race([answer, late]);
      if (this.deaf) reply = null;
    }
    if (this.gone || this.hangs) return;
    this.sync();
    if (reply?.status === 200) {
      const answer = reply.body as { baton: number; orders: WireOrder[] };
      if (session !== this.worker.session) return;
      if (answer.baton < tokenOf(this.worker.term, this.worker.fence)) return;
      this.execute(answer.baton, answer.orders.map(fromWire));
      this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      return;
    }
    const steward = (reply?.body as { steward?: string } | undefined)?.steward;
    const named = controllers.findIndex((c) => c.name === steward);
    if (reply?.status === 421 && named >= 0 && named !== this.at) this.at = named;
    else {
      await clock.sleep(1000);
      this.at = (this.at + 1) % controllers.length;
    }
    this.reported = '';
  }
}

/** Limits that the state service has from some moment on. */
const NEXT: NextLimits = { value_kb: 2, txn_ops: 4, write_rps: 20 };

interface Told {
  standing: 'live' | 'done' | 'cancelled';
  at: number;
}

/**
 * The whole protocol in one process and in fake time: controllers with their
 * real duties over a state service, workers, a cloud without capacity, and
 * users. `check` holds the rules after every step.
 */
export class World {
  readonly clock = new FakeClock(4);
  readonly store = new FakeStore(this.clock);
  readonly controllers: Controller[] = [];
  machines: PlayedMachine[] = [];
  /** Who has won a term, in order. */
  readonly terms: Controller[] = [];
  /** What users were told last. */
  readonly told = new Map<string, Told>();
  readonly asked = new Set<string>();
  readonly completed = new Set<string>();
  /** Controllers that know of the limits to come; the others write as the version before did. */
  readonly upgraded = new Set(['c-0', 'c-1', 'c-2']);
  /** What jobs need, also those whose submission had no answer. */
  readonly needs = new Map<string, string[]>();
  /** Jobs whose users have asked to cancel them, answered or not. */
  readonly calledOff = new Set<string>();
  /** Starts of jobs before all that they need was done. */
  readonly earlyStarts: string[] = [];
  /** Starts of jobs whose cancellation had been confirmed. */
  lateStarts = 0;
  started = 0;
  /** Of transactions, and of reports. */
  lateShare = 0;
  copyShare = 0;
  readonly reportMs = 3000;
  readonly leaseMs = 20_000;
  readonly cancelMs = 50_000;
  private readonly tasks = 3;
  private jobs = 0;
  private lives = 0;
  private replaced = 0;
  private readonly heardAt = new Map<string, number>();

  constructor(
    readonly random: () => number,
    machines: number,
    readonly runMs: () => number = () => 15_000,
  ) {
    for (let i = 0; i < 3; i++) this.controllers.push(this.controller(i));
    for (let i = 1; i <= machines; i++)
      this.machines.push(new PlayedMachine(this, `n-${i}`, i % 2 === 0 ? 'a' : 'b'));
  }

  pick(n: number): number {
    return Math.floor(this.random() * n);
  }

  private controller(i: number): Controller {
    return new Controller(this, `c-${i}`, ++this.lives);
  }

  get leading(): Controller | undefined {
    return this.controllers.find((c) => c.leader?.ready && c.leadership.current?.proven());
  }

  /** A controller that is not the leader. */
  get other(): Controller {
    return this.controllers.find((c) => !c.dead && !c.leader) as Controller;
  }

  /** Another process in its place, unless there is one already. */
  restart(c: Controller): void {
    const i = this.controllers.indexOf(c);
    if (i < 0) return;
    if (!c.dead) c.crash();
    this.controllers[i] = this.controller(i);
  }

  later(ms: number, work: () => void): void {
    void this.clock.sleep(ms).then(work);
  }

  byAddress(address: string): PlayedMachine | undefined {
    return this.machines.find((m) => m.address === address);
  }

  heardLeading(from: Controller, node: string): number | null {
    return this.heardAt.get(`${from.name} ${node} ${from.leadership.knownTerm}`) ?? null;
  }

  cloud(from: Controller) {
    const gate = () => {
      if (from.dead) throw new NoAnswer('the process has ended');
    };
    return {
      types: async () => {
        gate();
        return [TYPE];
      },
      list: async () => {
        gate();
        const machines = this.machines.map((m): ListedMachine => {
          const { id, zone, spot } = m.worker;
          return { id, address: m.address, type: TYPE.name, zone, spot, state: 'running', ageS: 9 };
        });
        return { machines, more: false };
      },
      rent: async () => {
        gate();
        return null;
      },
      giveBack: async (ids: string[], _signal: AbortSignal, fit: () => boolean) => {
        gate();
        if (!fit()) throw new NotTried('no longer fit');
        for (const id of ids) this.replace(id);
      },
    };
  }

  /** The machine goes, and another comes in its place. */
  private replace(id: string): void {
    const m = this.machines.find((x) => x.worker.id === id);
    if (!m) return;
    m.gone = true;
    this.machines = this.machines.filter((x) => x !== m);
    // Names are never used again.
    this.machines.push(new PlayedMachine(this, `n-${100 + ++this.replaced}`, m.worker.zone));
  }

  commands(from: Controller) {
    return {
      command: async (
        address: string,
        token: number,
        session: number,
        orders: Order[],
        _signal: AbortSignal,
        fit: () => boolean,
      ) => {
        await this.clock.sleep(2);
        if (!fit()) throw new NotTried('no longer fit');
        const m = this.byAddress(address);
        if (!m || from.dead || from.cutFromWorkers || m.deaf) throw new NoAnswer('timed out');
        if (m.hangs) {
          m.hold(() => m.command(token, session, orders));
          throw new NoAnswer('timed out');
        }
        return m.command(token, session, orders);
      },
      keep: () => {},
      close: () => {},
    };
  }

  // What the tasks do

  starts(job: string): void {
    this.started++;
    for (const id of this.needs.get(job) ?? [])
      if (!this.isDurablyDone(id)) this.earlyStarts.push(`${job} before ${id}`);
    if (this.told.get(job)?.standing === 'cancelled') this.lateStarts++;
  }

  private isDurablyDone(id: string): boolean {
    const end = this.store.entries.get(`over/${id}`)?.value as { state: string } | undefined;
    return end?.state === 'done';
  }

  /** From now on the state service takes no more than the upgraded controllers count on. */
  lowerLimits(): void {
    this.store.limits = { valueBytes: NEXT.value_kb * 1024, changes: NEXT.txn_ops };
  }

  ended(job: string, index: number): void {
    this.completed.add(`${job}/${index}`);
  }

  // Users

  async submit(fields: { awaits?: string[] } = {}): Promise<string> {
    const id = `req-${String(++this.jobs).padStart(6, '0')}`;
    const body = {
      id,
      bracket: 'work',
      crew: 'ops',
      form: 'array',
      rank: 'standard',
      hands: this.tasks,
      cores: 4,
      accelerators: 0,
      memoryGb: 8,
      deck: 'img',
      pullGb: 1,
      oneZone: false,
      scatter: false,
      loaner: true,
      expectedS: 20,
      markEveryS: 0,
      markCostS: 0,
      ...fields,
    };
    this.asked.add(id);
    this.needs.set(id, fields.awaits ?? []);
    const reply = await this.any()?.users.submit(Buffer.from(JSON.stringify(body)));
    if (reply?.status === 200 || reply?.status === 201) {
      this.tell(id, (reply.body as { standing: string }).standing);
    }
    return id;
  }

  /** True once the user has an answer that counts. */
  async cancel(id: string, through: Controller | undefined = this.any()): Promise<boolean> {
    this.calledOff.add(id);
    const reply = await through?.users.cancel(id);
    if (reply?.status !== 200) return false;
    this.tell(id, (reply.body as { standing: string }).standing);
    return true;
  }

  async poll(id: string): Promise<void> {
    const reply = await this.any()?.users.query(id);
    if (reply?.status === 404) assert.ok(!this.told.has(id), `${id} was accepted and is forgotten`);
    if (reply?.status === 200) this.tell(id, (reply.body as { standing: string }).standing);
  }

  /** Any that is there. */
  private any(): Controller | undefined {
    const alive = this.controllers.filter((c) => !c.dead);
    return alive[this.pick(alive.length)];
  }

  private tell(id: string, standing: string): void {
    assert.ok(this.asked.has(id), `${id} is invented`);
    const before = this.told.get(id);
    const now = standing === 'done' || standing === 'cancelled' ? standing : 'live';
    if (before && before.standing !== 'live') assert.equal(now, before.standing, `${id} went back`);
    if (now === 'done')
      for (let i = 0; i < this.tasks; i++)
        assert.ok(this.completed.has(`${id}/${i}`), `${id} is not done`);
    if (now === 'cancelled')
      assert.ok(
        [id, ...this.above(id)].some((x) => this.calledOff.has(x)),
        `${id} by nobody`,
      );
    if (now === 'live') this.checkOrphaned(id);
    if (before?.standing !== now) this.told.set(id, { standing: now, at: this.clock.now() });
  }

  /** All that the job needs, directly or through others. */
  private above(id: string): Set<string> {
    const all = new Set(this.needs.get(id) ?? []);
    for (const x of all) for (const y of this.needs.get(x) ?? []) all.add(y);
    return all;
  }

  private checkOrphaned(id: string): void {
    for (const x of this.above(id)) {
      const told = this.told.get(x);
      const since = told?.standing === 'cancelled' ? this.clock.now() - told.at : 0;
      assert.ok(since <= this.cancelMs, `${id} is called live, and ${x} is cancelled`);
    }
  }

  // Time and rules

  async run(seconds: number): Promise<void> {
    const end = this.clock.now() + seconds * 1000;
    while (this.clock.now() < end) {
      await this.clock.advance(TICK_MS / 2);
      this.check();
    }
  }

  private check(): void {
    const now = this.clock.now();
    for (const c of this.controllers)
      if (c.leader && !c.dead)
        for (const other of this.controllers)
          if (!c.cutFromPeers && !other.cutFromPeers)
            this.heardAt.set(`${other.name} ${c.name} ${c.leadership.current?.term}`, now);
    const running: string[] = [];
    for (const m of this.machines) {
      m.sync();
      for (const task of m.worker.running()) {
        running.push(task);
        const told = this.told.get(task.split('/')[0] as string);
        const since = told?.standing === 'cancelled' ? now - told.at : 0;
        assert.ok(since <= this.cancelMs, `${task} on ${m.worker.id} is cancelled and still runs`);
      }
    }
    assert.equal(new Set(running).size, running.length, 'a task runs on two machines');
    assert.deepEqual(this.earlyStarts, [], 'a task starts too early');
    assert.deepEqual(this.store.oversize, [], 'a write is larger than the limits');
  }
}
