import assert from 'node:assert/strict';
import { NoResponseError, NotAttemptedError } from '../../src/http/errors.js';
import type { ListedMachine } from '../../src/model/machine.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { FakeClock } from './clock.js';
import { NEXT_LIMITS, ScriptedController } from './controller.js';
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
  readonly submittedIds = new Set<string>();
  readonly completedTasks = new Set<string>();
  /** Controllers that know of the limits to come; the others write as the version before did. */
  readonly upgraded = new Set(['c-0', 'c-1', 'c-2']);
  /** What jobs need, also those whose submission had no answer. */
  readonly needs = new Map<string, string[]>();
  /** Jobs whose users have asked to cancel them, answered or not. */
  readonly calledOff = new Set<string>();
  /** Starts of jobs before all that they need was done. */
  readonly startsBeforeDependencies: string[] = [];
  /** Starts of jobs whose cancellation had been confirmed. */
  lateStarts = 0;
  started = 0;
  /** Of transactions, and of reports. */
  lateShare = 0;
  copyShare = 0;
  readonly heartbeatMs = 3000;
  readonly agentLeaseMs = 20_000;
  readonly cancelLimitMs = 50_000;
  private readonly tasksPerJob = 3;
  private jobCount = 0;
  private processCount = 0;
  private replacementCount = 0;
  private readonly leaderStatusAt = new Map<string, number>();

  constructor(
    readonly random: () => number,
    machines: number,
    readonly taskDurationMs: () => number = () => 15_000,
  ) {
    for (let i = 0; i < 3; i++) this.controllers.push(this.startController(i));
    for (let i = 1; i <= machines; i++)
      this.machines.push(new ScriptedMachine(this, `n-${i}`, i % 2 === 0 ? 'a' : 'b'));
  }

  pick(n: number): number {
    return Math.floor(this.random() * n);
  }

  private startController(i: number): ScriptedController {
    return new ScriptedController(this, `c-${i}`, ++this.processCount);
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
    this.controllers[i] = this.startController(i);
  }

  later(ms: number, work: () => void): void {
    void this.clock.sleep(ms).then(work);
  }

  findMachine(address: string): ScriptedMachine | undefined {
    return this.machines.find((m) => m.address === address);
  }

  lastLedAt(observer: ScriptedController, node: string): number | null {
    return (
      this.leaderStatusAt.get(`${observer.name} ${node} ${observer.leadership.observedTerm}`) ??
      null
    );
  }

  cloudClient(caller: ScriptedController) {
    const assertNotCrashed = () => {
      if (caller.dead) throw new NoResponseError('the process has ended');
    };
    return {
      types: async () => {
        assertNotCrashed();
        return [MACHINE_TYPE];
      },
      list: async () => {
        assertNotCrashed();
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
        assertNotCrashed();
        return null;
      },
      terminate: async (ids: string[], _signal: AbortSignal, isStillValid: () => boolean) => {
        assertNotCrashed();
        if (!isStillValid()) throw new NotAttemptedError('no longer fit');
        for (const id of ids) this.replaceMachine(id);
      },
    };
  }

  /** The machine goes, and another comes in its place. */
  private replaceMachine(id: string): void {
    const m = this.machines.find((x) => x.worker.id === id);
    if (!m) return;
    m.gone = true;
    this.machines = this.machines.filter((x) => x !== m);
    // Names are never used again.
    this.machines.push(
      new ScriptedMachine(this, `n-${100 + ++this.replacementCount}`, m.worker.zone),
    );
  }

  agentClient(caller: ScriptedController) {
    return {
      command: async (
        address: string,
        token: number,
        agentEpoch: number,
        commands: TaskCommand[],
        _signal: AbortSignal,
        isStillValid: () => boolean,
      ) => {
        await this.clock.sleep(2);
        if (!isStillValid()) throw new NotAttemptedError('no longer fit');
        const m = this.findMachine(address);
        if (!m || caller.dead || caller.cutFromWorkers || m.deaf)
          throw new NoResponseError('timed out');
        if (m.hangs) {
          m.deferCommand(() => m.command(token, agentEpoch, commands));
          throw new NoResponseError('timed out');
        }
        return m.command(token, agentEpoch, commands);
      },
      retainOnly: () => {},
      close: () => {},
    };
  }

  // What the tasks do

  recordStart(job: string): void {
    this.started++;
    for (const id of this.needs.get(job) ?? [])
      if (!this.isDurablyDone(id)) this.startsBeforeDependencies.push(`${job} before ${id}`);
    if (this.told.get(job)?.standing === 'cancelled') this.lateStarts++;
  }

  private isDurablyDone(id: string): boolean {
    const end = this.store.entries.get(`over/${id}`)?.value as { state: string } | undefined;
    return end?.state === 'done';
  }

  /** From now on the state service takes no more than the upgraded controllers count on. */
  lowerLimits(): void {
    this.store.limits = { valueBytes: NEXT_LIMITS.value_kb * 1024, changes: NEXT_LIMITS.txn_ops };
  }

  recordTaskCompletion(job: string, index: number): void {
    this.completedTasks.add(`${job}/${index}`);
  }

  // Users

  async submit(fields: { awaits?: string[] } = {}): Promise<string> {
    const id = `req-${String(++this.jobCount).padStart(6, '0')}`;
    const body = {
      id,
      bracket: 'work',
      crew: 'ops',
      form: 'array',
      rank: 'standard',
      hands: this.tasksPerJob,
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
    this.submittedIds.add(id);
    this.needs.set(id, fields.awaits ?? []);
    const reply = await this.randomController()?.users.submit(Buffer.from(JSON.stringify(body)));
    if (reply?.status === 200 || reply?.status === 201) {
      this.recordReply(id, (reply.body as { standing: string }).standing);
    }
    return id;
  }

  /** True once the user has an answer that counts. */
  async cancel(
    id: string,
    controller: ScriptedController | undefined = this.randomController(),
  ): Promise<boolean> {
    this.calledOff.add(id);
    const reply = await controller?.users.cancel(id);
    if (reply?.status !== 200) return false;
    this.recordReply(id, (reply.body as { standing: string }).standing);
    return true;
  }

  async poll(id: string): Promise<void> {
    const reply = await this.randomController()?.users.query(id);
    if (reply?.status === 404) assert.ok(!this.told.has(id), `${id} was accepted and is forgotten`);
    if (reply?.status === 200) this.recordReply(id, (reply.body as { standing: string }).standing);
  }

  /** Any that is there. */
  private randomController(): ScriptedController | undefined {
    const alive = this.controllers.filter((c) => !c.dead);
    return alive[this.pick(alive.length)];
  }

  private recordReply(id: string, wireState: string): void {
    assert.ok(this.submittedIds.has(id), `${id} is invented`);
    const previous = this.told.get(id);
    const state = wireState === 'done' || wireState === 'cancelled' ? wireState : 'live';
    if (previous && previous.standing !== 'live')
      assert.equal(state, previous.standing, `${id} went back`);
    if (state === 'done')
      for (let i = 0; i < this.tasksPerJob; i++)
        assert.ok(this.completedTasks.has(`${id}/${i}`), `${id} is not done`);
    if (state === 'cancelled')
      assert.ok(
        [id, ...this.dependencyClosure(id)].some((x) => this.calledOff.has(x)),
        `${id} by nobody`,
      );
    if (state === 'live') this.checkNoDependencyCancelled(id);
    if (previous?.standing !== state) this.told.set(id, { standing: state, at: this.clock.now() });
  }

  /** All that the job needs, directly or through others. */
  private dependencyClosure(id: string): Set<string> {
    const all = new Set(this.needs.get(id) ?? []);
    for (const x of all) for (const y of this.needs.get(x) ?? []) all.add(y);
    return all;
  }

  private checkNoDependencyCancelled(id: string): void {
    for (const x of this.dependencyClosure(id)) {
      const dependency = this.told.get(x);
      const elapsedMs = dependency?.standing === 'cancelled' ? this.clock.now() - dependency.at : 0;
      assert.ok(elapsedMs <= this.cancelLimitMs, `${id} is called live, and ${x} is cancelled`);
    }
  }

  // Time and rules

  async run(seconds: number): Promise<void> {
    const end = this.clock.now() + seconds * 1000;
    while (this.clock.now() < end) {
      await this.clock.advance(TICK_MS / 2);
      this.checkInvariants();
    }
  }

  /** The controllers that this leader reaches hear it. */
  private recordLeaderStatus(leader: ScriptedController, now: number): void {
    const { number: term } = leader.leadership.current ?? {};
    for (const other of this.controllers)
      if (!other.cutFromPeers) this.leaderStatusAt.set(`${other.name} ${leader.name} ${term}`, now);
  }

  private checkInvariants(): void {
    const now = this.clock.now();
    for (const c of this.controllers)
      if (c.leader && !c.dead && !c.cutFromPeers) this.recordLeaderStatus(c, now);
    const running: string[] = [];
    for (const m of this.machines) {
      m.advanceToNow();
      for (const task of m.worker.running()) {
        running.push(task);
        const job = this.told.get(task.split('/')[0] as string);
        const elapsedMs = job?.standing === 'cancelled' ? now - job.at : 0;
        assert.ok(
          elapsedMs <= this.cancelLimitMs,
          `${task} on ${m.worker.id} is cancelled and still runs`,
        );
      }
    }
    assert.equal(new Set(running).size, running.length, 'a task runs on two machines');
    assert.deepEqual(this.startsBeforeDependencies, [], 'a task starts too early');
    assert.deepEqual(this.store.oversize, [], 'a write is larger than the limits');
  }
}
