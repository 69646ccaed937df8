import type { Reply } from '../../src/http/server.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { fencingToken } from '../../src/protocol/agent-protocol.js';
import type { ScriptedController } from './controller.js';
import { ScriptedAgent } from './scheduler.js';
import { fromWire, onWire, type WireOrder } from './wire.js';
import type { World } from './world.js';

const FENCES = fencingToken(1, 0);
/** A worker gives a report up after this long (protocol). */
const REPORT_TIMEOUT_MS = 4000;
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
  private leaseFrom: number;
  private at: number;
  private reported = '';
  private readonly ends = new Map<string, number>();
  /** Direct commands that came while it hung. */
  private held: (() => void)[] = [];

  constructor(
    readonly world: World,
    id: string,
    zone: string,
  ) {
    this.worker = new ScriptedAgent(id, zone);
    this.leaseFrom = world.clock.now();
    this.at = world.pick(3);
    void this.run();
  }

  get address(): string {
    return `10.0.0.1:${9000 + Number(this.worker.id.slice(2))}`;
  }

  /** The worker's own clock: its lease and its tasks' ends, to the moment. */
  sync(): void {
    const now = this.world.clock.now();
    if (now - this.leaseFrom > this.world.leaseMs) {
      this.worker.expireLease();
      this.leaseFrom = now;
      this.ends.clear();
    }
    if (this.hangs) return;
    for (const [key, end] of this.ends) {
      const t = this.worker.tasks.get(key);
      if (!t || t.state === 'exited') this.ends.delete(key);
      else if (end <= now) {
        this.worker.exit(key, 'done');
        this.ends.delete(key);
        this.world.ended(t.jobId, t.index);
      }
    }
  }

  execute(token: number, commands: TaskCommand[]): boolean {
    this.sync();
    const before = new Set(this.worker.tasks.keys());
    const took = this.worker.execute(Math.floor(token / FENCES), commands, token % FENCES);
    for (const [key, t] of this.worker.tasks)
      if (!before.has(key) && t.state === 'running') {
        if (this.world.completed.has(`${t.jobId}/${t.index}`)) this.worker.exit(key, 'done');
        else {
          this.world.starts(t.jobId);
          this.ends.set(key, this.world.clock.now() + this.world.runMs());
        }
      }
    return took;
  }

  /** A direct command. */
  command(token: number, session: number, commands: TaskCommand[]) {
    const took = session === this.worker.agentEpoch && this.execute(token, commands);
    return { executed: took, heartbeat: this.worker.heartbeat() };
  }

  hold(work: () => void): void {
    this.held.push(work);
  }

  resume(): void {
    this.hangs = false;
    this.sync();
    for (const work of this.held.splice(0)) work();
  }

  private async run(): Promise<void> {
    const { clock } = this.world;
    const every = this.world.reportMs;
    let due = clock.now() + this.world.random() * every;
    while (!this.gone) {
      await clock.sleep(TICK_MS);
      if (this.gone) return;
      this.sync();
      if (this.hangs) continue;
      const { worker } = this;
      const now = `${worker.agentEpoch} ${worker.term} ${worker.fence} ${worker.running()} ${worker.tasks.size}`;
      if (clock.now() < due && now === this.reported) continue;
      this.reported = now;
      due = clock.now() + every * (0.75 + this.world.random() * 0.5);
      await this.report();
    }
  }

  /** Goes to another controller that the reply names, if it does. */
  private follow(reply: Reply | null): boolean {
    const steward = (reply?.body as { steward?: string } | undefined)?.steward;
    const named = this.world.controllers.findIndex((c) => c.name === steward);
    if (reply?.status !== 421 || named < 0 || named === this.at) return false;
    this.at = named;
    return true;
  }

  /** A copy of the report arrives at any controller, long after it. */
  private sendCopyLater(body: Buffer): void {
    this.world.later(2000 + this.world.random() * 30_000, () => {
      const to = this.world.controllers[this.world.pick(3)] as ScriptedController;
      if (!to.dead) void to.reports.handle(body);
    });
  }

  private async report(): Promise<void> {
    const { clock, controllers } = this.world;
    const sentAt = clock.now();
    const node = controllers[this.at] as ScriptedController;
    const { agentEpoch: session } = this.worker;
    const body = onWire(this.worker.heartbeat());
    let reply: Reply | null = null;
    if (!this.mute && !node.dead && !node.cutFromWorkers) {
      if (this.world.random() < this.world.copyShare) this.sendCopyLater(body);
      const answer = node.reports.handle(body).catch(() => null);
      const late = clock.sleep(REPORT_TIMEOUT_MS).then(() => null);
      reply = await Promise.race([answer, late]);
      if (this.deaf) reply = null;
    }
    if (this.gone || this.hangs) return;
    this.sync();
    if (reply?.status === 200) {
      const answer = reply.body as { baton: number; orders: WireOrder[] };
      if (session !== this.worker.agentEpoch) return;
      if (answer.baton < fencingToken(this.worker.term, this.worker.fence)) return;
      this.execute(answer.baton, answer.orders.map(fromWire));
      this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      return;
    }
    if (!this.follow(reply)) {
      await clock.sleep(1000);
      this.at = (this.at + 1) % controllers.length;
    }
    this.reported = '';
  }
}
