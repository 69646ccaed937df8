import type { Reply } from '../../src/http/server.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { fencingToken } from '../../src/protocol/agent-protocol.js';
import type { ScriptedController } from './controller.js';
import { ScriptedAgent } from './scheduler.js';
import { decodeCommand, encodeHeartbeat, type WireCommand } from './wire.js';
import type { World } from './world.js';

/** Distance between the fencing tokens of two consecutive terms. */
const FENCES_PER_TERM = fencingToken(1, 0);
/** Timeout of a heartbeat, as the agent protocol defines it. */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** Interval at which an agent checks its lease, its tasks and whether a heartbeat is due. */
export const TICK_MS = 500;

/** A machine with an agent that behaves as the agent protocol defines. */
export class ScriptedMachine {
  readonly agent: ScriptedAgent;
  /** The agent is suspended: it executes and sends nothing, and commands are held until it resumes. */
  isSuspended = false;
  /** Commands, replies and requests for its heartbeat do not reach the agent. */
  dropsInbound = false;
  /** Heartbeats that the agent sends do not reach any controller. */
  dropsOutbound = false;
  /** The machine has been terminated. */
  isTerminated = false;
  /** Start of the agent's current lease. */
  private leaseRenewedAt: number;
  private controllerIndex: number;
  private lastReportedState = '';
  /** By task attempt: when it completes. */
  private readonly taskEndsAt = new Map<string, number>();
  /** Commands that arrived while the agent was suspended. */
  private deferredCommands: (() => void)[] = [];

  constructor(
    readonly world: World,
    id: string,
    zone: string,
  ) {
    this.agent = new ScriptedAgent(id, zone);
    this.leaseRenewedAt = world.clock.now();
    this.controllerIndex = world.randomIndex(3);
    void this.run();
  }

  get address(): string {
    return `10.0.0.1:${9000 + Number(this.agent.id.slice(2))}`;
  }

  /** Expires the agent's lease and completes its tasks according to the current time. */
  advanceToNow(): void {
    const now = this.world.clock.now();
    if (now - this.leaseRenewedAt > this.world.agentLeaseMs) {
      this.agent.expireLease();
      this.leaseRenewedAt = now;
      this.taskEndsAt.clear();
    }
    if (this.isSuspended) return;
    for (const [key, end] of this.taskEndsAt) {
      const t = this.agent.tasks.get(key);
      if (!t || t.state === 'exited') this.taskEndsAt.delete(key);
      else if (end <= now) {
        this.agent.exit(key, 'done');
        this.taskEndsAt.delete(key);
        this.world.recordTaskCompletion(t.jobId, t.index);
      }
    }
  }

  execute(token: number, commands: TaskCommand[]): boolean {
    this.advanceToNow();
    const before = new Set(this.agent.tasks.keys());
    const accepted = this.agent.execute(
      Math.floor(token / FENCES_PER_TERM),
      commands,
      token % FENCES_PER_TERM,
    );
    for (const [key, t] of this.agent.tasks)
      if (!before.has(key) && t.state === 'running') {
        if (this.world.completedTasks.has(`${t.jobId}/${t.index}`)) this.agent.exit(key, 'done');
        else {
          this.world.recordStart(t.jobId);
          this.taskEndsAt.set(key, this.world.clock.now() + this.world.taskDurationMs());
        }
      }
    return accepted;
  }

  /** Executes commands that a controller sent directly, and returns the agent's response. */
  command(token: number, agentEpoch: number, commands: TaskCommand[]) {
    const accepted = agentEpoch === this.agent.agentEpoch && this.execute(token, commands);
    return { executed: accepted, heartbeat: this.agent.heartbeat() };
  }

  deferCommand(execute: () => void): void {
    this.deferredCommands.push(execute);
  }

  resume(): void {
    this.isSuspended = false;
    this.advanceToNow();
    for (const execute of this.deferredCommands.splice(0)) execute();
  }

  private async run(): Promise<void> {
    const { clock } = this.world;
    const intervalMs = this.world.heartbeatMs;
    let dueAt = clock.now() + this.world.random() * intervalMs;
    while (!this.isTerminated) {
      await clock.sleep(TICK_MS);
      if (this.isTerminated) return;
      this.advanceToNow();
      if (this.isSuspended) continue;
      const { agent } = this;
      const currentState = `${agent.agentEpoch} ${agent.term} ${agent.fence} ${agent.running()} ${agent.tasks.size}`;
      if (clock.now() < dueAt && currentState === this.lastReportedState) continue;
      this.lastReportedState = currentState;
      dueAt = clock.now() + intervalMs * (0.75 + this.world.random() * 0.5);
      await this.sendHeartbeat();
    }
  }

  /** Switches to the controller that a redirect names; returns whether it did. */
  private followRedirect(reply: Reply | null): boolean {
    const leaderName = (reply?.body as { steward?: string } | undefined)?.steward;
    const index = this.world.controllers.findIndex((c) => c.name === leaderName);
    if (reply?.status !== 421 || index < 0 || index === this.controllerIndex) return false;
    this.controllerIndex = index;
    return true;
  }

  /** Delivers a copy of the heartbeat to a random controller, 2 to 32 seconds later. */
  private sendDelayedDuplicate(body: Buffer): void {
    this.world.runLater(2000 + this.world.random() * 30_000, () => {
      const recipient = this.world.controllers[this.world.randomIndex(3)] as ScriptedController;
      if (!recipient.hasCrashed) void recipient.heartbeatHandler.handle(body);
    });
  }

  private async sendHeartbeat(): Promise<void> {
    const { clock, controllers } = this.world;
    const sentAt = clock.now();
    const controller = controllers[this.controllerIndex] as ScriptedController;
    const { agentEpoch: epochAtSend } = this.agent;
    const body = encodeHeartbeat(this.agent.heartbeat());
    let reply: Reply | null = null;
    if (!this.dropsOutbound && !controller.hasCrashed && !controller.isPartitionedFromAgents) {
      if (this.world.random() < this.world.duplicateHeartbeatShare) this.sendDelayedDuplicate(body);
      const pendingReply = controller.heartbeatHandler.handle(body).catch(() => null);
      const timeout = clock.sleep(HEARTBEAT_TIMEOUT_MS).then(() => null);
      reply = await Promise.race([pendingReply, timeout]);
      if (this.dropsInbound) reply = null;
    }
    if (this.isTerminated || this.isSuspended) return;
    this.advanceToNow();
    if (reply?.status === 200) {
      const replyBody = reply.body as { baton: number; orders: WireCommand[] };
      if (epochAtSend !== this.agent.agentEpoch) return;
      if (replyBody.baton < fencingToken(this.agent.term, this.agent.fence)) return;
      this.execute(replyBody.baton, replyBody.orders.map(decodeCommand));
      this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
      return;
    }
    if (!this.followRedirect(reply)) {
      await clock.sleep(1000);
      this.controllerIndex = (this.controllerIndex + 1) % controllers.length;
    }
    this.lastReportedState = '';
  }
}
