import assert from 'node:assert/strict';
import { NoResponseError, NotAttemptedError } from '../../src/http/errors.js';
import type { ListedMachine } from '../../src/model/machine.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { FakeClock } from './clock.js';
import { NEXT, ScriptedController } from './controller.js';
import { MACHINE_TYPE } from './scheduler.js';
import { ScriptedMachine, TICK_MS } from './scripted-machine.js';
import { FakeStore } from './state.js';

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
  readonly controllers: ScriptedController[] = [];
  machines: ScriptedMachine[] = [];
  /** Who has won a term, in order. */
  readonly terms: ScriptedController[] = [];
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
      this.machines.push(new ScriptedMachine(this, `n-${i}`, i % 2 === 0 ? 'a' : 'b'));
  }

  pick(n: number): number {
    return Math.floor(this.random() * n);
  }

  private controller(i: number): ScriptedController {
    return new ScriptedController(this, `c-${i}`, ++this.lives);
  }

  get leading(): ScriptedController | undefined {
    return this.controllers.find((c) => c.leader?.ready && c.leadership.current?.isProven());
  }

  /** A controller that is not the leader. */
  get other(): ScriptedController {
    return this.controllers.find((c) => !c.dead && !c.leader) as ScriptedController;
  }

  /** Another process in its place, unless there is one already. */
  restart(c: ScriptedController): void {
    const i = this.controllers.indexOf(c);
    if (i < 0) return;
    if (!c.dead) c.crash();
    this.controllers[i] = this.controller(i);
  }

  later(ms: number, work: () => void): void {
    void this.clock.sleep(ms).then(work);
  }

  byAddress(address: string): ScriptedMachine | undefined {
    return this.machines.find((m) => m.address === address);
  }

  heardLeading(from: ScriptedController, node: string): number | null {
    return this.heardAt.get(`${from.name} ${node} ${from.leadership.observedTerm}`) ?? null;
  }

  cloud(from: ScriptedController) {
    const gate = () => {
      if (from.dead) throw new NoResponseError('the process has ended');
    };
    return {
      types: async () => {
        gate();
        return [MACHINE_TYPE];
      },
      list: async () => {
        gate();
        const machines = this.machines.map((m): ListedMachine => {
          const { id, zone, spot } = m.worker;
          return {
            id,
            address: m.address,
            type: MACHINE_TYPE.name,
            zone,
            spot,
            state: 'running',
            ageS: 9,
          };
        });
        return { machines, more: false };
      },
      provision: async () => {
        gate();
        return null;
      },
      terminate: async (ids: string[], _signal: AbortSignal, fit: () => boolean) => {
        gate();
        if (!fit()) throw new NotAttemptedError('no longer fit');
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
    this.machines.push(new ScriptedMachine(this, `n-${100 + ++this.replaced}`, m.worker.zone));
  }

  commands(from: ScriptedController) {
    return {
      command: async (
        address: string,
        token: number,
        session: number,
        commands: TaskCommand[],
        _signal: AbortSignal,
        fit: () => boolean,
      ) => {
        await this.clock.sleep(2);
        if (!fit()) throw new NotAttemptedError('no longer fit');
        const m = this.byAddress(address);
        if (!m || from.dead || from.cutFromWorkers || m.deaf)
          throw new NoResponseError('timed out');
        if (m.hangs) {
          m.hold(() => m.command(token, session, commands));
          throw new NoResponseError('timed out');
        }
        return m.command(token, session, commands);
      },
      retainOnly: () => {},
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
  async cancel(id: string, through: ScriptedController | undefined = this.any()): Promise<boolean> {
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
  private any(): ScriptedController | undefined {
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

  /** The controllers that this leader reaches hear it. */
  private noteHeard(leading: ScriptedController, now: number): void {
    const { number: term } = leading.leadership.current ?? {};
    for (const other of this.controllers)
      if (!other.cutFromPeers) this.heardAt.set(`${other.name} ${leading.name} ${term}`, now);
  }

  private check(): void {
    const now = this.clock.now();
    for (const c of this.controllers)
      if (c.leader && !c.dead && !c.cutFromPeers) this.noteHeard(c, now);
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
