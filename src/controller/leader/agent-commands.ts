/**
 * Commands that a leader sends to its machines directly, without waiting for
 * their next heartbeats: confirmations after failover, urgent starts and stops,
 * and probes of unresponsive machines. Owns the set of machines with a command
 * in flight; writes nothing to the state service.
 *
 * Serves docs/design.md "Safety" 2 (a command leaves only while the term is
 * proven), 3 (confirmed machines), 5 (a direct start stays assigned while
 * unanswered) and 6 (each command goes out under the machine's fence).
 */
import type { AgentClient, CommandResult } from '../../clients/agent-client.js';
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

/** A batch of confirmations is followed by this many times its duration for the machines' own heartbeats. */
const CONFIRMATION_REST_RATIO = 2;

/** Confirmations are sent in growing batches while a batch takes less than this share of the lag threshold. */
const QUICK_BATCH_SHARE = 0.5;

/** With the agent epoch that a refusal reports, a second confirmation is executed. */
const CONFIRMATION_ATTEMPTS = 2;

/** An agent begins with this epoch. */
const FIRST_AGENT_EPOCH = 1;

/** The sockets that a leader's commands may take. */
export interface CommandSockets {
  /** Commands in flight at the same time; the connections are kept open for the next ones. */
  commands: number;
  /** Machines confirmed at the same time after failover: a terminated one occupies its socket until it times out. */
  confirmations: number;
}

/** What the commands work on. */
export interface AgentCommandsOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  agents: Pick<AgentClient, 'command'>;
  sockets: CommandSockets;
}

/** Direct commands of one leader term. */
export class AgentCommands {
  /** Ids of machines with a command in flight: at most one each. */
  private readonly inFlight = new Set<string>();
  private readonly ctx: ControllerContext;
  private readonly term: LeaderTerm;
  private readonly cluster: ClusterState;

  constructor(private readonly options: AgentCommandsOptions) {
    this.ctx = options.ctx;
    this.term = options.term;
    this.cluster = options.cluster;
  }

  /** Whether a command to this machine has left and is not answered yet. */
  isInFlight(machineId: string): boolean {
    return this.inFlight.has(machineId);
  }

  /**
   * Sends the inherited machines the new fencing token without waiting for
   * their heartbeats: a response under it confirms the machine. Returns when
   * each has been confirmed or asked once; throws `AbortedError` when the
   * signal is aborted.
   */
  async confirmInheritedMachines(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    const waiting = [...this.cluster.machines.values()].filter((machine) => machine.inherited);
    let concurrency = 1;
    while (waiting.length > 0) {
      await waitWhileLagging(clock, timing.roundMs, timing.agentLeaseMs, signal);
      const batch = this.startConfirmations(waiting, concurrency, signal);
      const startedAt = clock.now();
      // A machine that does not answer must not delay the others.
      await Promise.race([Promise.all(batch), clock.sleep(timing.lagThresholdMs, signal)]);
      const tookMs = clock.now() - startedAt;
      concurrency = this.nextConcurrency(concurrency, tookMs);
      // A heartbeat costs less than a confirmation, and has to be answered in any case.
      await clock.sleep(tookMs * CONFIRMATION_REST_RATIO, signal);
    }
  }

  /** Takes machines from the end of `waiting`; those that a heartbeat has confirmed meanwhile are skipped. */
  private startConfirmations(
    waiting: Machine[],
    concurrency: number,
    signal: AbortSignal,
  ): Promise<void>[] {
    const batch: Promise<void>[] = [];
    while (batch.length < concurrency && waiting.length > 0) {
      const machine = waiting.pop() as Machine;
      if (machine.inherited && machine.address !== '') batch.push(this.confirm(machine, signal));
    }
    return batch;
  }

  /** Doubles while the machines answer quickly, and halves when they do not. */
  private nextConcurrency(concurrency: number, tookMs: number): number {
    const quick = tookMs < this.ctx.timing.lagThresholdMs * QUICK_BATCH_SHARE;
    if (!quick) return Math.max(1, Math.ceil(concurrency / 2));
    return Math.min(this.options.sockets.confirmations, concurrency * 2);
  }

  /** Sends what should not wait for the machines' next heartbeats, as far as the sockets go. */
  sendPending(): void {
    if (!this.term.mayStartTasks()) return;
    // A direct command costs several times what its content costs in the response to a heartbeat.
    if (this.cluster.isLagging(this.ctx.clock.now())) return;
    this.sendPendingCommands();
    this.sendPendingProbes();
  }

  /**
   * The same once the current event has been handled: the response to a
   * heartbeat takes the commands of its machine first, at no cost.
   */
  sendPendingSoon(): void {
    if (this.cluster.pendingCommands.size > 0) setImmediate(() => this.sendPending());
  }

  private sendPendingCommands(): void {
    const { pendingCommands } = this.cluster;
    for (const machine of pendingCommands) {
      // The rest follows as these are answered, unless a heartbeat comes first.
      if (!this.hasFreeSocket()) return;
      if (this.inFlight.has(machine.id)) continue;
      pendingCommands.delete(machine);
      const { commands, starts } = takePendingCommands(machine);
      if (commands.length > 0) void this.command(machine, commands, starts);
    }
  }

  /** A command without content: whether it is answered shows whether the machine receives commands. */
  private sendPendingProbes(): void {
    const { pendingProbes } = this.cluster;
    for (const machine of pendingProbes) {
      if (!this.hasFreeSocket()) return;
      if (this.inFlight.has(machine.id) || machine.address === '') continue;
      pendingProbes.delete(machine);
      void this.command(machine, [], []);
    }
  }

  private hasFreeSocket(): boolean {
    return this.inFlight.size < this.options.sockets.commands;
  }

  /**
   * Sends under the machine's fencing token. It is asked again whether the
   * term is proven once there is a connection: the wait for one may outlast the
   * proof.
   */
  private send(
    machine: Machine,
    agentEpoch: number,
    commands: TaskCommand[],
  ): Promise<CommandResult> {
    const { term } = this;
    return this.options.agents.command(
      machine.address,
      fencingToken(term.number, machine.fence),
      agentEpoch,
      commands,
      term.signal,
      () => term.isProven(),
    );
  }

  private async confirm(machine: Machine, signal: AbortSignal): Promise<void> {
    try {
      // Most agents are in their first epoch; a refusal reports a later one.
      let agentEpoch = Math.max(FIRST_AGENT_EPOCH, machine.agentEpoch);
      for (let attempt = 0; attempt < CONFIRMATION_ATTEMPTS && this.term.isProven(); attempt++) {
        const { executed, heartbeat } = await this.send(machine, agentEpoch, []);
        this.applyResponse(machine, heartbeat);
        if (executed || heartbeat.agentEpoch === agentEpoch) return;
        agentEpoch = heartbeat.agentEpoch;
      }
    } catch (err) {
      // A request that was not attempted says nothing about the machine.
      machine.confirmationUnanswered = !(err instanceof NotAttemptedError);
      if (!signal.aborted)
        this.ctx.log.debug({ machine: machine.id, err }, 'machine not confirmed by command');
    }
  }

  private async command(
    machine: Machine,
    commands: TaskCommand[],
    startedAttempts: TaskAttempt[],
  ): Promise<void> {
    const { cluster } = this;
    this.inFlight.add(machine.id);
    try {
      const { executed, heartbeat } = await this.send(machine, machine.agentEpoch, commands);
      this.applyResponse(machine, heartbeat);
      cluster.applyCommandResult(startedAttempts, executed, heartbeat.sequence);
      if (executed) cluster.markResponsive(machine);
    } catch (err) {
      this.recordFailure(machine, startedAttempts, err);
    } finally {
      this.inFlight.delete(machine.id);
      this.sendPendingSoon();
    }
  }

  /** Without an answer the starts may have been executed or be executed yet; they stay assigned. */
  private recordFailure(machine: Machine, startedAttempts: TaskAttempt[], err: unknown): void {
    const { ctx, term, cluster } = this;
    // What has certainly not left can still go out in the response to a heartbeat.
    if (err instanceof NotSentError)
      for (const attempt of startedAttempts) attempt.directCommandFence = null;
    if (term.signal.aborted) return;
    // A request that was not attempted says nothing about the machine, and behind a network
    // partition a machine can't answer.
    if (!(err instanceof NotAttemptedError) && !machine.relayed)
      cluster.markUnresponsive(machine, ctx.clock.now());
    ctx.log.debug({ machine: machine.id, err }, 'command not answered');
  }

  private applyResponse(machine: Machine, heartbeat: Heartbeat): void {
    // Guards against an address that another machine has now: its tasks are not this machine's.
    if (heartbeat.machineId !== machine.id) return;
    if (heartbeat.term > this.term.number)
      this.term.resign('command reply carries a higher fencing token');
    else this.cluster.applyHeartbeat(heartbeat, 'commandReply', this.ctx.clock.now());
  }
}
