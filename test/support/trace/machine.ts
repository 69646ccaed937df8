import { type CloudMachine, cpusOfType } from './cloud.js';
import { draw } from './draw.js';
import type { RequestHandler, SimulatedRequest, SimulatedResponse } from './net.js';
import type { TracedWorld } from './world.js';

/**
 * A task attempt on the machine. All fields but `stateEndsAt` are sent in
 * heartbeats under these names.
 */
interface AgentTask {
  hand: string;
  try: number;
  standing: 'pulling' | 'running' | 'saving' | 'exited';
  cause?: string;
  kept?: boolean;
  /** Time at which the current state ends. */
  stateEndsAt: number;
}

/** A command for one task attempt, with the field names of the protocol. */
interface TaskCommand {
  verb: 'run' | 'kill' | 'forget';
  hand: string;
  try: number;
  windDownS?: number;
}

/** Body of a direct command request, with the field names of the protocol. */
interface CommandRequest {
  baton: number;
  shift: number;
  orders: TaskCommand[];
}

/** Intervals of the agent protocol. */
const HEARTBEAT_MS = 3000;
const HEARTBEAT_TIMEOUT_MS = 4000;
const LEASE_MS = 20_000;
/** How often the agent checks its tasks and whether a heartbeat is due. */
const POLL_MS = 500;
const PULL_GB_PER_S = 0.5;

/** A machine with its agent, which follows the agent protocol. */
export class SimulatedMachine {
  /** While true, the agent sends heartbeats but receives neither responses nor commands. */
  unresponsive = false;
  /**
   * While true, the agent sends nothing. Commands that arrive are executed on
   * `resume`, without a response.
   */
  hung = false;
  /** True when a heartbeat is due because something changed since the last one. */
  private hasUnreportedChange = true;
  terminated = false;
  /** Seconds from the preemption notice to the preemption; null without a notice. */
  private preemptionNoticeS: number | null = null;
  private agentEpoch = 1;
  private heartbeatSequence = 0;
  private fencingToken = 0;
  /** Task attempts by task name and attempt number. */
  private readonly tasks = new Map<string, AgentTask>();
  private readonly images = new Set<string>();
  /** Start of the current lease: when the agent sent the heartbeat that renewed it. */
  private leaseStartedAt: number;
  /** Index of the controller that gets the heartbeats. */
  private controller: number;
  private nextHeartbeatAt = 0;
  private heldCommands: (() => void)[] = [];

  constructor(
    private readonly world: TracedWorld,
    readonly cloudMachine: CloudMachine,
  ) {
    this.leaseStartedAt = world.time.now();
    this.controller = Math.floor(draw(world.seed, 'first', cloudMachine.id) * 3);
    const [host = '', port = ''] = cloudMachine.endpoint.split(':');
    world.net.serve(host, Number(port), (request, respond) => this.serve(request, respond));
    void this.run();
  }

  /** Delivers a preemption notice to the agent. */
  notifyPreemption(noticeS: number): void {
    this.preemptionNoticeS = noticeS;
    this.hasUnreportedChange = true;
  }

  resume(): void {
    this.hung = false;
    for (const execute of this.heldCommands.splice(0)) execute();
  }

  private heartbeat() {
    const { id, endpoint, rig, hall, loaner } = this.cloudMachine;
    const hands = [...this.tasks.values()].map(({ stateEndsAt, ...fields }) => fields);
    const { agentEpoch: shift, fencingToken: baton, preemptionNoticeS: recallS } = this;
    return {
      cart: id,
      endpoint,
      rig,
      hall,
      loaner,
      shift,
      tally: ++this.heartbeatSequence,
      baton,
      recallS,
      hands,
    };
  }

  private serve({ method, body }: SimulatedRequest, respond: Parameters<RequestHandler>[1]): void {
    if (this.terminated) return;
    if (this.hung) {
      this.heldCommands.push(() => this.executeRequest(body as CommandRequest, () => {}));
      return;
    }
    if (this.unresponsive) return;
    if (method === 'GET') {
      respond(200, this.heartbeat());
      return;
    }
    const { world } = this;
    const sample = draw(world.seed, 'command', this.cloudMachine.id, world.time.now());
    if (sample < world.delayedCommandRate) {
      world.counts.add('delayed commands');
      world.time.schedule(2000 + sample * 30_000, () =>
        this.executeRequest(body as CommandRequest, () => {}),
      );
      return;
    }
    const isResponseLost = sample > 1 - world.lostResponseRate;
    if (isResponseLost) world.counts.add('lost command responses');
    this.executeRequest(body as CommandRequest, isResponseLost ? () => {} : respond);
  }

  private executeRequest(
    { baton: token, shift: epoch, orders: commands }: CommandRequest,
    respond: Parameters<RequestHandler>[1],
  ): void {
    this.applyElapsedTime();
    const accepted = epoch === this.agentEpoch && this.execute(token, commands);
    respond(accepted ? 200 : 409, this.heartbeat());
  }

  /** Returns false and executes nothing when the token is lower than an earlier one. */
  private execute(token: number, commands: TaskCommand[]): boolean {
    if (token < this.fencingToken) return false;
    if (token > this.fencingToken || commands.length > 0) this.hasUnreportedChange = true;
    this.fencingToken = token;
    for (const command of commands) {
      const key = `${command.hand} ${command.try}`;
      const task = this.tasks.get(key);
      if (command.verb === 'run' && !task) this.startTask(key, command);
      else if (command.verb === 'kill' && task) this.stopTask(task, command.windDownS ?? 0);
      else if (command.verb === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
    }
    return true;
  }

  private startTask(key: string, command: TaskCommand): void {
    const { world } = this;
    const job = world.jobOf(command.hand);
    const task: AgentTask = {
      hand: command.hand,
      try: command.try,
      standing: 'running',
      stateEndsAt: 0,
    };
    this.tasks.set(key, task);
    world.counts.add(job.awaits.length > 0 ? 'starts of dependent jobs' : 'starts');
    if (this.cpusInUse() > cpusOfType(this.cloudMachine.rig)) {
      this.exitTask(task, 'full');
      return;
    }
    if (this.images.has(job.deck)) {
      this.startRunning(task);
      return;
    }
    this.images.add(job.deck);
    task.standing = 'pulling';
    task.stateEndsAt = world.time.now() + (job.pullGb / PULL_GB_PER_S) * 1000;
  }

  /** Reports whether a task of the job is on the machine and has not exited. */
  hasLiveTask(jobId: string): boolean {
    return [...this.tasks.values()].some(
      (task) => task.standing !== 'exited' && task.hand.startsWith(`${jobId}/`),
    );
  }

  /** Returns the CPUs in use by one team, or by all teams when `team` is null. */
  cpusInUse(team: string | null = null): number {
    let cpus = 0;
    for (const task of this.tasks.values()) {
      const job = this.world.jobOf(task.hand);
      if (task.standing !== 'exited' && (team === null || job.crew === team)) cpus += job.cores;
    }
    return cpus;
  }

  private startRunning(task: AgentTask): void {
    this.hasUnreportedChange = true;
    task.standing = 'running';
    task.stateEndsAt =
      this.world.time.now() + this.world.runDurationMs(task.hand, this.cloudMachine.id);
  }

  private stopTask(task: AgentTask, graceS: number): void {
    if (task.standing === 'exited' || task.standing === 'saving') return;
    const { world } = this;
    const isJobLive = world.isJobLive(task.hand);
    if (isJobLive)
      world.counts.add(
        this.preemptionNoticeS === null ? 'preemptions' : 'task stops after a preemption notice',
      );
    else world.counts.add('task stops of ended jobs');
    if (graceS > 0) world.counts.add('task stops with a grace period');
    if (graceS === 0 || task.standing === 'pulling') {
      this.exitTask(task, 'halted');
      return;
    }
    task.standing = 'saving';
    task.stateEndsAt = world.time.now() + graceS * 1000;
  }

  private exitTask(task: AgentTask, cause: string): void {
    this.hasUnreportedChange = true;
    if (task.standing === 'saving') task.kept = true;
    task.standing = 'exited';
    task.cause = cause;
    if (cause !== 'done' && cause !== 'halted') this.world.counts.add('failures');
  }

  /**
   * Starts a new agent epoch without tasks if the lease has expired, and ends the
   * task states whose time is over.
   */
  private applyElapsedTime(): void {
    const now = this.world.time.now();
    if (now - this.leaseStartedAt > LEASE_MS) {
      this.world.counts.add('agent leases expired');
      this.agentEpoch++;
      this.tasks.clear();
      this.hasUnreportedChange = true;
      this.leaseStartedAt = now;
    }
    for (const task of this.tasks.values()) {
      if (task.standing === 'exited' || task.stateEndsAt > now) continue;
      if (task.standing === 'pulling') this.startRunning(task);
      else if (task.standing === 'saving') this.exitTask(task, 'halted');
      else
        this.exitTask(
          task,
          this.world.taskFails(task.hand, this.cloudMachine.id) ? 'error' : 'done',
        );
    }
  }

  private async run(): Promise<void> {
    const { time, seed } = this.world;
    this.nextHeartbeatAt = time.now() + draw(seed, 'begins', this.cloudMachine.id) * HEARTBEAT_MS;
    while (!this.terminated) {
      await time.sleep(POLL_MS);
      if (this.terminated || this.hung) continue;
      this.applyElapsedTime();
      if (time.now() < this.nextHeartbeatAt && !this.hasUnreportedChange) continue;
      this.hasUnreportedChange = false;
      this.nextHeartbeatAt =
        time.now() + HEARTBEAT_MS * (0.75 + draw(seed, this.cloudMachine.id, time.now()) * 0.5);
      await this.sendHeartbeat();
    }
  }

  private async sendHeartbeat(): Promise<void> {
    const { world } = this;
    const sentAt = world.time.now();
    const { agentEpoch: epoch } = this;
    const body = this.heartbeat();
    world.maybeDuplicateHeartbeat(this.cloudMachine.id, body);
    const response = await this.post(this.controller, body);
    if (this.terminated || this.hung || this.unresponsive) return;
    this.applyElapsedTime();
    const isResponseLost =
      draw(world.seed, 'answer', this.cloudMachine.id, sentAt) < world.lostResponseRate;
    if (response?.status === 200 && isResponseLost)
      return this.world.counts.add('lost heartbeat responses');
    if (response?.status === 200) this.applyResponse(response, epoch, sentAt);
    else await this.changeController(response);
  }

  private post(controller: number, body: unknown): Promise<SimulatedResponse | null> {
    const { net } = this.world;
    const address = `c-${controller}:8000`;
    return net.request(
      this.cloudMachine.id,
      address,
      'POST',
      '/agent/beat',
      body,
      HEARTBEAT_TIMEOUT_MS,
    );
  }

  private applyResponse(response: SimulatedResponse, epoch: number, sentAt: number): void {
    const { baton: token, orders: commands } = response.body as {
      baton: number;
      orders: TaskCommand[];
    };
    if (epoch !== this.agentEpoch || token < this.fencingToken) return;
    this.execute(token, commands);
    this.leaseStartedAt = Math.max(this.leaseStartedAt, sentAt);
  }

  private async changeController(response: SimulatedResponse | null): Promise<void> {
    const leader = Number(
      String((response?.body as { steward?: string } | undefined)?.steward ?? '').slice(2) ||
        Number.NaN,
    );
    if (response?.status === 421 && leader >= 0 && leader !== this.controller)
      this.controller = leader;
    else {
      await this.world.time.sleep(1000);
      this.controller = (this.controller + 1) % 3;
    }
    this.hasUnreportedChange = true;
  }
}
