import type { WorkerClient } from '../../clients/agent-client.js';
import { NotSent, NotTried } from '../../http/client.js';
import type { MachineReport, Order } from '../../model/model.js';
import { tokenOf } from '../../protocol/wire.js';
import { inTime } from '../../runtime/clock.js';
import { pendingOrders } from '../../scheduler/reconcile/task-commands.js';
import type { Cluster } from '../../scheduler/state/cluster-state.js';
import type { Binding, Machine } from '../../scheduler/state/machine.js';
import type { Context } from '../context.js';
import type { Term } from '../election/leader-election.js';

/** Asking machines after a takeover is followed by this many times as much for their own reports. */
const CONFIRM_REST = 2;

/** The sockets that a leader's commands may take. */
export interface CommandLimits {
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
export class Commands {
  /** Machines with a command under way: one at a time each. */
  private readonly underWay = new Set<string>();

  constructor(
    private readonly ctx: Context,
    private readonly term: Term,
    private readonly cluster: Cluster,
    private readonly workers: Pick<WorkerClient, 'command'>,
    private readonly limits: CommandLimits,
  ) {}

  isUnderWay(machine: string): boolean {
    return this.underWay.has(machine);
  }

  /**
   * Sends the inherited machines the new token without waiting for their
   * reports: an answer under it confirms the machine.
   */
  async confirmAll(signal: AbortSignal): Promise<void> {
    const { clock, timing } = this.ctx;
    const left = [...this.cluster.machines.values()].filter((m) => m.inherited);
    let atOnce = 1;
    while (left.length > 0) {
      await inTime(clock, timing.roundMs, timing.workerLeaseMs, signal);
      const asked: Promise<void>[] = [];
      while (asked.length < atOnce && left.length > 0) {
        const machine = left.pop() as Machine;
        if (machine.inherited && machine.address !== '') asked.push(this.confirm(machine, signal));
      }
      const began = clock.now();
      // One that does not answer holds up nobody.
      await Promise.race([Promise.all(asked), clock.sleep(timing.lateMs, signal)]);
      const tookMs = clock.now() - began;
      const quick = tookMs < timing.lateMs * 0.5;
      atOnce = quick
        ? Math.min(this.limits.confirmations, atOnce * 2)
        : Math.max(1, Math.ceil(atOnce / 2));
      // A worker that reports costs less than one that is asked, and has to be served in any case.
      await clock.sleep(tookMs * CONFIRM_REST, signal);
    }
  }

  /** Sends what should not wait for the machines' next reports. */
  sendPending(): void {
    const { cluster } = this;
    if (!this.term.mayStart()) return;
    // A command costs several times what its orders cost in the answer to a report.
    if (cluster.isBehind(this.ctx.clock.now())) return;
    for (const machine of cluster.pendingCommands) {
      // The rest follows as these are answered, unless a report comes first.
      if (this.underWay.size >= this.limits.commands) return;
      if (this.underWay.has(machine.id)) continue;
      cluster.pendingCommands.delete(machine);
      const { orders, starts } = pendingOrders(machine);
      if (orders.length > 0) void this.command(machine, orders, starts);
    }
    for (const machine of cluster.pendingProbes) {
      if (this.underWay.size >= this.limits.commands) return;
      if (this.underWay.has(machine.id) || machine.address === '') continue;
      cluster.pendingProbes.delete(machine);
      void this.command(machine, [], []);
    }
  }

  /** The same after what is being handled now: a report's answer takes its own orders first. */
  sendPendingSoon(): void {
    if (this.cluster.pendingCommands.size > 0) setImmediate(() => this.sendPending());
  }

  /** A command under the machine's token. It leaves only while leadership is proven, however long it waited for its connection. */
  private send(machine: Machine, session: number, orders: Order[]) {
    const { term } = this;
    const token = tokenOf(term.term, machine.fence);
    return this.workers.command(machine.address, token, session, orders, term.signal, term.proven);
  }

  private async confirm(machine: Machine, signal: AbortSignal): Promise<void> {
    try {
      // Most machines are in their first session; the refusal tells of a later one.
      let session = Math.max(1, machine.session);
      for (let tries = 0; tries < 2 && this.term.proven(); tries++) {
        const answer = await this.send(machine, session, []);
        this.takeAnswer(machine, answer.report);
        if (answer.executed || answer.report.session === session) return;
        session = answer.report.session;
      }
    } catch (error) {
      // Not having asked says nothing of the machine.
      machine.unanswered = !(error instanceof NotTried);
      if (!signal.aborted)
        this.ctx.log.debug(
          { machine: machine.id, error: String((error as Error).message) },
          'not confirmed by command',
        );
    }
  }

  private async command(machine: Machine, orders: Order[], starts: Binding[]): Promise<void> {
    const { cluster, term, ctx } = this;
    this.underWay.add(machine.id);
    try {
      const answer = await this.send(machine, machine.session, orders);
      this.takeAnswer(machine, answer.report);
      cluster.answered(starts, answer.executed, answer.report.seq);
      if (answer.executed) cluster.markResponsive(machine);
    } catch (error) {
      if (error instanceof NotSent) for (const start of starts) start.direct = null;
      const tried = !(error instanceof NotTried);
      if (tried && !term.signal.aborted && !machine.relayed)
        cluster.markUnresponsive(machine, ctx.clock.now());
      if (!term.signal.aborted)
        ctx.log.debug(
          { machine: machine.id, error: String((error as Error).message) },
          'command not answered',
        );
    } finally {
      this.underWay.delete(machine.id);
      this.sendPendingSoon();
    }
  }

  private takeAnswer(machine: Machine, report: MachineReport): void {
    if (report.machine !== machine.id) return;
    if (report.term > this.term.term) this.term.resign('a worker knows a higher token');
    else this.cluster.report(report, false, this.ctx.clock.now());
  }
}
