import { setMaxListeners } from 'node:events';
import { pino } from 'pino';
import { DEFAULT_POLICY } from '../../../src/config/policy.js';
import { parsePlatform } from '../../../src/config/settings.js';
import { createController } from '../../../src/controller/wiring.js';
import { type Cart, PlayedCloud } from './cloud.js';
import { draw } from './draw.js';
import { PlayedMachine } from './machine.js';
import { nameOf, PEER_PORT, PlayedNet } from './net.js';
import { Notes } from './notes.js';
import { PlayedState, type StateTrouble } from './state-service.js';
import { PlayedTime } from './time.js';
import { Trace } from './trace.js';

const CONTROLLERS = [0, 1, 2];
const ZONES = ['a', 'b', 'a'];
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
  // The real process's memory must not decide anything here.
  quota: { cpu: 0.1, memory_mb: 1_000_000, max_sockets: 500 },
  skew_ms: 5,
};

/** The state service's limits as the settings name them. */
export interface StateSettings {
  rps: number;
  write_rps: number;
  value_kb: number;
  txn_ops: number;
  next?: { write_rps: number; value_kb: number; txn_ops: number };
}

const STATE: StateSettings = { rps: 200, write_rps: 50, value_kb: 8, txn_ops: 12 };

/** A submission in the wire's words. */
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

const SUBMISSION: Submission = {
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

interface Life {
  host: string;
  stop: AbortController;
}

/**
 * Three whole controllers, in played time and on a played network, with all
 * that they talk to. Nothing of their inside is touched: it may be rewritten
 * freely while what they send stays the same.
 */
export class TracedWorld {
  readonly time: PlayedTime;
  readonly trace = new Trace();
  readonly net: PlayedNet;
  readonly state: PlayedState;
  readonly cloud: PlayedCloud;
  readonly machines = new Map<string, PlayedMachine>();
  readonly jobs = new Map<string, Submission>();
  readonly notes = new Notes();
  /** Parts of commands and answers to reports that are lost, commands that come late, reports copied. */
  lostAnswers = 0;
  lateCommands = 0;
  copies = 0;
  /** Whether this task fails on this machine. */
  fails: (hand: string, machine: string) => boolean = () => false;
  /** Between which hosts nothing passes. */
  private readonly cuts = new Set<(from: string, to: string) => boolean>();
  private readonly lives = new Map<number, Life>();
  /** Jobs whose users have asked to cancel them. */
  private readonly cancelled = new Set<string>();
  private started = 0;
  private asked = 0;

  constructor(
    readonly seed: string,
    private readonly stateSettings: Partial<StateSettings> = {},
  ) {
    this.time = new PlayedTime(seed);
    this.net = new PlayedNet(this.time, this.trace);
    this.net.isCut = (from, to) => [...this.cuts].some((cut) => cut(from, to) || cut(to, from));
    this.state = new PlayedState(this.net, seed, this.notes);
    this.cloud = new PlayedCloud(
      this.net,
      seed,
      (cart) => this.boot(cart),
      (id, returned) => this.remove(id, returned),
    );
  }

  /** Runs the work with played time and network in the process's place. */
  async play(work: () => Promise<void>): Promise<void> {
    const undo = [this.time.install(), this.net.install()];
    try {
      await work();
      for (const i of CONTROLLERS) this.crash(i);
      for (const m of this.machines.values()) m.gone = true;
      await this.run(1);
    } finally {
      for (const restore of undo) restore();
    }
  }

  run(seconds: number): Promise<void> {
    return this.time.playUntil(this.time.now() + seconds * 1000);
  }

  // Controllers

  start(i: number): void {
    this.crash(i);
    const name = `c-${i}`;
    const host = `${name}#${++this.started}`;
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    this.lives.set(i, { host, stop });
    const platform = parsePlatform(JSON.stringify(settingsOf(i, this.stateSettings)), 'played');
    const log = pino({ level: 'silent' });
    const life = `${name}-${this.started}`;
    this.time.laterOn(host, 0, () => {
      const options = {
        platform,
        policy: DEFAULT_POLICY,
        clock: this.time,
        log,
        incarnation: life,
      };
      void createController(options).run(stop.signal);
    });
  }

  /** Ends like a killed process: nothing more leaves it. */
  crash(i: number): void {
    const life = this.lives.get(i);
    if (!life) return;
    this.lives.delete(i);
    this.net.kill(life.host);
    this.time.laterOn(life.host, 0, () => life.stop.abort());
  }

  /** The controller whose key stands in the state service; the first when none does. */
  get leading(): number {
    const record = this.state.rows.get('leader')?.v as { node?: string } | undefined;
    return record?.node ? Number(record.node.slice(2)) : 0;
  }

  trouble(i: number, ms: number, fields: Partial<StateTrouble>): void {
    const name = `c-${i}`;
    this.state.troubles.set(name, { refusal: null, lostAnswers: 0, late: 0, ...fields });
    this.time.later(ms, () => this.state.troubles.delete(name));
  }

  /** Holds back all between two groups of hosts for a while. */
  cut(ms: number, one: (host: string) => boolean, other: (host: string) => boolean): void {
    const cut = (from: string, to: string) => one(from) && other(to);
    this.cuts.add(cut);
    this.time.later(ms, () => {
      this.cuts.delete(cut);
      this.net.heal();
    });
  }

  /** In which zone a host stands; null for services and users, which all reach. */
  zoneOf(host: string): string | null {
    if (host.startsWith('c-')) return ZONES[Number(nameOf(host).slice(2))] ?? null;
    return this.machines.get(host)?.cart.hall ?? null;
  }

  // Machines

  private boot(cart: Cart): void {
    this.machines.set(cart.id, new PlayedMachine(this, cart));
  }

  private remove(id: string, returned: boolean): void {
    const m = this.machines.get(id);
    if (returned) this.notes.add(`${conditionOf(m)} machines returned`);
    if (!m) return;
    m.gone = true;
    this.net.kill(id);
    this.machines.delete(id);
  }

  /** The cloud announces that it takes the machine, and takes it. */
  recall(m: PlayedMachine, seconds: number): void {
    this.notes.add('spot notices');
    m.recall(seconds);
    this.time.later(seconds * 1000, () => this.cloud.take(m.cart.id));
  }

  /** A copy of a report comes late, at any controller. */
  copyLater(machine: string, body: unknown): void {
    const luck = draw(this.seed, 'copy', machine, this.time.now());
    if (luck >= this.copies) return;
    this.notes.add('late copies');
    this.time.later(2000 + (luck / this.copies) * 25_000, () => {
      const to = Math.floor(draw(this.seed, 'to', machine, this.time.now()) * 3);
      void this.net.request(machine, `c-${to}:8000`, 'POST', '/agent/beat', body, 4000);
    });
  }

  jobOf(hand: string): Submission {
    return this.jobs.get(hand.split('/')[0] as string) ?? SUBMISSION;
  }

  isRunning(id: string): boolean {
    return [...this.machines.values()].some((m) => m.runs(id));
  }

  isLive(hand: string): boolean {
    return this.state.rows.has(`live/${hand.split('/')[0]}`);
  }

  runMs(hand: string, machine: string): number {
    const { expectedS } = this.jobOf(hand);
    return expectedS * 1000 * (0.5 + draw(this.seed, 'length', hand, machine));
  }

  /** Looks now and then at what no message shows by itself. */
  look(): void {
    for (const { name, cpus_max } of SETTINGS.teams) {
      let cores = 0;
      for (const m of this.machines.values()) cores += m.coresInUse(name);
      if (cpus_max > 0 && cores === cpus_max) this.notes.add('seconds of a team at its limit');
    }
  }

  /** Counts what only the end shows. */
  sumUp(): void {
    this.notes.add('capacity refusals', this.cloud.refusals);
    for (const { path, v } of this.state.rows.values()) {
      const { state } = v as { state?: string };
      const [kind, id = ''] = path.split('/');
      if (kind === 'over' && state === 'cancelled' && !this.cancelled.has(id))
        this.notes.add('cancellations carried on');
    }
  }

  // Users

  submit(fields: Partial<Submission> = {}, to = this.anyController()): string {
    const id = fields.id ?? `req-${String(++this.asked).padStart(6, '0')}`;
    const job = { ...SUBMISSION, ...this.jobs.get(id), ...fields, id };
    this.jobs.set(id, job);
    this.ask('POST', '/v1/jobs', job, to);
    return id;
  }

  cancel(id: string, to = this.anyController()): void {
    this.notes.add('cancellations asked');
    this.cancelled.add(id);
    this.ask('POST', `/v1/jobs/${id}/withdraw`, undefined, to);
  }

  query(id: string, to = this.anyController()): void {
    this.ask('GET', `/v1/jobs/${id}`, undefined, to);
  }

  ask(method: string, target: string, body: unknown, to: number): void {
    const user = `user-of-${to}`;
    void this.net.request(user, `c-${to}:${USER_PORT}`, method, target, body, USER_TIMEOUT_MS);
  }

  private anyController(): number {
    return Math.floor(draw(this.seed, 'controller', this.time.now(), this.asked) * 3);
  }
}

function conditionOf(m: PlayedMachine | undefined): string {
  if (!m) return 'never booted';
  if (m.hangs) return 'silent';
  return m.deaf ? 'deaf' : 'heard';
}

function settingsOf(i: number, state: Partial<StateSettings>) {
  const others = CONTROLLERS.filter((j) => j !== i);
  return {
    node: `c-${i}`,
    zone: ZONES[i],
    bind: `c-${i}:${USER_PORT}`,
    peer_listen: `c-${i}:${PEER_PORT}`,
    peers: others.map((j) => ({ node: `c-${j}`, zone: ZONES[j], address: `c-${j}:${PEER_PORT}` })),
    external: { cloud: 'cloud:2', state: 'state:1' },
    settings: { ...SETTINGS, state: { ...STATE, ...state } },
  };
}
