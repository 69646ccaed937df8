import type { AgentClient } from '../../clients/agent-client.js';
import { NotAttemptedError, NotSentError } from '../../http/errors.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { TaskCommand } from '../../model/task-command.js';
import { fencingToken } from '../../protocol/agent-protocol.js';
import { waitWhileLagging } from '../../runtime/clock.js';
import { takePendingCommands } from '../../scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Machine, TaskAttempt } from '../../scheduler/state/task-attempt.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';

/** Asking machines after a takeover is followed by this many times as much for their own reports. */
const CONFIRM_REST_RATIO = 2;

/** The sockets that a leader's commands may take. */
export interface CommandSockets {
  /** Commands to machines under way at the same time; the connections are kept for the next ones. */
  commands: number;
  /** Machines confirmed at the same time after a takeover: one that is gone keeps its lane until it times out. */
  confirmations: number;
}

/**
 * Commands that a leader sends straight to its machines, without waiting for
 * their next reports: its token after a takeover, urgent starts and stops, and
 * probes of machines that may not hear it.
 */
export class AgentCommands {
  /** Machines with a command under way: one at a time each. */
  private readonly inFlight = new Set<string>();

  constructor(
    private readonly ctx: ControllerContext,
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly agents: Pick<AgentClient, 'command'>,
    private readonly limits: CommandSockets,
  ) {}

  isInFlight(machine: string): boolean {
    return this.inFlight.has(machine);
  }

  /**
   * Sends the inherited machines the new token without waiting for their
   * reports: an answer under it confirms the machine.
   */
  async confirmInheritedMachines(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    const left = [...this.cluster.machines.values()].filter((machine) => machine.inherited);
    let atOnce = 1;
    while (left.length > 0) {
      await waitWhileLagging(clock, timing.roundMs, timing.agentLeaseMs, signal);
      const asked: Promise<void>[] = [];
      while (asked.length < atOnce && left.length > 0) {
        const machine = left.pop() as Machine;
        if (machine.inherited && machine.address !== '') asked.push(this.confirm(machine, signal));
      }
      const began = clock.now();
      // One that does not answer holds up nobody.
      await Promise.race([Promise.all(asked), clock.sleep(timing.lagThresholdMs, signal)]);
      const tookMs = clock.now() - began;
      const quick = tookMs < timing.lagThresholdMs * 0.5;
      atOnce = quick
        ? Math.min(this.limits.confirmations, atOnce * 2)
        : Math.max(1, Math.ceil(atOnce / 2));
      // A worker that reports costs less than one that is asked, and has to be served in any case.
      await clock.sleep(tookMs * CONFIRM_REST_RATIO, signal);
    }
  }

  /** Sends what should not wait for the machines' next reports. */
  sendPending(): void {
    const { cluster } = this;
    if (!this.term.mayStartTasks()) return;
    // A command costs several times what its orders cost in the answer to a report.
    if (cluster.isLagging(this.ctx.clock.now())) return;
    for (const machine of cluster.pendingCommands) {
      // The rest follows as these are answered, unless a report comes first.
      if (this.inFlight.size >= this.limits.commands) return;
      if (this.inFlight.has(machine.id)) continue;
      cluster.pendingCommands.delete(machine);
      const { commands: orders, starts } = takePendingCommands(machine);
      if (orders.length > 0) void this.command(machine, orders, starts);
    }
    for (const machine of cluster.pendingProbes) {
      if (this.inFlight.size >= this.limits.commands) return;
      if (this.inFlight.has(machine.id) || machine.address === '') continue;
      cluster.pendingProbes.delete(machine);
      void this.command(machine, [], []);
    }
  }

  /** The same after what is being handled now: a report's answer takes its own orders first. */
  sendPendingSoon(): void {
    if (this.cluster.pendingCommands.size > 0) setImmediate(() => this.sendPending());
  }

  /** A command under the machine's token. It leaves only while leadership is proven, however long it waited for its connection. */
  private send(machine: Machine, session: number, commands: TaskCommand[]) {
    const { term } = this;
    const token = fencingToken(term.number, machine.fence);
    return this.agents.command(
      machine.address,
      token,
      session,
      commands,
      term.signal,
      term.isProven,
    );
  }

  private async confirm(machine: Machine, signal: AbortSignal): Promise<void> {
    try {
      // Most machines are in their first session; the refusal tells of a later one.
      let session = Math.max(1, machine.agentEpoch);
      for (let tries = 0; tries < 2 && this.term.isProven(); tries++) {
        const result = await this.send(machine, session, []);
        this.applyResponse(machine, result.heartbeat);
        if (result.executed || result.heartbeat.agentEpoch === session) return;
        session = result.heartbeat.agentEpoch;
      }
    } catch (error) {
      // Not having asked says nothing of the machine.
      machine.confirmationUnanswered = !(error instanceof NotAttemptedError);
      if (!signal.aborted)
        this.ctx.log.debug(
          { machine: machine.id, error: String((error as Error).message) },
          'not confirmed by command',
        );
    }
  }

  private async command(
    machine: Machine,
    commands: TaskCommand[],
    startedAttempts: TaskAttempt[],
  ): Promise<void> {
    const { cluster, term, ctx } = this;
    this.inFlight.add(machine.id);
    try {
      const result = await this.send(machine, machine.agentEpoch, commands);
      this.applyResponse(machine, result.heartbeat);
      cluster.applyCommandResult(startedAttempts, result.executed, result.heartbeat.sequence);
      if (result.executed) cluster.markResponsive(machine);
    } catch (error) {
      if (error instanceof NotSentError)
        for (const start of startedAttempts) start.directCommandFence = null;
      const tried = !(error instanceof NotAttemptedError);
      if (tried && !term.signal.aborted && !machine.relayed)
        cluster.markUnresponsive(machine, ctx.clock.now());
      if (!term.signal.aborted)
        ctx.log.debug(
          { machine: machine.id, error: String((error as Error).message) },
          'command not answered',
        );
    } finally {
      this.inFlight.delete(machine.id);
      this.sendPendingSoon();
    }
  }

  private applyResponse(machine: Machine, heartbeat: Heartbeat): void {
    if (heartbeat.machineId !== machine.id) return;
    if (heartbeat.term > this.term.number)
      this.term.resign('command reply carries a higher fencing token');
    else this.cluster.applyHeartbeat(heartbeat, 'commandReply', this.ctx.clock.now());
  }
}
