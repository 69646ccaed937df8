/**
 * Handles one heartbeat as the leader: applies it to the cluster state and
 * collects the commands of the response. Owns no state; what it changes belongs
 * to `ClusterState`.
 *
 * Serves docs/design.md "Safety" 2 and 3 (starts only while the term is proven,
 * and only on a confirmed machine), 6 (fences), and "One bound for
 * cancellations": each response renews the agent's lease, so it always stops
 * what the heartbeat shows of ended jobs.
 */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { SchedulerPolicy } from '../../model/policy.js';
import type { TaskCommand } from '../../model/task-command.js';
import { placeOnMachine } from '../../scheduler/placement/placement-round.js';
import { raiseFenceIfDue } from '../../scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Machine } from '../../scheduler/state/task-attempt.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';
import type { AgentCommands } from './agent-commands.js';

/** For this share of an agent's lease the starts in responses to relayed heartbeats may show no effect. */
const RELAYED_PROBE_LEASES = 0.5;

/** What goes back to the agent. */
export interface HeartbeatResponse {
  commands: TaskCommand[];
  /** The machine's fence: the lower part of the fencing token of the response. */
  fence: number;
}

/** What the handling of heartbeats works on. */
export interface HeartbeatProcessorOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  policy: SchedulerPolicy;
  commands: Pick<AgentCommands, 'isInFlight' | 'sendPending'>;
}

/** Answers the agents' heartbeats for one leader term. */
export class HeartbeatProcessor {
  constructor(private readonly options: HeartbeatProcessorOptions) {}

  /** `relayed`: the heartbeat came by way of another controller, since a network partition keeps the agent away. */
  process(heartbeat: Heartbeat, relayed: boolean): HeartbeatResponse {
    const { ctx, term, cluster, policy, commands } = this.options;
    const now = ctx.clock.now();
    const applied = cluster.applyHeartbeat(heartbeat, 'heartbeat', now);
    const machine = cluster.machines.get(heartbeat.machineId);
    if (!applied || !machine) return this.respondToUnapplied(heartbeat, machine);
    machine.relayed = relayed;
    if (machine.unresponsiveSince !== null)
      this.recheckUnresponsive(machine, machine.unresponsiveSince, now);
    // Without proof, or before the machine's tasks are known, a start could run a task twice.
    if (!machine.confirmed || !term.mayStartTasks())
      return { commands: cluster.stopsOfEndedJobs(heartbeat), fence: machine.fence };
    // Resources that this heartbeat has freed are filled in its own response.
    placeOnMachine(cluster, machine, policy.startsPerMachine, now);
    // A command in flight would be refused under the new fencing token.
    if (!commands.isInFlight(machine.id)) raiseFenceIfDue(machine, cluster.timing, now);
    return { commands: cluster.heartbeatCommands(machine), fence: machine.fence };
  }

  /** A late copy, or a heartbeat of a machine that is not known: it starts nothing. */
  private respondToUnapplied(
    heartbeat: Heartbeat,
    machine: Machine | undefined,
  ): HeartbeatResponse {
    const { term, cluster } = this.options;
    // A response under a lower fence than the machine knows would be dropped.
    const reportedFence = heartbeat.term === term.number ? heartbeat.fence : 0;
    return {
      commands: cluster.stopsOfEndedJobs(heartbeat),
      fence: Math.max(machine?.fence ?? 0, reportedFence),
    };
  }

  /**
   * A machine that reports and on which nothing sent takes effect. A direct
   * probe shows whether it receives commands; behind a network partition it
   * can't answer one, and only starts without effect count against it.
   */
  private recheckUnresponsive(machine: Machine, unresponsiveSince: number, now: number): void {
    const { ctx, cluster, commands } = this.options;
    if (!machine.relayed) {
      cluster.pendingProbes.add(machine);
      setImmediate(() => commands.sendPending());
      return;
    }
    const waitedMs = now - unresponsiveSince;
    const waitedLongEnough = waitedMs > ctx.timing.agentLeaseMs * RELAYED_PROBE_LEASES;
    if (machine.missedAcknowledgements === 0 || waitedLongEnough) cluster.markResponsive(machine);
  }
}
