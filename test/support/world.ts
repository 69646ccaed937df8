import assert from 'node:assert/strict';
import { NoResponseError, NotAttemptedError } from '../../src/http/errors.js';
import type { ListedMachine } from '../../src/model/machine.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { FakeClock } from './clock.js';
import { NEXT_LIMITS, ScriptedController } from './controller.js';
import { MACHINE_TYPE } from './scheduler.js';
import { ScriptedMachine, TICK_MS } from './scripted-machine.js';
import { FakeStore } from './state.js';

/** State of a job as last reported to its user. */
interface ReportedState {
  state: 'live' | 'done' | 'cancelled';
  /** When this state was first reported, in milliseconds of the fake clock. */
  reportedAt: number;
}

/**
 * Simulates the whole system in one process with a fake clock: controllers with
 * their real routines, a state service, agents, a cloud without capacity, and
 * users. `checkInvariants` checks the safety rules after every step.
 */
export class World {
  readonly clock = new FakeClock(4);
  readonly store = new FakeStore(this.clock);
  readonly controllers: ScriptedController[] = [];
  machines: ScriptedMachine[] = [];
  /** The winner of each term, in order. */
  readonly termWinners: ScriptedController[] = [];
  /** By job id: the state that was last reported to its user. */
  readonly reportedStates = new Map<string, ReportedState>();
  readonly submittedIds = new Set<string>();
  /** Completed tasks as `<job>/<index>`. */
  readonly completedTasks = new Set<string>();
  /** Names of the controllers that know the announced limits; the others write as the previous version does. */
  readonly upgradedControllers = new Set(['c-0', 'c-1', 'c-2']);
  /** By job id: its dependencies. Includes jobs whose submission got no reply. */
  readonly dependenciesByJob = new Map<string, string[]>();
  /** Jobs for which a cancellation was requested, whether or not it got a reply. */
  readonly cancellationRequests = new Set<string>();
  /** Task starts of jobs with a dependency that was not durably done. */
  readonly startsBeforeDependencies: string[] = [];
  /** Number of task starts after the cancellation of the job was confirmed. */
  startsAfterCancellation = 0;
  /** Number of task starts. */
  startCount = 0;
  /** Share of transactions that get no reply and are applied later, 0 to 1. */
  delayedWriteShare = 0;
  /** Share of heartbeats of which a delayed duplicate arrives, 0 to 1. */
  duplicateHeartbeatShare = 0;
  readonly heartbeatMs = 3000;
  readonly agentLeaseMs = 20_000;
  readonly cancelLimitMs = 50_000;
  private readonly tasksPerJob = 3;
  private jobCount = 0;
  private processCount = 0;
  private replacementCount = 0;
  /** By observer, leader and term: when the observer last received a status of the leader. */
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

  /** Returns a random integer from 0 to `count` - 1. */
  randomIndex(count: number): number {
    return Math.floor(this.random() * count);
  }

  private startController(i: number): ScriptedController {
    return new ScriptedController(this, `c-${i}`, ++this.processCount);
  }

  /** The controller that leads with restored state and proven leadership; undefined if there is none. */
  get currentLeader(): ScriptedController | undefined {
    return this.controllers.find((c) => c.leader?.ready && c.election.currentTerm?.isProven());
  }

  /** A running controller that does not lead. */
  get follower(): ScriptedController {
    return this.controllers.find((c) => !c.hasCrashed && !c.leader) as ScriptedController;
  }

  /** Replaces the controller by a new process, unless it has been replaced already. */
  restart(c: ScriptedController): void {
    const i = this.controllers.indexOf(c);
    if (i < 0) return;
    if (!c.hasCrashed) c.crash();
    this.controllers[i] = this.startController(i);
  }

  runLater(delayMs: number, action: () => void): void {
    void this.clock.sleep(delayMs).then(action);
  }

  findMachine(address: string): ScriptedMachine | undefined {
    return this.machines.find((m) => m.address === address);
  }

  /**
   * Returns when the observer last received a status in which the node leads the
   * term that the observer knows, in milliseconds of the fake clock. Null if it
   * received none.
   */
  lastLedAt(observer: ScriptedController, node: string): number | null {
    return (
      this.leaderStatusAt.get(`${observer.name} ${node} ${observer.election.observedTerm}`) ?? null
    );
  }

  cloudClient(caller: ScriptedController) {
    const assertNotCrashed = () => {
      if (caller.hasCrashed) throw new NoResponseError('the process has ended');
    };
    return {
      types: async () => {
        assertNotCrashed();
        return [MACHINE_TYPE];
      },
      list: async () => {
        assertNotCrashed();
        const machines = this.machines.map((m): ListedMachine => {
          const { id, zone, spot } = m.agent;
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
        if (!isStillValid()) throw new NotAttemptedError('conditions no longer hold');
        for (const id of ids) this.replaceMachine(id);
      },
    };
  }

  /** Terminates the machine and adds another one in its zone. */
  private replaceMachine(id: string): void {
    const m = this.machines.find((x) => x.agent.id === id);
    if (!m) return;
    m.isTerminated = true;
    this.machines = this.machines.filter((x) => x !== m);
    // Machine ids are never reused.
    this.machines.push(
      new ScriptedMachine(this, `n-${100 + ++this.replacementCount}`, m.agent.zone),
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
        if (!isStillValid()) throw new NotAttemptedError('conditions no longer hold');
        const m = this.findMachine(address);
        if (!m || caller.hasCrashed || caller.isPartitionedFromAgents || m.dropsInbound)
          throw new NoResponseError('timed out');
        if (m.isSuspended) {
          m.deferCommand(() => m.command(token, agentEpoch, commands));
          throw new NoResponseError('timed out');
        }
        return m.command(token, agentEpoch, commands);
      },
      retainOnly: () => {},
      close: () => {},
    };
  }

  // Tasks

  recordStart(job: string): void {
    this.startCount++;
    for (const id of this.dependenciesByJob.get(job) ?? [])
      if (!this.isDurablyDone(id)) this.startsBeforeDependencies.push(`${job} before ${id}`);
    if (this.reportedStates.get(job)?.state === 'cancelled') this.startsAfterCancellation++;
  }

  private isDurablyDone(id: string): boolean {
    const end = this.store.entries.get(`over/${id}`)?.value as { state: string } | undefined;
    return end?.state === 'done';
  }

  /** Makes the state service enforce the announced limits, which only upgraded controllers observe. */
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
    this.dependenciesByJob.set(id, fields.awaits ?? []);
    const reply = await this.randomController()?.jobApi.submit(Buffer.from(JSON.stringify(body)));
    if (reply?.status === 200 || reply?.status === 201) {
      this.recordReply(id, (reply.body as { standing: string }).standing);
    }
    return id;
  }

  /** Requests a cancellation; returns true if it was confirmed or the job had ended. */
  async cancel(
    id: string,
    controller: ScriptedController | undefined = this.randomController(),
  ): Promise<boolean> {
    this.cancellationRequests.add(id);
    const reply = await controller?.jobApi.cancel(id);
    if (reply?.status !== 200) return false;
    this.recordReply(id, (reply.body as { standing: string }).standing);
    return true;
  }

  async poll(id: string): Promise<void> {
    const reply = await this.randomController()?.jobApi.query(id);
    if (reply?.status === 404)
      assert.ok(!this.reportedStates.has(id), `accepted job ${id} is reported as unknown`);
    if (reply?.status === 200) this.recordReply(id, (reply.body as { standing: string }).standing);
  }

  /** Returns a random running controller; undefined if none runs. */
  private randomController(): ScriptedController | undefined {
    const alive = this.controllers.filter((c) => !c.hasCrashed);
    return alive[this.randomIndex(alive.length)];
  }

  /** Checks a state that was reported to a user against the safety rules, and records it. */
  private recordReply(id: string, wireState: string): void {
    assert.ok(this.submittedIds.has(id), `${id} was never submitted`);
    const previous = this.reportedStates.get(id);
    const state = wireState === 'done' || wireState === 'cancelled' ? wireState : 'live';
    if (previous && previous.state !== 'live')
      assert.equal(state, previous.state, `${id} is reported in another state after its end`);
    if (state === 'done')
      for (let i = 0; i < this.tasksPerJob; i++)
        assert.ok(
          this.completedTasks.has(`${id}/${i}`),
          `${id} is reported as done before all its tasks completed`,
        );
    if (state === 'cancelled')
      assert.ok(
        [id, ...this.dependencyClosure(id)].some((x) => this.cancellationRequests.has(x)),
        `${id} is cancelled without a request`,
      );
    if (state === 'live') this.checkNoDependencyCancelled(id);
    if (previous?.state !== state)
      this.reportedStates.set(id, { state, reportedAt: this.clock.now() });
  }

  /** Returns the direct and indirect dependencies of the job. */
  private dependencyClosure(id: string): Set<string> {
    const all = new Set(this.dependenciesByJob.get(id) ?? []);
    for (const x of all) for (const y of this.dependenciesByJob.get(x) ?? []) all.add(y);
    return all;
  }

  /** Checks that no dependency of a live job was cancelled longer ago than the cancellation limit. */
  private checkNoDependencyCancelled(id: string): void {
    for (const x of this.dependencyClosure(id)) {
      const dependency = this.reportedStates.get(x);
      const elapsedMs =
        dependency?.state === 'cancelled' ? this.clock.now() - dependency.reportedAt : 0;
      assert.ok(
        elapsedMs <= this.cancelLimitMs,
        `${id} is reported as live too long after ${x} was cancelled`,
      );
    }
  }

  // Time and invariants

  async run(seconds: number): Promise<void> {
    const end = this.clock.now() + seconds * 1000;
    while (this.clock.now() < end) {
      await this.clock.advance(TICK_MS / 2);
      this.checkInvariants();
    }
  }

  /** Records that the controllers which the leader reaches receive its status. */
  private recordLeaderStatus(leader: ScriptedController, now: number): void {
    const { number: term } = leader.election.currentTerm ?? {};
    for (const other of this.controllers)
      if (!other.isPartitionedFromPeers)
        this.leaderStatusAt.set(`${other.name} ${leader.name} ${term}`, now);
  }

  private checkInvariants(): void {
    const now = this.clock.now();
    for (const c of this.controllers)
      if (c.leader && !c.hasCrashed && !c.isPartitionedFromPeers) this.recordLeaderStatus(c, now);
    const running: string[] = [];
    for (const m of this.machines) {
      m.advanceToNow();
      for (const task of m.agent.running()) {
        running.push(task);
        const job = this.reportedStates.get(task.split('/')[0] as string);
        const elapsedMs = job?.state === 'cancelled' ? now - job.reportedAt : 0;
        assert.ok(
          elapsedMs <= this.cancelLimitMs,
          `${task} on ${m.agent.id} runs too long after its cancellation`,
        );
      }
    }
    assert.equal(new Set(running).size, running.length, 'a task runs on two machines');
    assert.deepEqual(
      this.startsBeforeDependencies,
      [],
      'a task started before its dependencies were done',
    );
    assert.deepEqual(this.store.oversizedKeys, [], 'a write exceeds the limits');
  }
}
