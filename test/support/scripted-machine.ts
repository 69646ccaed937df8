import type { Reply } from '../../src/http/server.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { fencingToken } from '../../src/protocol/agent-protocol.js';
import type { ScriptedController } from './controller.js';
import { ScriptedAgent } from './scheduler.js';
import { fromWire, onWire, type WireOrder } from './wire.js';
import type { World } from './world.js';

const FENCES_PER_TERM = fencingToken(1, 0);
/** A worker gives a report up after this long (protocol). */
const HEARTBEAT_TIMEOUT_MS = 4000;
/** Steps of a worker's own time. */
export const TICK_MS = 500;

/** A machine with its worker, as the protocol describes it. */
export class ScriptedMachine {
  readonly worker: ScriptedAgent;
  hangs = false;
  deaf = false;
  mute = false;
  gone = false;
  /** The lease runs from here. */
  private leaseRenewedAt: number;
  private controllerIndex: number;
  private lastReportedState = '';
  private readonly taskEndsAt = new Map<string, number>();
  /** Direct commands that came while it hung. */
  private deferredCommands: (() => void)[] = [];

  constructor(
    readonly world: World,
    id: string,
    zone: string,
  ) {
    this.worker = new ScriptedAgent(id, zone);
    this.leaseRenewedAt = world.clock.now();
    this.controllerIndex = world.pick(3);
    void this.run();
  }

  get address(): string {
    return `10.0.0.1:${9000 + Number(this.worker.id.slice(2))}`;
  }

  /** The worker's own clock: its lease and its tasks' ends, to the moment. */
  advanceToNow(): void {
    const now = this.world.clock.now();
    if (now - this.leaseRenewedAt > this.world.agentLeaseMs) {
      this.worker.lapse();
      this.leaseRenewedAt = now;
      this.taskEndsAt.clear();
    }
    if (this.hangs) return;
    for (const [key, end] of this.taskEndsAt) {
      const t = this.worker.tasks.get(key);
      if (!t || t.state === 'exited') this.taskEndsAt.delete(key);
      else if (end <= now) {
        this.worker.exit(key, 'done');
        this.taskEndsAt.delete(key);
        this.world.recordTaskCompletion(t.jobId, t.index);
      }
    }
  }

  execute(token: number, commands: TaskCommand[]): boolean {
    this.advanceToNow();
    const before = new Set(this.worker.tasks.keys());
    const accepted = this.worker.execute(
      Math.floor(token / FENCES_PER_TERM),
      commands,
      token % FENCES_PER_TERM,
    );
    for (const [key, t] of this.worker.tasks)
      if (!before.has(key) && t.state === 'running') {
        if (this.world.completedTasks.has(`${t.jobId}/${t.index}`)) this.worker.exit(key, 'done');
        else {
          this.world.recordStart(t.jobId);
          this.taskEndsAt.set(key, this.world.clock.now() + this.world.taskDurationMs());
        }
      }
    return accepted;
  }

  /** A direct command. */
  command(token: number, agentEpoch: number, commands: TaskCommand[]) {
    const accepted = agentEpoch === this.worker.agentEpoch && this.execute(token, commands);
    return { executed: accepted, heartbeat: this.worker.heartbeat() };
  }

  deferCommand(execute: () => void): void {
    this.deferredCommands.push(execute);
  }

  resume(): void {
    this.hangs = false;
    this.advanceToNow();
    for (const work of this.deferredCommands.splice(0)) work();
  }

  private async run(): Promise<void> {
    const { clock } = this.world;
    const intervalMs = this.world.heartbeatMs;
    let dueAt = clock.now() + this.world.random() * intervalMs;
    while (!this.gone) {
      await clock.sleep(TICK_MS);
      if (this.gone) return;
      this.advanceToNow();
      if (this.hangs) continue;
      const { worker } = this;
      const now = `${worker.agentEpoch} ${worker.term} ${worker.fence} ${worker.running()} ${worker.tasks.size}`;
      if (clock.now() < dueAt && now === this.lastReportedState) continue;
      this.lastReportedState = now;
      dueAt = clock.now() + intervalMs * (0.75 + this.world.random() * 0.5);
      await this.sendHeartbeat();
    }
  }

  /** Goes to another controller that the reply names, if it does. */
  private followRedirect(reply: Reply | null): boolean {
    const steward = (reply?.body as { steward?: string } | undefined)?.steward;
    const index = this.world.controllers.findIndex((c) => c.name === steward);
    if (reply?.status !== 421 || index < 0 || index === this.controllerIndex) return false;
    this.controllerIndex = index;
    return true;
  }

  /** A copy of the report arrives at any controller, long after it. */
  private sendDelayedDuplicate(body: Buffer): void {
    this.world.later(2000 + this.world.random() * 30_000, () => {
      const recipient = this.world.controllers[this.world.pick(3)] as ScriptedController;
      if (!recipient.dead) void recipient.reports.handle(body);
    });
  }

  private async sendHeartbeat(): Promise<void> {
    const { clock, controllers } = this.world;
    const sentAt = clock.now();
    const controller = controllers[this.controllerIndex] as ScriptedController;
    const { agentEpoch: epochAtSend } = this.worker;
    const body = onWire(this.worker.heartbeat());
    let reply: Reply | null = null;
    if (!this.mute && !controller.dead && !controller.cutFromWorkers) {
      if (this.world.random() < this.world.copyShare) this.sendDelayedDuplicate(body);
      const answer = controller.reports.handle(body).catch(() => null);
      const timeout = clock.sleep(HEARTBEAT_TIMEOUT_MS).then(() => null);
      reply = await Promise.race([answer, timeout]);
      if (this.deaf) reply = null;
    }
    if (this.gone || this.hangs) return;
    this.advanceToNow();
    if (reply?.status === 200) {
      const answer = reply.body as { baton: number; orders: WireOrder[] };
      if (epochAtSend !== this.worker.agentEpoch) return;
      if (answer.baton < fencingToken(this.worker.term, this.worker.fence)) return;
      this.execute(answer.baton, answer.orders.map(fromWire));
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
