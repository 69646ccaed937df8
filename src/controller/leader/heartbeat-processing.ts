/**
 * Handles one heartbeat as the leader: applies it to the cluster state and
 * collects the commands of the response. Owns no state; the state that it changes
 * belongs to `ClusterState`.
 *
 * Serves docs/design.md "Safety" 2 and 3 (tasks start only while the term is
 * proven, and only on a confirmed machine), 6 (fences), and "One bound for
 * cancellations": each response renews the agent's lease, so it always stops the
 * tasks of ended jobs that the heartbeat lists.
 */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { SchedulerPolicy } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import { placeOnMachine } from '../../scheduler/placement/machine-placement.js';
import { raiseFenceIfDue } from '../../scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Machine } from '../../scheduler/state/task-attempt.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import type { AgentCommands } from './agent-commands.js';

/**
 * A machine with relayed heartbeats that has been unresponsive for this share of
 * the agent lease is given starts again.
 */
const RELAYED_UNRESPONSIVE_LEASE_SHARE = 0.5;

/** The response to an agent's heartbeat. */
export interface HeartbeatResponse {
  commands: TaskCommand[];
  /** The machine's fence, which is the lower part of the response's fencing token. */
  fence: number;
}

/** Dependencies of `HeartbeatProcessor`. */
export interface HeartbeatProcessorOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  policy: SchedulerPolicy;
  commands: Pick<AgentCommands, 'hasCommandInFlight' | 'sendPending'>;
}

/** Responds to the agents' heartbeats for one leader term. */
export class HeartbeatProcessor {
  constructor(private readonly options: HeartbeatProcessorOptions) {}

  /**
   * Handles a heartbeat and returns the response. `relayed` is true when another
   * controller relayed the heartbeat because a network partition separates the
   * agent from this one.
   */
  process(heartbeat: Heartbeat, relayed: boolean): HeartbeatResponse {
    const { ctx, term, cluster, policy, commands } = this.options;
    const now = ctx.clock.now();
    const applied = cluster.applyHeartbeat(heartbeat, 'heartbeat', now);
    const machine = cluster.machines.get(heartbeat.machineId);
    if (!applied || !machine) return this.respondToUnapplied(heartbeat, machine);
    machine.relayed = relayed;
    if (machine.unresponsiveSince !== null)
      this.recheckUnresponsive(machine, machine.unresponsiveSince, now);
    // Without proof of leadership, or before the machine's tasks are known, a start could run a task twice.
    if (!machine.confirmed || !term.mayStartTasks())
      return { commands: cluster.stopsOfEndedJobs(heartbeat), fence: machine.fence };
    // Resources that this heartbeat frees are assigned in its own response.
    placeOnMachine(cluster, machine, policy.roundStartLimit, now);
    // The agent would refuse a command in flight after it has received a higher fence.
    if (!commands.hasCommandInFlight(machine.id)) raiseFenceIfDue(machine, cluster.timing, now);
    return { commands: cluster.heartbeatCommands(machine), fence: machine.fence };
  }

  /**
   * Responds to a duplicate or outdated heartbeat, or to one from an unknown
   * machine. Starts no tasks.
   */
  private respondToUnapplied(
    heartbeat: Heartbeat,
    machine: Machine | undefined,
  ): HeartbeatResponse {
    const { term, cluster } = this.options;
    // The agent would drop a response under a lower fence than the one it knows.
    const reportedFence = heartbeat.term === term.number ? heartbeat.fence : 0;
    return {
      commands: cluster.stopsOfEndedJobs(heartbeat),
      fence: Math.max(machine?.fence ?? 0, reportedFence),
    };
  }

  /**
   * Rechecks a machine that sends heartbeats but on which commands have no effect.
   * A direct probe shows whether it receives commands. Behind a network partition
   * it can't reply to one, and only starts without effect count against it.
   */
  private recheckUnresponsive(machine: Machine, unresponsiveSince: number, now: number): void {
    const { ctx, cluster, commands } = this.options;
    if (!machine.relayed) {
      cluster.pendingProbes.add(machine);
      setImmediate(() => commands.sendPending());
      return;
    }
    const waitedMs = now - unresponsiveSince;
    const waitedLongEnough = waitedMs > ctx.timing.agentLeaseMs * RELAYED_UNRESPONSIVE_LEASE_SHARE;
    if (machine.missedAcknowledgements === 0 || waitedLongEnough) cluster.markResponsive(machine);
  }
}
