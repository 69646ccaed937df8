import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Heartbeat } from '../src/model/heartbeat.js';
import type { RosterEntry } from '../src/model/machine.js';
import type { TaskCommand } from '../src/model/task-command.js';
import { chunksWithUnknownVersion } from '../src/scheduler/persistence/bitmap-chunk-write.js';
import type { DurableWrite } from '../src/scheduler/persistence/durable-write.js';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import {
  dequeuePendingCommands,
  raiseFenceIfDue,
} from '../src/scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import { satisfiesConstraints } from '../src/scheduler/state/constraints.js';
import type { Machine, TaskAttempt } from '../src/scheduler/state/task-attempt.js';
import { createCluster, jobSpec, ScriptedAgent, teamQuota } from './support/scheduler.js';

const TEAM_CPU_LIMIT = 24;
const STEPS_PER_HISTORY = 500;

interface DirectCommand {
  agent: ScriptedAgent;
  cluster: ClusterState;
  machine: Machine;
  agentEpoch: number;
  fence: number;
  commands: TaskCommand[];
  starts: TaskAttempt[];
  /** Whether it was executed or refused before. The next delivery is a duplicate, whose reply is dropped. */
  duplicated: boolean;
}

/**
 * Simulates a few agents under changing leaders: heartbeats are delayed, responses
 * are lost, commands are delayed or dropped, leases expire, machines terminate
 * and jobs are cancelled. The invariants are checked after every step.
 */
class ClusterSimulation {
  private readonly rng;
  private now = 0;
  private cluster: ClusterState;
  private readonly agents: ScriptedAgent[] = [];
  private readonly doneTasks = new Set<string>();
  private readonly liveJobVersions = new Map<string, number>();
  /** Roster pages as stored in the state service. */
  private readonly rosterPages = new Map<string, { version: number; machines: RosterEntry[] }>();
  /** Versions of the stored bitmaps, by job id. */
  private readonly bitmapVersions = new Map<string, number>();
  private revision = 0;
  /** Writes that received no response and may still be applied. */
  private delayedWrites: { cluster: ClusterState; write: DurableWrite }[] = [];
  /** Heartbeats in transit, each with the leader to which it was sent. */
  private delayedHeartbeats: { heartbeat: Heartbeat; cluster: ClusterState }[] = [];
  private commands: DirectCommand[] = [];
  private jobCount = 0;
  private machineCount = 0;
  startedTasks = 0;
  finishedJobs = 0;

  constructor(seed: number) {
    this.rng = xoroshiro128plus(seed);
    this.cluster = this.createLeader(1);
    for (let i = 0; i < 3; i++) this.addAgent();
  }

  private randomInt(bound: number): number {
    return uniformInt(this.rng, 0, bound - 1);
  }

  private randomElement<T>(list: T[]): T | undefined {
    return list.length > 0 ? list[this.randomInt(list.length)] : undefined;
  }

  private createLeader(term: number): ClusterState {
    const cluster = createCluster({
      term,
      teams: [teamQuota({ name: 'ops', maxCpus: TEAM_CPU_LIMIT })],
    });
    // The version of the leader key fences in-flight writes of earlier leaders.
    this.delayedWrites = [];
    for (const [key, page] of this.rosterPages) {
      cluster.roster.restore(key, page.version, page.machines);
      for (const entry of page.machines)
        cluster.inheritMachine(entry.id, entry.type, entry.zone, entry.spot, '', this.now);
    }
    for (const [id, version] of this.liveJobVersions) {
      const job = cluster.addJob(jobSpec({ id, tasks: 3 }), version, 0, true);
      for (let i = 0; i < 3; i++) if (this.doneTasks.has(`${id}/${i}`)) job?.markDone(i);
      if (this.bitmapVersions.has(id))
        job?.chunkVersions.set(0, this.bitmapVersions.get(id) as number);
    }
    return cluster;
  }

  private addAgent(): void {
    this.agents.push(new ScriptedAgent(`n-${++this.machineCount}`));
  }

  step(): void {
    this.now += 100 + this.randomInt(400);
    const agent = this.randomElement(this.agents);
    const event = this.randomInt(16);
    const clusterEvent = this.clusterEvents[event];
    if (clusterEvent) clusterEvent();
    else if (agent) this.runAgentEvent(event, agent);
    this.checkInvariants();
  }

  /** Events that need no agent, by random number. Numbers in neither list are heartbeats with their responses. */
  private readonly clusterEvents: Record<number, () => void> = {
    0: () => this.submitJob(),
    1: () => this.cancelJob(),
    4: () => this.failOver(),
    5: () => this.sendCommands(),
    6: () => this.deliverCommand(),
    7: () => this.writePending(),
    9: () => this.deliverDelayedHeartbeat(),
    14: () => this.deliverCommand(),
  };

  private runAgentEvent(event: number, agent: ScriptedAgent): void {
    switch (event) {
      case 2:
        if (this.randomInt(2) === 0) agent.expireLease();
        break;
      case 3:
        if (this.randomInt(6) === 0) this.terminateMachine(agent);
        break;
      case 8:
        this.delayedHeartbeats.push({ heartbeat: agent.heartbeat(), cluster: this.cluster });
        break;
      case 10:
        this.exitTasks(agent);
        break;
      default:
        this.exchangeHeartbeat(agent);
    }
  }

  private submitJob(): void {
    this.liveJobVersions.set(`req-${++this.jobCount}`, this.jobCount);
    this.cluster.addJob(
      jobSpec({ id: `req-${this.jobCount}`, tasks: 3 }),
      this.jobCount,
      this.now,
      false,
    );
  }

  private cancelJob(): void {
    const id = this.randomElement([...this.liveJobVersions.keys()]);
    if (!id || this.randomInt(6) > 0) return;
    this.liveJobVersions.delete(id);
    this.cluster.endJob(id, { state: 'cancelled', at: null });
  }

  private failOver(): void {
    if (this.randomInt(9) > 0) return;
    this.cluster = this.createLeader(this.cluster.term + 1);
    // No machine accepts commands from leaders before the previous one.
    this.commands = this.commands.filter(
      (command) => command.cluster.term >= this.cluster.term - 1,
    );
  }

  private terminateMachine(agent: ScriptedAgent): void {
    this.agents.splice(this.agents.indexOf(agent), 1);
    this.cluster.markTerminated(agent.id, 'died', this.now);
    this.addAgent();
  }

  private exitTasks(agent: ScriptedAgent): void {
    for (const [key, task] of agent.tasks)
      if (task.state === 'running' && this.randomInt(2) === 0)
        agent.exit(key, this.randomInt(5) === 0 ? 'error' : 'done');
  }

  private deliverDelayedHeartbeat(): void {
    const delayed = this.randomElement(this.delayedHeartbeats);
    if (!delayed) return;
    this.delayedHeartbeats.splice(this.delayedHeartbeats.indexOf(delayed), 1);
    // The agent no longer waits for the response, so it is dropped.
    this.handleHeartbeat(delayed.heartbeat, delayed.cluster);
  }

  private exchangeHeartbeat(agent: ScriptedAgent): void {
    const cluster = this.cluster;
    const commands = this.handleHeartbeat(agent.heartbeat(), cluster);
    const fence = cluster.machines.get(agent.id)?.fence ?? 0;
    if (this.randomInt(4) > 0) agent.execute(cluster.term, commands, fence);
  }

  private handleHeartbeat(heartbeat: Heartbeat, cluster: ClusterState): TaskCommand[] {
    if (heartbeat.term > cluster.term) return [];
    if (!cluster.applyHeartbeat(heartbeat, 'heartbeat', this.now)) return [];
    // A leader that has been succeeded has no proof of leadership and starts nothing.
    if (cluster !== this.cluster) return [];
    this.startedTasks += runPlacementRound(cluster, 32, this.now).started.length;
    const machine = cluster.machines.get(heartbeat.machineId);
    if (!machine) return [];
    raiseFenceIfDue(machine, cluster.timing, this.now);
    return cluster.heartbeatCommands(machine);
  }

  private sendCommands(): void {
    for (const machine of [...this.cluster.pendingCommands]) {
      this.cluster.pendingCommands.delete(machine);
      const agent = this.agents.find((candidate) => candidate.id === machine.id);
      const { commands, starts } = dequeuePendingCommands(machine);
      if (agent && commands.length > 0)
        this.commands.push({
          agent,
          cluster: this.cluster,
          machine,
          agentEpoch: machine.agentEpoch,
          fence: machine.fence,
          commands,
          starts,
          duplicated: false,
        });
    }
  }

  /** Delivers a command, possibly long after it was sent and again as a duplicate. Its reply may be lost. */
  private deliverCommand(): void {
    const command = this.randomElement(this.commands);
    if (!command) return;
    const duplicated = command.duplicated;
    if (this.randomInt(3) === 0) command.duplicated = true;
    else this.commands.splice(this.commands.indexOf(command), 1);
    if (!this.agents.includes(command.agent)) return;
    const executed =
      command.agentEpoch === command.agent.agentEpoch &&
      command.agent.execute(command.cluster.term, command.commands, command.fence);
    if (duplicated || this.randomInt(3) === 0) return;
    const heartbeat = command.agent.heartbeat();
    if (heartbeat.term <= command.cluster.term)
      command.cluster.applyHeartbeat(heartbeat, 'commandReply', this.now);
    command.cluster.applyCommandResult(command.starts, executed, heartbeat.sequence);
  }

  private writePending(): void {
    for (const { job, chunk } of chunksWithUnknownVersion(this.cluster))
      job.chunkVersions.set(chunk, this.bitmapVersions.get(job.spec.id) ?? 0);
    for (const write of collectPendingWrites(this.cluster, { progressChanges: 9, wallNow: 0 })) {
      const outcome = this.randomInt(8);
      if (outcome < 2) {
        if (outcome === 0) this.delayedWrites.push({ cluster: this.cluster, write });
        write.retry(outcome === 0);
        continue;
      }
      if (this.applyWrite(write)) write.applied(this.revision);
      else write.conflict(this.failedConditionKeys(write));
    }
    const delayed = this.randomElement(this.delayedWrites);
    if (!delayed || this.randomInt(3) > 0) return;
    this.delayedWrites.splice(this.delayedWrites.indexOf(delayed), 1);
    this.applyWrite(delayed.write);
  }

  private versionOf(key: string): number {
    const [kind, id = ''] = key.split('/');
    if (kind === 'roster') return this.rosterPages.get(id)?.version ?? 0;
    return (kind === 'live' ? this.liveJobVersions : this.bitmapVersions).get(id) ?? 0;
  }

  private failedConditionKeys(write: DurableWrite): string[] {
    const failed = write.conditions.filter(
      (condition) => this.versionOf(condition.key) !== condition.version,
    );
    return failed.map((condition) => condition.key);
  }

  /** Applies a write as the state service does: completely if all key versions match, otherwise not at all. */
  private applyWrite(write: DurableWrite): boolean {
    if (this.failedConditionKeys(write).length > 0) return false;
    this.revision++;
    for (const change of write.changes) {
      const [kind, id = ''] = change.key.split('/');
      if (kind === 'roster' && change.op === 'put')
        this.rosterPages.set(id, {
          version: this.revision,
          machines: [...(change.value as { machines: RosterEntry[] }).machines],
        });
      else if (kind === 'roster') this.rosterPages.delete(id);
      else if (kind === 'over') {
        this.finishedJobs++;
        this.liveJobVersions.delete(id);
      } else if (kind === 'bits' && change.op === 'put') this.putBits(id, String(change.value));
    }
    return true;
  }

  private putBits(id: string, value: string): void {
    const bits = Buffer.from(value, 'base64');
    this.bitmapVersions.set(id, this.revision);
    for (let i = 0; i < 3; i++) {
      const isSet = ((bits[0] ?? 0) >> i) & 1;
      assert.ok(
        isSet || !this.doneTasks.has(`${id}/${i}`),
        'a done task is no longer marked as done',
      );
      if (isSet) this.doneTasks.add(`${id}/${i}`);
    }
  }

  private checkInvariants(): void {
    const running = this.agents.flatMap((agent) => agent.running());
    assert.equal(new Set(running).size, running.length, 'a task runs on two machines');
    assert.ok(running.length * 4 <= TEAM_CPU_LIMIT, 'the team exceeds its quota');
    const rosterMachineIds = new Set(
      [...this.rosterPages.values()].flatMap((page) => page.machines.map((entry) => entry.id)),
    );
    for (const agent of this.agents)
      if (agent.running().length > 0)
        assert.ok(rosterMachineIds.has(agent.id), 'a machine with tasks is not in the roster');
    // Counts that are updated as machines are confirmed or removed must match a recount.
    for (const zone of [null, 'a', 'b'])
      for (const spot of [true, false]) {
        const job = jobSpec({ zone, allowsSpot: spot });
        const expected = [...this.cluster.machines.values()].some(
          (machine) => machine.inherited && satisfiesConstraints(machine, job),
        );
        assert.equal(
          this.cluster.inheritedMachines.mayRunTasksOf(job),
          expected,
          'inherited machines are miscounted',
        );
      }
    let used = 0;
    for (const machine of this.cluster.machines.values())
      for (const attempt of machine.attempts.values())
        if (attempt.state !== 'exited') used += attempt.job.spec.cpus;
    assert.equal(
      this.cluster.quotaUsage.get('ops')?.cpus ?? 0,
      used,
      'the quota usage of the team is miscounted',
    );
  }
}

test('over random histories no task runs twice, no quota is exceeded, and work is completed', () => {
  let startedTasks = 0;
  let finishedJobs = 0;
  for (let seed = 1; seed <= 100; seed++) {
    const simulation = new ClusterSimulation(seed);
    try {
      for (let i = 0; i < STEPS_PER_HISTORY; i++) simulation.step();
    } catch (error) {
      throw new Error(`seed ${seed}: ${(error as Error).message}`, { cause: error });
    }
    startedTasks += simulation.startedTasks;
    finishedJobs += simulation.finishedJobs;
  }
  assert.ok(startedTasks > 1000, `only ${startedTasks} starts`);
  assert.ok(finishedJobs > 50, `only ${finishedJobs} jobs done`);
});
