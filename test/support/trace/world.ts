import { setMaxListeners } from 'node:events';
import { pino } from 'pino';
import { DEFAULT_POLICY } from '../../../src/config/policy.js';
import { parsePlatformSettings } from '../../../src/config/settings.js';
import { createController } from '../../../src/controller/wiring.js';
import { type CloudMachine, SimulatedCloud } from './cloud.js';
import { draw } from './draw.js';
import { EventCounts } from './event-counts.js';
import { SimulatedMachine } from './machine.js';
import { hostName, PEER_PORT, SimulatedNetwork } from './net.js';
import { SimulatedStateService, type StateFaults } from './state-service.js';
import { SimulatedTime } from './time.js';
import { Trace } from './trace.js';

const CONTROLLERS = [0, 1, 2];
const CONTROLLER_ZONES = ['a', 'b', 'a'];
/** Port on which controllers serve users and agents. */
const USER_PORT = 8000;
const USER_TIMEOUT_MS = 3000;

const SETTINGS = {
  size: 3,
  zones: ['a', 'b'],
  teams: [
    { name: 'ops', cpus: 48, cpus_max: 0, gpus: 0, gpus_max: 0 },
    { name: 'lab', cpus: 16, cpus_max: 24, gpus: 0, gpus_max: 2 },
  ],
  objectives: [
    { kind: 'wait', class: 'work', within_s: 20 },
    { kind: 'finished', class: 'batch', within_s: 120 },
    { kind: 'deadline', class: 'due', times: 3 },
    { kind: 'guarantee', within_s: 15 },
  ],
  workers: { report_s: 3, lease_s: 20, cancel_s: 50 },
  cloud: { rps: 3, list_lag_s: 5 },
  // The memory limit is so high that the memory use of the real process has no effect.
  quota: { cpu: 0.1, memory_mb: 1_000_000, max_sockets: 500 },
  skew_ms: 5,
};

/** Limits of the state service, with the field names of the settings file. */
export interface StateSettings {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
  next?: { write_rps: number; value_kb: number; txn_ops: number };
}

const STATE_SETTINGS: StateSettings = { rps: 200, write_rps: 50, value_kb: 8, txn_ops: 12 };

/** A job submission, with the field names of the protocol. */
export interface Submission {
  id: string;
  bracket: string;
  crew: string;
  form: string;
  rank: string;
  hands: number;
  cores: number;
  accelerators: number;
  memoryGb: number;
  deck: string;
  pullGb: number;
  oneZone: boolean;
  scatter: boolean;
  loaner: boolean;
  expectedS: number;
  markEveryS: number;
  markCostS: number;
  awaits: string[];
  hall?: string;
  dueS?: number;
}

const DEFAULT_SUBMISSION: Submission = {
  id: '',
  bracket: 'work',
  crew: 'ops',
  form: 'array',
  rank: 'standard',
  hands: 3,
  cores: 4,
  accelerators: 0,
  memoryGb: 8,
  deck: 'img',
  pullGb: 1,
  oneZone: false,
  scatter: false,
  loaner: true,
  expectedS: 15,
  markEveryS: 0,
  markCostS: 0,
  awaits: [],
};

/** A running controller. */
interface ControllerProcess {
  /** The controller's name and, after a `#`, the number of its process. */
  host: string;
  stop: AbortController;
}

/**
 * Three complete controllers on simulated time and a simulated network, with
 * simulated machines, users, cloud and state service. The simulation uses
 * nothing internal to the controllers, so their code may change freely as long
 * as they send the same messages.
 */
export class TracedWorld {
  readonly time: SimulatedTime;
  readonly trace = new Trace();
  readonly net: SimulatedNetwork;
  readonly state: SimulatedStateService;
  readonly cloud: SimulatedCloud;
  readonly machines = new Map<string, SimulatedMachine>();
  /** Submissions by job id. */
  readonly jobs = new Map<string, Submission>();
  readonly counts = new EventCounts();
  /** Share of the responses to commands and heartbeats that are lost. */
  lostResponseRate = 0;
  /** Share of the direct commands that are executed late, without a response. */
  delayedCommandRate = 0;
  /** Share of the heartbeats of which a delayed duplicate is sent. */
  duplicateHeartbeatRate = 0;
  /** Reports whether the task fails on the machine. */
  taskFails: (task: string, machine: string) => boolean = () => false;
  /** Current partitions. Each function reports whether the partition separates two hosts. */
  private readonly partitions = new Set<(from: string, to: string) => boolean>();
  /** Running controllers by index. */
  private readonly controllers = new Map<number, ControllerProcess>();
  /** Ids of the jobs that users have asked to cancel. */
  private readonly cancelledByUser = new Set<string>();
  private controllersStarted = 0;
  private jobIdsIssued = 0;

  constructor(
    readonly seed: string,
    private readonly stateSettings: Partial<StateSettings> = {},
  ) {
    this.time = new SimulatedTime(seed);
    this.net = new SimulatedNetwork(this.time, this.trace);
    this.net.isPartitioned = (from, to) =>
      [...this.partitions].some((separates) => separates(from, to) || separates(to, from));
    this.state = new SimulatedStateService(this.net, seed, this.counts);
    this.cloud = new SimulatedCloud(
      this.net,
      seed,
      (machine) => this.addMachine(machine),
      (id, terminated) => this.removeMachine(id, terminated),
    );
  }

  /** Runs the history on simulated time and network, then stops all controllers and machines. */
  async simulate(history: () => Promise<void>): Promise<void> {
    const restorers = [this.time.install(), this.net.install()];
    try {
      await history();
      for (const i of CONTROLLERS) this.crash(i);
      for (const machine of this.machines.values()) machine.terminated = true;
      await this.run(1);
    } finally {
      for (const restore of restorers) restore();
    }
  }

  run(seconds: number): Promise<void> {
    return this.time.runUntil(this.time.now() + seconds * 1000);
  }

  // Controllers

  /** Starts a controller. A running one is killed first. */
  start(i: number): void {
    this.crash(i);
    const name = `c-${i}`;
    const host = `${name}#${++this.controllersStarted}`;
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    this.controllers.set(i, { host, stop });
    const platform = parsePlatformSettings(
      JSON.stringify(settingsOf(i, this.stateSettings)),
      'simulated settings',
    );
    const log = pino({ level: 'silent' });
    const incarnation = `${name}-${this.controllersStarted}`;
    this.time.scheduleOn(host, 0, () => {
      const options = {
        platform,
        policy: DEFAULT_POLICY,
        clock: this.time,
        log,
        incarnation,
      };
      void createController(options).run(stop.signal);
    });
  }

  /** Kills a controller: it sends nothing more. */
  crash(i: number): void {
    const controller = this.controllers.get(i);
    if (!controller) return;
    this.controllers.delete(i);
    this.net.kill(controller.host);
    this.time.scheduleOn(controller.host, 0, () => controller.stop.abort());
  }

  /** Index of the controller that holds the leader key in the state service; 0 without a key. */
  get leaderIndex(): number {
    const record = this.state.rows.get('leader')?.value as { node?: string } | undefined;
    return record?.node ? Number(record.node.slice(2)) : 0;
  }

  /** Injects faults of the state service towards one controller for `durationMs`. */
  injectStateFaults(i: number, durationMs: number, faults: Partial<StateFaults>): void {
    const name = `c-${i}`;
    this.state.faults.set(name, {
      errorStatus: null,
      lostResponseRate: 0,
      delayedTransactionRate: 0,
      ...faults,
    });
    this.time.schedule(durationMs, () => this.state.faults.delete(name));
  }

  /** Holds back all messages between two groups of hosts until the partition heals. */
  partition(
    durationMs: number,
    isInFirst: (host: string) => boolean,
    isInSecond: (host: string) => boolean,
  ): void {
    const separates = (from: string, to: string) => isInFirst(from) && isInSecond(to);
    this.partitions.add(separates);
    this.time.schedule(durationMs, () => {
      this.partitions.delete(separates);
      this.net.heal();
    });
  }

  /**
   * Returns the zone of a controller or machine; null for services and users,
   * which every zone reaches.
   */
  zoneOf(host: string): string | null {
    if (host.startsWith('c-')) return CONTROLLER_ZONES[Number(hostName(host).slice(2))] ?? null;
    return this.machines.get(host)?.cloudMachine.hall ?? null;
  }

  // Machines

  private addMachine(cloudMachine: CloudMachine): void {
    this.machines.set(cloudMachine.id, new SimulatedMachine(this, cloudMachine));
  }

  private removeMachine(id: string, terminated: boolean): void {
    const machine = this.machines.get(id);
    if (terminated) this.counts.add(`${conditionOf(machine)} machines terminated`);
    if (!machine) return;
    machine.terminated = true;
    this.net.kill(id);
    this.machines.delete(id);
  }

  /** Sends a preemption notice to the machine and preempts it `noticeS` seconds later. */
  preempt(machine: SimulatedMachine, noticeS: number): void {
    this.counts.add('preemption notices');
    machine.notifyPreemption(noticeS);
    this.time.schedule(noticeS * 1000, () => this.cloud.remove(machine.cloudMachine.id));
  }

  /** Sends a delayed duplicate of some heartbeats to a random controller. */
  maybeDuplicateHeartbeat(machine: string, body: unknown): void {
    const sample = draw(this.seed, 'copy', machine, this.time.now());
    if (sample >= this.duplicateHeartbeatRate) return;
    this.counts.add('duplicate heartbeats');
    this.time.schedule(2000 + (sample / this.duplicateHeartbeatRate) * 25_000, () => {
      const controller = Math.floor(draw(this.seed, 'to', machine, this.time.now()) * 3);
      void this.net.request(machine, `c-${controller}:8000`, 'POST', '/agent/beat', body, 4000);
    });
  }

  /** Returns the submission of the task's job. */
  jobOf(task: string): Submission {
    return this.jobs.get(task.split('/')[0] as string) ?? DEFAULT_SUBMISSION;
  }

  hasLiveTask(jobId: string): boolean {
    return [...this.machines.values()].some((machine) => machine.hasLiveTask(jobId));
  }

  /** Reports whether the task's job has not ended. */
  isJobLive(task: string): boolean {
    return this.state.rows.has(`live/${task.split('/')[0]}`);
  }

  /** Returns the run time of the task on the machine: 50 to 150% of the expected one. */
  runDurationMs(task: string, machine: string): number {
    const { expectedS } = this.jobOf(task);
    return expectedS * 1000 * (0.5 + draw(this.seed, 'length', task, machine));
  }

  /** Counts the teams at their CPU limit. Called once a second, because no message shows it. */
  countTeamsAtLimit(): void {
    for (const { name, cpus_max } of SETTINGS.teams) {
      let cpus = 0;
      for (const machine of this.machines.values()) cpus += machine.cpusInUse(name);
      if (cpus_max > 0 && cpus === cpus_max)
        this.counts.add('seconds with a team at its CPU limit');
    }
  }

  /** Counts the events that only the final state shows. */
  countFinalEvents(): void {
    this.counts.add('capacity refusals', this.cloud.capacityRefusals);
    for (const { key, value } of this.state.rows.values()) {
      const { state } = value as { state?: string };
      const [kind, id = ''] = key.split('/');
      if (kind === 'over' && state === 'cancelled' && !this.cancelledByUser.has(id))
        this.counts.add('cancellations propagated to dependent jobs');
    }
  }

  // Users

  /** Submits a job, or submits it again when `fields.id` is a known one. Returns its id. */
  submit(fields: Partial<Submission> = {}, controller = this.anyController()): string {
    const id = fields.id ?? `req-${String(++this.jobIdsIssued).padStart(6, '0')}`;
    const job = { ...DEFAULT_SUBMISSION, ...this.jobs.get(id), ...fields, id };
    this.jobs.set(id, job);
    this.sendUserRequest('POST', '/v1/jobs', job, controller);
    return id;
  }

  cancel(id: string, controller = this.anyController()): void {
    this.counts.add('cancellation requests');
    this.cancelledByUser.add(id);
    this.sendUserRequest('POST', `/v1/jobs/${id}/withdraw`, undefined, controller);
  }

  query(id: string, controller = this.anyController()): void {
    this.sendUserRequest('GET', `/v1/jobs/${id}`, undefined, controller);
  }

  sendUserRequest(method: string, target: string, body: unknown, controller: number): void {
    const user = `user-of-${controller}`;
    void this.net.request(
      user,
      `c-${controller}:${USER_PORT}`,
      method,
      target,
      body,
      USER_TIMEOUT_MS,
    );
  }

  private anyController(): number {
    return Math.floor(draw(this.seed, 'controller', this.time.now(), this.jobIdsIssued) * 3);
  }
}

/** Returns the condition of a machine at its termination, in the words of the counters. */
function conditionOf(machine: SimulatedMachine | undefined): string {
  if (!machine) return 'never booted';
  if (machine.hung) return 'hung';
  return machine.unresponsive ? 'unresponsive' : 'healthy';
}

function settingsOf(i: number, state: Partial<StateSettings>) {
  const others = CONTROLLERS.filter((j) => j !== i);
  return {
    node: `c-${i}`,
    zone: CONTROLLER_ZONES[i],
    bind: `c-${i}:${USER_PORT}`,
    peer_listen: `c-${i}:${PEER_PORT}`,
    peers: others.map((j) => ({
      node: `c-${j}`,
      zone: CONTROLLER_ZONES[j],
      address: `c-${j}:${PEER_PORT}`,
    })),
    external: { cloud: 'cloud:2', state: 'state:1' },
    settings: { ...SETTINGS, state: { ...STATE_SETTINGS, ...state } },
  };
}
