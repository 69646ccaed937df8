import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heartbeat } from '../src/model/heartbeat.js';
import type { RosterEntry } from '../src/model/machine.js';
import type { TaskCommand } from '../src/model/task-command.js';
import { chunksOfUnknownVersion } from '../src/scheduler/persistence/bitmap-chunk-write.js';
import type { DurableWrite } from '../src/scheduler/persistence/durable-write.js';
import { pendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { raiseFenceIfDue, takePendingCommands } from '../src/scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import { satisfiesConstraints } from '../src/scheduler/state/constraints.js';
import type { Machine, TaskAttempt } from '../src/scheduler/state/task-attempt.js';
import { createCluster, jobSpec, ScriptedAgent, teamQuota } from './support/scheduler.js';

const LIMIT = 24;
const STEPS = 500;

interface Command {
  worker: ScriptedAgent;
  term: ClusterState;
  machine: Machine;
  session: number;
  fence: number;
  orders: TaskCommand[];
  starts: TaskAttempt[];
  /** It was carried out or refused before: this is a copy, whose answer nobody takes. */
  copied: boolean;
}

/**
 * A world of a few workers under leaders that come and go: reports are late,
 * answers are lost, commands arrive late or never, leases run out, machines
 * die, jobs are cancelled. What must hold is looked at after every step.
 */
class World {
  private readonly rng;
  private now = 0;
  private c: ClusterState;
  private readonly workers: ScriptedAgent[] = [];
  private readonly done = new Set<string>();
  private readonly live = new Map<string, number>();
  /** Pages of the roster as they stand in the state service. */
  private readonly roster = new Map<string, { version: number; machines: RosterEntry[] }>();
  /** Versions of the bitmaps that stand. */
  private readonly bits = new Map<string, number>();
  private revision = 0;
  /** Roster writes that had no answer and may still be applied. */
  private lateWrites: { term: ClusterState; unit: DurableWrite }[] = [];
  /** Reports on their way, each with the leader it was sent to. */
  private lateReports: { report: Heartbeat; term: ClusterState }[] = [];
  private commands: Command[] = [];
  private version = 0;
  private machines = 0;
  started = 0;
  finished = 0;

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
    this.c = this.leader(1);
    for (let i = 0; i < 3; i++) this.addWorker();
  }

  private pick(n: number): number {
    return uniformInt(this.rng, 0, n - 1);
  }

  private one<T>(list: T[]): T | undefined {
    return list.length > 0 ? list[this.pick(list.length)] : undefined;
  }

  private leader(term: number): ClusterState {
    const cluster = createCluster({ term, teams: [teamQuota({ name: 'ops', maxCpus: LIMIT })] });
    // The leader key's version fences what an earlier leader still has on its way.
    this.lateWrites = [];
    for (const [key, page] of this.roster) {
      cluster.roster.restore(key, page.version, page.machines);
      for (const entry of page.machines)
        cluster.inheritMachine(entry.id, entry.type, entry.zone, entry.spot, '', this.now);
    }
    for (const [id, version] of this.live) {
      const job = cluster.addJob(jobSpec({ id, tasks: 3 }), version, 0, true);
      for (let i = 0; i < 3; i++) if (this.done.has(`${id}/${i}`)) job?.markDone(i);
      if (this.bits.has(id)) job?.chunkVersions.set(0, this.bits.get(id) as number);
    }
    return cluster;
  }

  private addWorker(): void {
    this.workers.push(new ScriptedAgent(`n-${++this.machines}`));
  }

  step(): void {
    this.now += 100 + this.pick(400);
    const worker = this.one(this.workers);
    const event = this.pick(16);
    const common = this.commonEvents[event];
    if (common) common();
    else if (worker) this.workerEvent(event, worker);
    this.check();
  }

  /** By draw: events that need no worker. Numbers that stand in neither list are reports with their answers. */
  private readonly commonEvents: Record<number, () => void> = {
    0: () => this.submit(),
    1: () => this.cancel(),
    4: () => this.takeOver(),
    5: () => this.commandsOut(),
    6: () => this.commandIn(),
    7: () => this.flush(),
    9: () => this.lateReportIn(),
    14: () => this.commandIn(),
  };

  private workerEvent(event: number, worker: ScriptedAgent): void {
    switch (event) {
      case 2:
        if (this.pick(2) === 0) worker.lapse();
        break;
      case 3:
        if (this.pick(6) === 0) this.die(worker);
        break;
      case 8:
        this.lateReports.push({ report: worker.heartbeat(), term: this.c });
        break;
      case 10:
        this.endTasks(worker);
        break;
      default:
        this.reportIn(worker);
    }
  }

  private submit(): void {
    this.live.set(`req-${++this.version}`, this.version);
    this.c.addJob(jobSpec({ id: `req-${this.version}`, tasks: 3 }), this.version, this.now, false);
  }

  private cancel(): void {
    const id = this.one([...this.live.keys()]);
    if (!id || this.pick(6) > 0) return;
    this.live.delete(id);
    this.c.endJob(id, { state: 'cancelled', at: null });
  }

  private takeOver(): void {
    if (this.pick(9) > 0) return;
    this.c = this.leader(this.c.term + 1);
    // Of the commands of two leaders ago no machine takes one any more.
    this.commands = this.commands.filter((x) => x.term.term >= this.c.term - 1);
  }

  private die(worker: ScriptedAgent): void {
    this.workers.splice(this.workers.indexOf(worker), 1);
    this.c.markTerminated(worker.id, 'died', this.now);
    this.addWorker();
  }

  private endTasks(worker: ScriptedAgent): void {
    for (const [key, task] of worker.tasks)
      if (task.state === 'running' && this.pick(2) === 0)
        worker.exit(key, this.pick(5) === 0 ? 'error' : 'done');
  }

  private lateReportIn(): void {
    const late = this.one(this.lateReports);
    if (!late) return;
    this.lateReports.splice(this.lateReports.indexOf(late), 1);
    // Its worker has given it up, so the answer goes nowhere.
    this.answer(late.report, late.term);
  }

  private reportIn(worker: ScriptedAgent): void {
    const term = this.c;
    const commands = this.answer(worker.heartbeat(), term);
    const fence = term.machines.get(worker.id)?.fence ?? 0;
    if (this.pick(4) > 0) worker.execute(term.term, commands, fence);
  }

  private answer(heartbeat: Heartbeat, cluster: ClusterState): TaskCommand[] {
    if (heartbeat.term > cluster.term) return [];
    if (!cluster.applyHeartbeat(heartbeat, 'heartbeat', this.now)) return [];
    // A leader that another has followed has no proof any more and starts nothing.
    if (cluster !== this.c) return [];
    this.started += runPlacementRound(cluster, 32, this.now).started.length;
    const machine = cluster.machines.get(heartbeat.machineId);
    if (!machine) return [];
    raiseFenceIfDue(machine, cluster.timing, this.now);
    return cluster.heartbeatCommands(machine);
  }

  private commandsOut(): void {
    for (const machine of [...this.c.pendingCommands]) {
      this.c.pendingCommands.delete(machine);
      const worker = this.workers.find((w) => w.id === machine.id);
      const { commands: orders, starts } = takePendingCommands(machine);
      if (worker && orders.length > 0)
        this.commands.push({
          worker,
          term: this.c,
          machine,
          session: machine.agentEpoch,
          fence: machine.fence,
          orders,
          starts,
          copied: false,
        });
    }
  }

  /** A command arrives, perhaps long after it was sent, and a copy of it later still; its answer may be lost. */
  private commandIn(): void {
    const cmd = this.one(this.commands);
    if (!cmd) return;
    const copied = cmd.copied;
    if (this.pick(3) === 0) cmd.copied = true;
    else this.commands.splice(this.commands.indexOf(cmd), 1);
    if (!this.workers.includes(cmd.worker)) return;
    const executed =
      cmd.session === cmd.worker.agentEpoch &&
      cmd.worker.execute(cmd.term.term, cmd.orders, cmd.fence);
    if (copied || this.pick(3) === 0) return;
    const heartbeat = cmd.worker.heartbeat();
    if (heartbeat.term <= cmd.term.term)
      cmd.term.applyHeartbeat(heartbeat, 'commandReply', this.now);
    cmd.term.applyCommandResult(cmd.starts, executed, heartbeat.sequence);
  }

  private flush(): void {
    for (const { job, chunk } of chunksOfUnknownVersion(this.c))
      job.chunkVersions.set(chunk, this.bits.get(job.spec.id) ?? 0);
    for (const write of pendingWrites(this.c, { progressChanges: 9, wallNow: 0 })) {
      const fate = this.pick(8);
      if (fate < 2) {
        if (fate === 0) this.lateWrites.push({ term: this.c, unit: write });
        write.retry(fate === 0);
        continue;
      }
      if (this.apply(write)) write.applied(this.revision);
      else write.conflict(this.failed(write));
    }
    const late = this.one(this.lateWrites);
    if (!late || this.pick(3) > 0) return;
    this.lateWrites.splice(this.lateWrites.indexOf(late), 1);
    this.apply(late.unit);
  }

  private versionOf(key: string): number {
    const [kind, id = ''] = key.split('/');
    if (kind === 'roster') return this.roster.get(id)?.version ?? 0;
    return (kind === 'live' ? this.live : this.bits).get(id) ?? 0;
  }

  private failed(write: DurableWrite): string[] {
    const failed = write.conditions.filter(
      (condition) => this.versionOf(condition.key) !== condition.version,
    );
    return failed.map((condition) => condition.key);
  }

  /** The state service's part: all or nothing, over the versions of its keys. */
  private apply(write: DurableWrite): boolean {
    if (this.failed(write).length > 0) return false;
    this.revision++;
    for (const change of write.changes) {
      const [kind, id = ''] = change.key.split('/');
      if (kind === 'roster' && change.op === 'put')
        this.roster.set(id, {
          version: this.revision,
          machines: [...(change.value as { machines: RosterEntry[] }).machines],
        });
      else if (kind === 'roster') this.roster.delete(id);
      else if (kind === 'over') {
        this.finished++;
        this.live.delete(id);
      } else if (kind === 'bits' && change.op === 'put') this.putBits(id, String(change.value));
    }
    return true;
  }

  private putBits(id: string, value: string): void {
    const bits = Buffer.from(value, 'base64');
    this.bits.set(id, this.revision);
    for (let i = 0; i < 3; i++) {
      const set = ((bits[0] ?? 0) >> i) & 1;
      assert.ok(set || !this.done.has(`${id}/${i}`), 'a finished task was taken back');
      if (set) this.done.add(`${id}/${i}`);
    }
  }

  private check(): void {
    const running = this.workers.flatMap((w) => w.running());
    assert.equal(new Set(running).size, running.length, 'a task runs on two machines');
    assert.ok(running.length * 4 <= LIMIT, 'the team is over its limit');
    const rostered = new Set(
      [...this.roster.values()].flatMap((p) => p.machines.map((entry) => entry.id)),
    );
    for (const w of this.workers)
      if (w.running().length > 0)
        assert.ok(rostered.has(w.id), 'a machine with tasks is not in the roster');
    // What is kept up as machines are confirmed and go must equal a count made anew.
    for (const zone of [null, 'a', 'b'])
      for (const spot of [true, false]) {
        const job = jobSpec({ zone, allowsSpot: spot });
        const held = [...this.c.machines.values()].some(
          (machine) => machine.inherited && satisfiesConstraints(machine, job),
        );
        assert.equal(
          this.c.inheritedMachines.mayHold(job),
          held,
          'inherited machines are miscounted',
        );
      }
    let used = 0;
    for (const machine of this.c.machines.values())
      for (const attempt of machine.attempts.values())
        if (attempt.state !== 'exited') used += attempt.job.spec.cpus;
    assert.equal(
      this.c.quotaUsage.get('ops')?.cpus ?? 0,
      used,
      'the use of the team is miscounted',
    );
  }
}

test('over random histories no task runs twice, no limit is overrun, and work gets done', () => {
  let started = 0;
  let finished = 0;
  for (let seed = 1; seed <= 100; seed++) {
    const world = new World(seed);
    try {
      for (let i = 0; i < STEPS; i++) world.step();
    } catch (error) {
      throw new Error(`seed ${seed}: ${(error as Error).message}`, { cause: error });
    }
    started += world.started;
    finished += world.finished;
  }
  assert.ok(started > 1000, `only ${started} starts`);
  assert.ok(finished > 50, `only ${finished} jobs done`);
});
