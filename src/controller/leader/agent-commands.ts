/**
 * Commands that a leader sends to its machines directly, without waiting for
 * their next heartbeats: confirmations after failover, urgent starts and stops,
 * and probes of unresponsive machines. Owns the set of machines with a command in
 * flight; writes nothing to the state service.
 *
 * Serves docs/design.md "Safety" 2 (a command is sent only while the term is
 * proven), 3 (confirmed machines), 5 (a task that was started directly stays
 * assigned while the command has no reply) and 6 (each command carries the
 * machine's fence).
 */
import type { AgentClient, CommandResult } from '../../clients/agent-client.js';
import { NotAttemptedError, NotSentError } from '../../http/errors.js';
import type { Heartbeat } from '../../model/heartbeat.js';
import type { TaskCommand } from '../../model/task-command.js';
import { fencingToken } from '../../protocol/agent-protocol.js';
import { waitWhileLagging } from '../../runtime/clock.js';
import { dequeuePendingCommands } from '../../scheduler/reconcile/task-commands.js';
import type { ClusterState } from '../../scheduler/state/cluster-state.js';
import type { Machine, TaskAttempt } from '../../scheduler/state/task-attempt.js';
import type { ControllerContext } from '../context.js';
import type { LeaderTerm } from '../election/leader-term.js';

/**
 * After a batch of confirmations, this many times its duration is left for the
 * machines' own heartbeats.
 */
const CONFIRMATION_PAUSE_RATIO = 2;

/**
 * The number of concurrent confirmations grows while a batch takes less than this
 * share of the lag threshold.
 */
const QUICK_BATCH_LAG_SHARE = 0.5;

/**
 * The first attempt may be refused for its agent epoch; the second uses the epoch
 * that the refusal reports.
 */
const CONFIRMATION_ATTEMPTS = 2;

/** The epoch that an agent starts with. */
const FIRST_AGENT_EPOCH = 1;

/** Limits on the sockets that a leader's commands use. */
export interface CommandSockets {
  /** Maximum number of commands in flight; the connections are kept open for later commands. */
  commands: number;
  /**
   * Maximum number of machines confirmed concurrently after failover. A terminated
   * machine occupies its socket until the request times out.
   */
  confirmations: number;
}

/** Dependencies of `AgentCommands`. */
export interface AgentCommandsOptions {
  ctx: ControllerContext;
  term: LeaderTerm;
  cluster: ClusterState;
  agents: Pick<AgentClient, 'command'>;
  sockets: CommandSockets;
}

/** Sends the direct commands of one leader term. */
export class AgentCommands {
  /**
   * Ids of the machines with a command or probe in flight, at most one each.
   * Confirmations are not included.
   */
  private readonly inFlight = new Set<string>();
  private readonly ctx: ControllerContext;
  private readonly term: LeaderTerm;
  private readonly cluster: ClusterState;

  constructor(private readonly options: AgentCommandsOptions) {
    this.ctx = options.ctx;
    this.term = options.term;
    this.cluster = options.cluster;
  }

  /** Reports whether a command or probe to this machine is in flight. Confirmations do not count. */
  hasCommandInFlight(machineId: string): boolean {
    return this.inFlight.has(machineId);
  }

  /**
   * Sends the new fencing token to the inherited machines without waiting for their
   * heartbeats; a reply under it confirms the machine. Returns when every machine
   * with a known address has been confirmed or sent a confirmation; the others wait
   * for their heartbeats. Throws `AbortedError` when the signal is aborted.
   */
  async confirmInheritedMachines(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    const unconfirmed = [...this.cluster.machines.values()].filter((machine) => machine.inherited);
    let concurrency = 1;
    while (unconfirmed.length > 0) {
      await waitWhileLagging(clock, timing.placementIntervalMs, timing.agentLeaseMs, signal);
      const batch = this.startConfirmations(unconfirmed, concurrency, signal);
      const startedAt = clock.now();
      // A machine that does not reply must not delay the others.
      await Promise.race([Promise.all(batch), clock.sleep(timing.lagThresholdMs, signal)]);
      const batchDurationMs = clock.now() - startedAt;
      concurrency = this.nextConcurrency(concurrency, batchDurationMs);
      // Heartbeats cost less than confirmations and need a response in any case.
      await clock.sleep(batchDurationMs * CONFIRMATION_PAUSE_RATIO, signal);
    }
  }

  /**
   * Removes machines from the end of `unconfirmed` and sends confirmations to those
   * that have a known address and that no heartbeat has confirmed meanwhile.
   */
  private startConfirmations(
    unconfirmed: Machine[],
    concurrency: number,
    signal: AbortSignal,
  ): Promise<void>[] {
    const batch: Promise<void>[] = [];
    while (batch.length < concurrency && unconfirmed.length > 0) {
      const machine = unconfirmed.pop() as Machine;
      if (machine.inherited && machine.address !== '')
        batch.push(this.confirmMachine(machine, signal));
    }
    return batch;
  }

  /** Doubles the concurrency after a quick batch and halves it after a slow one. */
  private nextConcurrency(concurrency: number, batchDurationMs: number): number {
    const quick = batchDurationMs < this.ctx.timing.lagThresholdMs * QUICK_BATCH_LAG_SHARE;
    if (!quick) return Math.max(1, Math.ceil(concurrency / 2));
    return Math.min(this.options.sockets.confirmations, concurrency * 2);
  }

  /**
   * Sends the commands and probes that should not wait for the next heartbeats, up
   * to the socket limit. Sends none while the term may not start tasks or this
   * leader lags.
   */
  sendPending(): void {
    if (!this.term.mayStartTasks()) return;
    // A direct command costs several times as much as the same content in a heartbeat response.
    if (this.cluster.isLagging(this.ctx.clock.now())) return;
    this.sendPendingCommands();
    this.sendPendingProbes();
  }

  /**
   * Calls `sendPending` after the current event has been handled, so that the
   * response to a heartbeat first takes the commands of its machine at no extra
   * cost.
   */
  deferSendPending(): void {
    if (this.cluster.pendingCommands.size > 0) setImmediate(() => this.sendPending());
  }

  private sendPendingCommands(): void {
    const { pendingCommands } = this.cluster;
    for (const machine of pendingCommands) {
      // The others follow as replies to these arrive, or earlier with a heartbeat response.
      if (!this.hasFreeSocket()) return;
      if (this.inFlight.has(machine.id)) continue;
      pendingCommands.delete(machine);
      const { commands, starts } = dequeuePendingCommands(machine);
      if (commands.length > 0) void this.sendCommands(machine, commands, starts);
    }
  }

  /** Sends empty commands; a reply shows that the machine receives commands. */
  private sendPendingProbes(): void {
    const { pendingProbes } = this.cluster;
    for (const machine of pendingProbes) {
      if (!this.hasFreeSocket()) return;
      if (this.inFlight.has(machine.id) || machine.address === '') continue;
      pendingProbes.delete(machine);
      void this.sendCommands(machine, [], []);
    }
  }

  private hasFreeSocket(): boolean {
    return this.inFlight.size < this.options.sockets.commands;
  }

  /**
   * Sends commands under the machine's fencing token. The client checks again that
   * the term is proven once it has a connection, since the wait for one may outlast
   * the proof.
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

  private async confirmMachine(machine: Machine, signal: AbortSignal): Promise<void> {
    try {
      // Most agents are in their first epoch; a refusal reports a later one.
      let agentEpoch = Math.max(FIRST_AGENT_EPOCH, machine.agentEpoch);
      for (let attempt = 0; attempt < CONFIRMATION_ATTEMPTS && this.term.isProven(); attempt++) {
        const { executed, heartbeat } = await this.send(machine, agentEpoch, []);
        this.applyReply(machine, heartbeat);
        if (executed || heartbeat.agentEpoch === agentEpoch) return;
        agentEpoch = heartbeat.agentEpoch;
      }
    } catch (err) {
      // A request that was not attempted says nothing about the machine.
      machine.confirmationUnanswered = !(err instanceof NotAttemptedError);
      if (!signal.aborted)
        this.ctx.log.debug(
          { machine: machine.id, err },
          'confirmation command failed; waiting for a heartbeat of the machine',
        );
    }
  }

  private async sendCommands(
    machine: Machine,
    commands: TaskCommand[],
    startedAttempts: TaskAttempt[],
  ): Promise<void> {
    const { cluster } = this;
    this.inFlight.add(machine.id);
    try {
      const { executed, heartbeat } = await this.send(machine, machine.agentEpoch, commands);
      this.applyReply(machine, heartbeat);
      cluster.applyCommandResult(startedAttempts, executed, heartbeat.sequence);
      if (executed) cluster.markResponsive(machine);
    } catch (err) {
      this.handleCommandFailure(machine, startedAttempts, err);
    } finally {
      this.inFlight.delete(machine.id);
      this.deferSendPending();
    }
  }

  /**
   * Handles a command without a reply. Its starts may have been executed or may
   * still be executed later, so they stay assigned.
   */
  private handleCommandFailure(
    machine: Machine,
    startedAttempts: TaskAttempt[],
    err: unknown,
  ): void {
    const { ctx, term, cluster } = this;
    // Starts that were certainly not sent can still go out in the response to a heartbeat.
    if (err instanceof NotSentError)
      for (const attempt of startedAttempts) attempt.directCommandFence = null;
    if (term.signal.aborted) return;
    // A request that was not attempted says nothing about the machine, and a machine behind a
    // network partition can't reply.
    if (!(err instanceof NotAttemptedError) && !machine.relayed)
      cluster.markUnresponsive(machine, ctx.clock.now());
    ctx.log.debug({ machine: machine.id, err }, 'agent command failed; its starts stay assigned');
  }

  private applyReply(machine: Machine, heartbeat: Heartbeat): void {
    // The address may belong to another machine now, whose tasks are not this machine's.
    if (heartbeat.machineId !== machine.id) return;
    if (heartbeat.term > this.term.number)
      this.term.resign('command reply carries a higher fencing token');
    else this.cluster.applyHeartbeat(heartbeat, 'commandReply', this.ctx.clock.now());
  }
}
