import type { ExitCause, Heartbeat, TaskState } from '../../src/model/heartbeat.js';
import type { JobSpec } from '../../src/model/job.js';
import type { MachineType, RosterEntry } from '../../src/model/machine.js';
import type { TeamQuota } from '../../src/model/resources.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { BitmapLayout } from '../../src/records/bitmap-layout.js';
import { raiseFenceIfDue } from '../../src/scheduler/reconcile/task-commands.js';
import { ClusterState } from '../../src/scheduler/state/cluster-state.js';

export const MACHINE_TYPE: MachineType = {
  name: 'm16',
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  imageCacheGb: 50,
  imagePullGbPerS: 0.5,
  price: 1,
  spotPrice: 0.3,
  bootS: 40,
  zones: ['a', 'b'],
};

export function teamQuota(fields: Partial<TeamQuota> & { name: string }): TeamQuota {
  return { guaranteedCpus: 0, guaranteedGpus: 0, maxCpus: 0, maxGpus: 0, ...fields };
}

/** Returns an entry of the roster; entries with a one-digit index have the same size. */
export function rosterEntry(index: number): RosterEntry {
  return { id: `n-${index}`, type: 'm', zone: 'a', spot: true, address: '' };
}

export function createCluster(
  options: { term?: number; teams?: TeamQuota[]; types?: MachineType[] } = {},
) {
  const teams = options.teams ?? [teamQuota({ name: 'ops' })];
  const cluster = new ClusterState({
    term: options.term ?? 1,
    quotas: new Map(teams.map((quota) => [quota.name, quota])),
    timing: {
      heartbeatMs: 3000,
      agentLeaseMs: 20_000,
      listProofMs: 18_000,
      unreachableAfterMs: 9000,
    },
    policy: {
      weights: { throughput: 1, cost: 1, locality: 1 },
      waitSafetyMargin: 1.5,
      safetyMargin: 0.4,
      smoothingBoots: 2.5,
      backlogBoots: 0.5,
      idleBoots: 0.6,
      bootTimeoutBoots: 4,
      backoffBoots: 0.3,
      quarantineJobs: 2,
      quarantineFailures: 3,
      failingJobMachines: 3,
      roundStartLimit: 32,
    },
    objectives: { classes: new Map(), guaranteedStartS: null },
    bitmaps: new BitmapLayout(64, 64),
    logDecision: () => {},
  });
  cluster.updateMachineTypes(options.types ?? [MACHINE_TYPE]);
  return cluster;
}

export function jobSpec(fields: Partial<JobSpec> = {}): JobSpec {
  return {
    id: 'req-000001',
    jobClass: 'work',
    team: 'ops',
    priority: 2,
    tasks: 4,
    cpus: 4,
    gpus: 0,
    memoryGb: 8,
    image: 'img',
    imageGb: 1,
    machineTypes: null,
    zone: null,
    singleZone: false,
    zoneAntiAffinity: false,
    allowsSpot: true,
    estimatedDurationS: 20,
    checkpointIntervalS: 0,
    checkpointCostS: 0,
    deadlineS: null,
    ...fields,
  };
}

/** A simulated agent that executes commands as the protocol specifies. Tests request its heartbeats. */
export class ScriptedAgent {
  agentEpoch = 1;
  sequence = 0;
  /** The highest fencing token seen, in its two parts. */
  term = 0;
  fence = 0;
  preemptionNoticeS: number | null = null;
  readonly tasks = new Map<
    string,
    { jobId: string; index: number; attempt: number; state: TaskState; cause: ExitCause | null }
  >();

  constructor(
    readonly id: string,
    readonly zone = 'a',
    readonly spot = false,
  ) {}

  heartbeat(): Heartbeat {
    return {
      machineId: this.id,
      address: `10.0.0.1:${9000 + Number(this.id.slice(2))}`,
      type: MACHINE_TYPE.name,
      zone: this.zone,
      spot: this.spot,
      agentEpoch: this.agentEpoch,
      sequence: ++this.sequence,
      term: this.term,
      fence: this.fence,
      preemptionNoticeS: this.preemptionNoticeS,
      tasks: [...this.tasks.values()].map((task) => ({ ...task, saved: false })),
    };
  }

  execute(term: number, commands: TaskCommand[], fence = 0): boolean {
    if (term < this.term || (term === this.term && fence < this.fence)) return false;
    this.term = term;
    this.fence = fence;
    for (const command of commands) this.executeCommand(command);
    return true;
  }

  private executeCommand(command: TaskCommand): void {
    const { op, jobId, index, attempt } = command;
    const key = `${jobId}/${index}/${attempt}`;
    const task = this.tasks.get(key);
    if (op === 'start') {
      if (!task) this.tasks.set(key, { jobId, index, attempt, state: 'running', cause: null });
    } else if (op === 'stop') {
      if (task && task.state !== 'exited') this.exit(key, 'stopped');
    } else if (task?.state === 'exited') this.tasks.delete(key);
  }

  exit(key: string, cause: ExitCause): void {
    const task = this.tasks.get(key);
    if (!task) throw new Error(`the agent has no task ${key}`);
    task.state = 'exited';
    task.cause = cause;
  }

  /** Simulates the expiry of its lease, which ends all of its tasks. */
  expireLease(): void {
    this.agentEpoch++;
    this.tasks.clear();
  }

  running(): string[] {
    return [...this.tasks.values()]
      .filter((task) => task.state !== 'exited')
      .map((task) => `${task.jobId}/${task.index}`);
  }
}

/** Adds the agent's machine to the cluster: up, confirmed and in the roster, as the leader's routines would. */
export function joinCluster(
  cluster: ClusterState,
  agent: ScriptedAgent,
  now: number,
): ScriptedAgent {
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', now);
  agent.execute(cluster.term, []);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', now);
  const machine = cluster.machines.get(agent.id);
  if (!machine) throw new Error('the heartbeats did not register the machine');
  machine.inRoster = true;
  cluster.pendingRosterAdds.delete(machine);
  return agent;
}

/** Sends a heartbeat and executes the commands in its response. */
export function sendHeartbeat(
  cluster: ClusterState,
  agent: ScriptedAgent,
  now: number,
): TaskCommand[] {
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', now);
  const machine = cluster.machines.get(agent.id);
  if (machine) raiseFenceIfDue(machine, cluster.timing, now);
  const commands = machine ? cluster.heartbeatCommands(machine) : [];
  agent.execute(cluster.term, commands, machine?.fence ?? 0);
  return commands;
}

/** Creates a cluster with one joined machine, n-1, and a new job with this many tasks. */
export function clusterWithJob(tasks: number) {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const job = cluster.addJob(jobSpec({ tasks }), 5, 0, false);
  return { cluster, agent, job };
}
