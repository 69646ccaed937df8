import type { BitmapLayout } from './bitmap-layout.js';
import { GoneMachines } from './gone-machines.js';
import { Job } from './job.js';
import { type JobEnd, JobGraph } from './job-graph.js';
import { type Binding, bindingKey, type Drain, Machine } from './machine.js';
import {
  EPSILON,
  type JobSpec,
  type ListedMachine,
  type MachineReport,
  type MachineType,
  type Order,
  type TaskReport,
  type Team,
} from './model.js';
import { allowed, type Batch, type Placed } from './placement.js';
import { Roster } from './roster.js';

/** Tells why a larger decision was made; the duties write it to the log. */
export type Note = (message: string, fields: Record<string, unknown>) => void;

/** Figures of the settings that the core needs, in milliseconds. */
export interface CoreTiming {
  reportMs: number;
  workerLeaseMs: number;
  listProofMs: number;
  silentMs: number;
}

export interface CorePolicy {
  weights: { throughput: number; cost: number; locality: number };
  waitSpread: number;
  spread: number;
  smoothBoots: number;
  drainBoots: number;
  idleBoots: number;
  bootPatience: number;
  backoffBoots: number;
  sickJobs: number;
  sickFailures: number;
  faultyMachines: number;
  machineStarts: number;
}

/** A class's aims, from the settings' objectives. */
export interface ClassAims {
  /** Tasks should start within each of these. */
  waits: number[];
  /** Jobs should be done within each of these. */
  finishes: number[];
  /** Jobs should be done within each of these multiples of their deadline. */
  deadlines: number[];
}

export interface Aims {
  classes: Map<string, ClassAims>;
  /** Work within its team's guarantee should start within this. */
  guaranteeS: number | null;
}

export interface Use {
  cpus: number;
  gpus: number;
}

/** What a job needs, as its record tells. */
export interface UpstreamList {
  ids: readonly string[];
  /** There are more than these, which have to be read. */
  unread: boolean;
  /** Keys that go with the job. */
  keys: readonly string[];
}

const NO_UPSTREAM: UpstreamList = { ids: [], unread: false, keys: [] };

/** Attempts rise across leaders: the term is the high part. */
const ATTEMPTS_PER_TERM = 2 ** 28;
/** Keeps an answer's one line well below the protocol's 64 KiB. */
const ORDERS_PER_ANSWER = 250;
/** A machine that is gone is remembered for this many times as long as the list may still show it. */
const GONE_LIST_PROOFS = 10;
/** A page of the roster, unless the settings say otherwise. */
const DEFAULT_PAGE_BYTES = 4096;
/** How near its latest start makes work pressing, in lengths of its tasks: in that time most of all room comes free. */
const LOOK_AHEAD = 1.5;
/** The longest task of an array, and the owner's estimate being off, in estimates. */
const LONGEST = 1.5;
/** What an arrival adds to the mean size of its class's jobs. */
const SIZE_RATE = 0.05;
/** A later fence is waited for by this many tasks, or for this part of a worker's lease, before it is raised: each raise costs the worker a report. */
const FENCE_TASKS = 16;
const FENCE_LEASES = 0.25;
/** Intervals without a report, with their jitter, that show one to be missed. */
const MISSED_REPORTS = 1.5;
/** For this part of a report interval after it was late, a leader counts as behind. */
const BEHIND_REPORTS = 0.25;
/** Answers in a row whose starts show no effect before a machine counts as deaf. */
const LOST_ANSWERS = 2;
/** A task expected to need this many times the notice is not worth the hope. */
const HOPELESS = 2;

/**
 * The leader's picture of one term: made anew at each takeover, dropped when
 * leadership ends. Events and the time go in, orders come out.
 */
export class Cluster {
  readonly jobs = new Map<string, Job>();
  /** Which jobs wait for which others. */
  readonly graph = new JobGraph(this.jobs, {
    longestS: (job) => this.estimateS(job.spec) * LONGEST,
  });
  readonly machines = new Map<string, Machine>();
  readonly teamUse = new Map<string, Use>();
  readonly types = new Map<string, MachineType>();
  readonly gone: GoneMachines;
  readonly rosterPuts = new Set<Machine>();
  readonly roster: Roster;
  /** Keys of ended jobs' chunks that nobody needs. */
  readonly cleanup = new Set<string>();
  private readonly strayTasks = new Map<string, TaskReport[]>();
  /** How far owners' estimates are off, by class: actual over estimated. */
  private readonly ratios = new Map<string, number>();
  /** Tasks of a job on average, by class. */
  private readonly sizes = new Map<string, number>();
  /** Something happened that may let a task be placed. */
  stirred = true;
  /** Room within a team's limit that is kept for the first task of a job that has waited for too long. */
  readonly keptRoom = new Map<string, Use>();
  /** What the last round found no machine for, in its order. */
  waiting: Batch[] = [];
  /** By zone: when it was last heard, and since when without a gap in which all of it was silent. */
  readonly heard = new Map<string, { last: number; since: number }>();
  /** Machines with orders that have not left. */
  readonly toTell = new Set<Machine>();
  /** Machines that may be deaf and are asked whether they hear commands. */
  readonly toProbe = new Set<Machine>();
  /** Machines that list unknown tasks. */
  private readonly strayHolders = new Set<Machine>();
  /** How many machines of each kind and place are inherited and neither confirmed nor gone. */
  private readonly inheritedKinds = new Map<string, { like: Placed; count: number }>();
  /** When this leader was last seen to be late itself. */
  private behindAt = Number.NEGATIVE_INFINITY;
  /** Time of day less steady time, for ages of jobs. */
  wallOffset = 0;
  /** Jobs that a node told of as cancelled, by the revision of that: news from before it must not bring one back. */
  private readonly announced = new Map<string, number>();
  /** The revision up to which the news of jobs has been applied. */
  private newsUpTo = 0;
  private attempts = 0;
  /** Told of each machine that is proven gone. */
  onGone: (m: Machine) => void = () => {};

  constructor(
    readonly term: number,
    readonly teams: Map<string, Team>,
    readonly timing: CoreTiming,
    readonly policy: CorePolicy,
    readonly aims: Aims,
    readonly bitmaps: BitmapLayout,
    readonly note: Note,
    rosterPageBytes = DEFAULT_PAGE_BYTES,
  ) {
    this.roster = new Roster(term, rosterPageBytes);
    this.gone = new GoneMachines(timing.listProofMs * GONE_LIST_PROOFS);
  }

  setTypes(types: MachineType[]): void {
    for (const t of types) {
      const old = this.types.get(t.name);
      // Machines hold the object: prices move in place.
      if (old) Object.assign(old, t);
      else this.types.set(t.name, t);
    }
  }

  // Jobs

  addJob(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    inherited: boolean,
    upstream: UpstreamList = NO_UPSTREAM,
  ): Job | null {
    if (this.jobs.has(spec.id) || this.announced.has(spec.id)) return null;
    const job = new Job(spec, version, acceptedAt, inherited);
    this.jobs.set(spec.id, job);
    job.otherKeys.push(...upstream.keys);
    if (upstream.unread) this.graph.postpone(job);
    else this.graph.link(job, upstream.ids);
    const size = this.sizes.get(spec.jobClass) ?? spec.tasks;
    this.sizes.set(spec.jobClass, size + (spec.tasks - size) * SIZE_RATE);
    this.stirred = true;
    return job;
  }

  /** The pages of what the job needs have been read. */
  linkUnread(job: Job, upstream: readonly string[]): void {
    if (job.over) return;
    this.graph.linkUnread(job, upstream);
    this.stirred = true;
  }

  /**
   * The job has been cancelled or its end is durable: nothing of it may start,
   * what runs is stopped. Null: it is not known how it ended.
   */
  endJob(id: string, end: JobEnd | null): void {
    this.graph.ended(id, end);
    this.stirred = true;
    const job = this.jobs.get(id);
    if (!job) return;
    job.over = true;
    this.jobs.delete(id);
    for (const chunk of job.chunks.keys()) this.cleanup.add(this.bitmaps.key(id, chunk));
    for (const key of job.otherKeys) this.cleanup.add(key);
    for (const b of [...job.bound.values()]) {
      if (neverSent(b)) this.release(b, 0);
      else this.stop(b, 0);
    }
    for (const waiting of job.dirty.values()) for (const b of waiting) b.settled = true;
    job.dirty.clear();
    this.stirred = true;
  }

  /** The job's cancellation is durable at this revision, which the news of jobs may not have reached. */
  announceEnd(id: string, revision: number): void {
    if (revision <= this.newsUpTo) return;
    this.announced.set(id, revision);
    this.endJob(id, { state: 'cancelled', at: null });
  }

  /** The news of jobs has been applied up to this revision. */
  upToDate(revision: number): void {
    this.newsUpTo = revision;
    for (const [id, at] of this.announced) if (at <= revision) this.announced.delete(id);
  }

  /** How long the job could have run: what counts for all aims but deadlines. */
  ageMs(job: Job, now: number): number {
    return now + this.wallOffset - job.eligibleAt;
  }

  /** The shortest wait that the class's aims allow; null when none of them is about waiting. */
  waitAimS(jobClass: string): number | null {
    const waits = this.aims.classes.get(jobClass)?.waits ?? [];
    return waits.length > 0 ? Math.min(...waits) : null;
  }

  /**
   * What leaving the job to wait is about to cost, for each CPU second that it
   * needs. Each of its class's aims that it can still meet counts, and the
   * more the nearer the latest start for it; what it can't meet any more
   * costs nothing. Aims on waiting count tasks, the others whole jobs.
   */
  pressure(job: Job, now: number): number {
    const { spec, ready } = job;
    const aims = this.aims.classes.get(spec.jobClass);
    if (!aims && !job.goal) return 0;
    const age = this.ageMs(job, now) / 1000;
    const estimate = this.estimateS(spec);
    const longest = estimate * LONGEST;
    const near = (leftS: number) => (leftS >= 0 ? Math.exp(-leftS / (estimate * LOOK_AHEAD)) : 0);
    let whole = 0;
    for (const s of aims?.finishes ?? []) whole += near(s - longest - age);
    for (const leftS of this.deadlinesLeftS(job, now)) whole += near(leftS - longest);
    let tasks = 0;
    for (const s of aims?.waits ?? []) tasks += near(s - age);
    const usual = this.sizes.get(spec.jobClass) ?? spec.tasks;
    return (whole + (tasks * ready) / usual) / Math.max(EPSILON, ready * spec.cpus * estimate);
  }

  /**
   * Seconds until the job has to be done for each aim on deadlines of the job
   * that it serves, its own or the last of its pipeline. Deadlines count from
   * that job's submission, however long it waits for others.
   */
  private deadlinesLeftS(job: Job, now: number): number[] {
    if (!job.goal) return [];
    const { job: last, restS } = job.goal;
    const deadlineS = last.spec.deadlineS ?? Number.POSITIVE_INFINITY;
    const age = (now + this.wallOffset - last.acceptedAt) / 1000;
    const aims = this.aims.classes.get(last.spec.jobClass);
    return (aims?.deadlines ?? []).map((times) => deadlineS * times - restS - age);
  }

  estimateS(spec: JobSpec): number {
    return Math.max(0.5, spec.estimateS * (this.ratios.get(spec.jobClass) ?? 1));
  }

  remainingS(b: Binding, now: number): number {
    const estimate = this.estimateS(b.job.spec);
    if (b.runningSince === null) return estimate;
    // A task that has outrun its estimate is expected to need a part of it more.
    return Math.max(estimate - (now - b.runningSince) / 1000, estimate * 0.2);
  }

  private learn(b: Binding, now: number): void {
    const spec = b.job.spec;
    if (b.runningSince === null || spec.estimateS <= 0) return;
    const seen = Math.min(5, Math.max(0.2, (now - b.runningSince) / 1000 / spec.estimateS));
    const old = this.ratios.get(spec.jobClass) ?? 1;
    this.ratios.set(spec.jobClass, old + (seen - old) * 0.05);
  }

  // Machines

  machine(
    id: string,
    type: string,
    zone: string,
    spot: boolean,
    ageS: number,
    now: number,
  ): Machine {
    let m = this.machines.get(id);
    if (!m) {
      m = new Machine(
        id,
        type,
        this.types.get(type) ?? null,
        zone,
        spot,
        now - Math.max(0, ageS) * 1000,
        now,
      );
      this.machines.set(id, m);
    }
    return m;
  }

  /** A machine of the durable roster, which an earlier leader may have given tasks. */
  inheritMachine(
    id: string,
    type: string,
    zone: string,
    spot: boolean,
    address: string,
    now: number,
  ): void {
    const m = this.machine(id, type, zone, spot, 0, now);
    m.address = address;
    m.rostered = true;
    m.lastReport = now;
    m.upAt = now;
    if (m.inherited) return;
    m.inherited = true;
    const key = `${type}|${zone}|${spot}`;
    const kind = this.inheritedKinds.get(key) ?? {
      like: { typeName: type, zone, spot },
      count: 0,
    };
    kind.count++;
    this.inheritedKinds.set(key, kind);
  }

  private settleInherited(m: Machine): void {
    if (!m.inherited) return;
    m.inherited = false;
    const key = `${m.typeName}|${m.zone}|${m.spot}`;
    const kind = this.inheritedKinds.get(key);
    if (kind && --kind.count === 0) this.inheritedKinds.delete(key);
  }

  /** A machine that is neither confirmed nor gone may hold tasks of such a job. */
  mayBeHeld(spec: JobSpec): boolean {
    for (const { like } of this.inheritedKinds.values()) if (allowed(like, spec)) return true;
    return false;
  }

  /** Proof that the machine and all on it are gone. */
  machineGone(id: string, why: string, now: number): void {
    const m = this.machines.get(id);
    this.gone.add(id, now);
    if (!m) return;
    this.onGone(m);
    const lost = this.releaseAll(m);
    this.settleInherited(m);
    this.machines.delete(id);
    this.toTell.delete(m);
    this.toProbe.delete(m);
    this.strayTasks.delete(id);
    this.strayHolders.delete(m);
    this.rosterPuts.delete(m);
    if (m.rostered || m.rostering) this.roster.gone(id);
    this.stirred = true;
    this.note('machine gone', { machine: id, why, drain: m.drain, lostTasks: lost });
  }

  drain(m: Machine, why: Drain): void {
    if (m.drain === why) return;
    m.drain = why;
    // What never left for the machine may go elsewhere.
    for (const b of [...m.bindings.values()]) if (neverSent(b)) this.release(b, 0);
    this.note('machine drained', { machine: m.id, why, running: m.bindings.size });
  }

  private releaseAll(m: Machine): number {
    let lost = 0;
    for (const b of [...m.bindings.values()]) {
      if (b.state !== 'exited') lost++;
      this.release(b, 0);
    }
    return lost;
  }

  /** The binding has ended without a result. */
  release(b: Binding, until: number): void {
    // A command's answer may come after a new session or the machine's end released it: what it
    // used must not be taken off the team twice, or its limit is overrun.
    if (b.machine.bindings.get(bindingKey(b.job.spec.id, b.index, b.attempt)) !== b) return;
    if (b.state !== 'exited') this.use(b, -1);
    b.machine.remove(b);
    b.job.unbind(b, until);
    this.settleIdle(b.machine, b.boundAt);
    this.stirred = true;
  }

  private settleIdle(m: Machine, now: number): void {
    if (!m.busy) m.idleSince = Math.max(m.idleSince, now);
  }

  private use(b: Binding, sign: number): void {
    const { team, cpus, gpus } = b.job.spec;
    const u = this.teamUse.get(team) ?? { cpus: 0, gpus: 0 };
    u.cpus += sign * cpus;
    u.gpus += sign * gpus;
    this.teamUse.set(team, u);
  }

  /** Has the task stopped; repeated until its exit is reported. */
  stop(b: Binding, graceS: number): void {
    b.stop = { graceS, told: false };
    this.toTell.add(b.machine);
  }

  /** Binds a ready task to a machine; the start leaves with the next answer or command. */
  assign(job: Job, index: number, m: Machine, now: number): Binding {
    const b = this.binding(job, index, this.term * ATTEMPTS_PER_TERM + ++this.attempts, m, now);
    this.use(b, 1);
    m.add(b);
    m.touchImage(job.spec);
    job.bind(b);
    this.toTell.add(m);
    return b;
  }

  private binding(job: Job, index: number, attempt: number, m: Machine, now: number): Binding {
    return {
      job,
      index,
      attempt,
      machine: m,
      state: 'assigned',
      sentSeq: null,
      direct: null,
      boundAt: now,
      runningSince: null,
      stop: null,
      spared: false,
      settled: false,
    };
  }

  /**
   * What unconfirmed machines may hold beyond what is known: it counts against
   * every team's limit until it is cleared up.
   */
  doubt(): Use {
    const d = { cpus: 0, gpus: 0 };
    // Nothing is known to be bound on an inherited machine before it is confirmed.
    for (const { like, count } of this.inheritedKinds.values()) {
      const type = this.types.get(like.typeName);
      d.cpus += (type?.cpus ?? 0) * count;
      d.gpus += (type?.gpus ?? 0) * count;
    }
    for (const m of this.strayHolders) {
      d.cpus += (m.type?.cpus ?? 0) - m.cpus;
      d.gpus += (m.type?.gpus ?? 0) - m.gpus;
    }
    return d;
  }

  // Reports

  /**
   * Takes a report. `beat` tells a worker's own report, of which one is in
   * flight at a time, from the report in a command's answer. False: it is
   * older than what is known.
   */
  report(r: MachineReport, beat: boolean, now: number): boolean {
    if (this.gone.has(r.machine)) return false;
    if (!this.machines.has(r.machine) && this.gone.mayHaveGone(r.machine)) return false;
    // Only under our own token it can't be a late copy from before this term: an older one proves
    // neither that the machine is alive nor that it exists. Its answer raises the token, and the
    // worker reports again at once.
    const own = r.term === this.term;
    if (!own && !this.machines.has(r.machine)) return false;
    const m = this.machine(r.machine, r.type, r.zone, r.spot, 0, now);
    if (r.session < m.session || (r.session === m.session && r.seq <= m.seq)) return false;
    if (r.session > m.session) {
      if (m.session > 0) {
        const lost = this.releaseAll(m);
        this.note('new session', { machine: m.id, session: r.session, lostTasks: lost });
        // Its reports come, but no answer renewed its lease: it has to show that it hears us.
        this.unheard(m, now);
      }
      m.session = r.session;
      m.confirmed = false;
    }
    m.seq = r.seq;
    m.address = r.address;
    if (!m.rostered && !m.rostering) this.rosterPuts.add(m);
    if (!own) return true;
    m.lastReport = now;
    m.missing = false;
    this.hear(m.zone, now);
    if (m.upAt === null) {
      m.upAt = now;
      m.idleSince = now;
    }
    if (m.drain === 'silent' || m.drain === 'no boot') m.drain = null;
    const noticed = r.noticeS !== null && m.noticeUntil === null;
    if (r.noticeS !== null) {
      if (noticed) this.note('spot notice', { machine: m.id, seconds: r.noticeS });
      m.noticeUntil = now + r.noticeS * 1000;
      this.drain(m, 'notice');
    }
    // Under an older token commands of an earlier leader might still be executed; from here on the list is whole.
    if (!m.confirmed) {
      m.confirmed = true;
      this.settleInherited(m);
      this.stirred = true;
    }
    this.reconcile(m, r, beat, now);
    if (noticed) this.clear(m, r.noticeS ?? 0, now);
    return true;
  }

  /**
   * The machine will be taken: what can save does so, and what will hardly
   * finish starts anew elsewhere at once. The rest is left to finish.
   */
  private clear(m: Machine, noticeS: number, now: number): void {
    for (const b of m.bindings.values()) {
      if (b.state === 'exited' || b.state === 'assigned' || b.stop) continue;
      const { checkpointS, saveS } = b.job.spec;
      const left = this.remainingS(b, now);
      if (checkpointS > 0 && saveS < noticeS && left > noticeS) this.stop(b, saveS);
      else if (checkpointS === 0 && left > noticeS * HOPELESS) this.stop(b, 0);
    }
  }

  /** This leader is late with what it does: reports may have come and lie unread. */
  behind(now: number): void {
    this.behindAt = now;
  }

  /** It was late a moment ago: what can wait for the machines' own reports does. */
  isBehind(now: number): boolean {
    return now - this.behindAt < this.timing.reportMs * BEHIND_REPORTS;
  }

  /**
   * From when on the machine's silence counts. While a small processor is
   * behind, most of all after a takeover, its reports wait to be read, or it
   * has tried in vain and gone elsewhere: that is not its silence. For longer
   * than its lease nothing excuses it.
   */
  silentFrom(m: Machine): number {
    const excused = Math.min(this.behindAt, m.lastReport + this.timing.workerLeaseMs);
    return Math.max(m.lastReport, excused);
  }

  private hear(zone: string, now: number): void {
    const h = this.heard.get(zone);
    if (!h || now - h.last > this.timing.reportMs * 1.5)
      this.heard.set(zone, { last: now, since: now });
    else h.last = now;
  }

  private reconcile(m: Machine, r: MachineReport, beat: boolean, now: number): void {
    const listed = new Set<string>();
    m.fence = Math.max(m.fence, r.fence);
    m.fenced = Math.max(m.fenced, r.fence);
    const strays: TaskReport[] = [];
    for (const t of r.tasks) {
      const key = bindingKey(t.job, t.index, t.attempt);
      listed.add(key);
      let b = m.bindings.get(key);
      if (!b) {
        const job = this.jobs.get(t.job);
        if (!job || t.index >= job.spec.tasks) {
          strays.push(t);
          continue;
        }
        b = this.found(job, t, m, now);
      }
      if (t.state === 'exited') {
        if (b.state !== 'exited') this.exit(b, t, now);
        continue;
      }
      if (b.state === 'assigned') this.hears(m);
      if (t.state === 'running' && b.runningSince === null) {
        b.runningSince = now;
        m.touchImage(b.job.spec);
      }
      b.state = t.state;
    }
    m.strays = strays.some((t) => t.state !== 'exited');
    if (m.strays) this.strayHolders.add(m);
    else this.strayHolders.delete(m);
    if (strays.length > 0) this.strayTasks.set(m.id, strays);
    else this.strayTasks.delete(m.id);
    let lost = false;
    for (const [key, b] of m.bindings) {
      const cutOff = b.direct !== null && b.direct < m.fenced;
      if (cutOff) b.direct = null;
      if (listed.has(key)) continue;
      if (b.state === 'exited') m.remove(b);
      else if (b.state !== 'assigned') this.release(b, 0);
      // It left by a direct command alone, which is refused from here on.
      else if (cutOff && b.sentSeq === null) this.release(b, 0);
      // The answer that carried the start was dropped: the worker sends one report at a time and drops late answers.
      else if (beat && b.sentSeq !== null && r.seq > b.sentSeq && b.direct === null) {
        this.release(b, 0);
        lost = true;
      }
    }
    if (lost && ++m.lostAnswers >= LOST_ANSWERS) this.unheard(m, now);
  }

  /**
   * Something sent to the machine shows no effect although its reports arrive.
   * One loss is ordinary; from the second in a row on it gets no work until it
   * has answered a command: its reports alone would draw ever more starts.
   */
  unheard(m: Machine, now: number): void {
    m.deafSince ??= now;
  }

  hears(m: Machine): void {
    m.lostAnswers = 0;
    this.toProbe.delete(m);
    if (m.deafSince === null) return;
    m.deafSince = null;
    this.stirred = true;
  }

  /** A task that an earlier leader started, or that was taken for lost. */
  private found(job: Job, t: TaskReport, m: Machine, now: number): Binding {
    const b = this.binding(job, t.index, t.attempt, m, now);
    // For an exited task this is balanced by the exit that follows at once.
    this.use(b, 1);
    m.add(b);
    if (t.state === 'exited') return b;
    const other = job.bound.get(t.index);
    if (other && neverSent(other)) this.release(other, 0);
    if (job.isDone(t.index) || job.bound.has(t.index)) this.stop(b, 0);
    else job.bind(b);
    return b;
  }

  private exit(b: Binding, t: TaskReport, now: number): void {
    const { job, machine: m } = b;
    this.use(b, -1);
    m.exited(b);
    b.settled = true;
    this.stirred = true;
    if (!m.busy) m.idleSince = now;
    switch (t.cause) {
      case 'done':
        this.done(b, now);
        return;
      case 'error':
        this.failed(b, now);
        return;
      case 'no_room':
        m.refusedUntil = now + this.timing.reportMs;
        job.unbind(b, 0);
        return;
      case 'unknown':
        job.unbind(b, now + this.timing.reportMs);
        return;
      default:
        job.unbind(b, 0);
    }
  }

  private done(b: Binding, now: number): void {
    const { job, machine: m } = b;
    this.learn(b, now);
    job.failedOn.clear();
    job.failures = 0;
    job.succeeded = true;
    m.failedJobs.clear();
    const other = job.bound.get(b.index);
    const first = job.finish(b.index);
    job.unbind(b, 0);
    if (other && other !== b) this.stop(other, 0);
    if (!first || job.over) return;
    b.settled = false;
    const chunk = this.bitmaps.chunkOf(b.index);
    const waiting = job.dirty.get(chunk);
    if (waiting) waiting.push(b);
    else job.dirty.set(chunk, [b]);
  }

  /** Tells a sick machine, on which several jobs fail, from a faulty job, which fails on several machines. */
  private failed(b: Binding, now: number): void {
    const { job, machine: m } = b;
    const { reportMs, workerLeaseMs } = this.timing;
    job.failures++;
    job.failedOn.add(m.id);
    const faulty = !job.succeeded && job.failedOn.size >= this.policy.faultyMachines;
    if (faulty) {
      for (const other of this.machines.values()) other.failedJobs.delete(job.spec.id);
      const steps = Math.min(6, job.failedOn.size - this.policy.faultyMachines);
      job.heldUntil = now + Math.min(workerLeaseMs * 1.5, reportMs * 2 ** steps);
      if (job.failures % 8 === 3)
        this.note('job fails everywhere, held back', {
          job: job.spec.id,
          machines: job.failedOn.size,
        });
    } else {
      m.failedJobs.set(job.spec.id, (m.failedJobs.get(job.spec.id) ?? 0) + 1);
      let failures = 0;
      for (const n of m.failedJobs.values()) failures += n;
      if (
        m.failedJobs.size >= this.policy.sickJobs ||
        (failures >= this.policy.sickFailures && job.succeeded)
      )
        this.drain(m, 'sick');
    }
    job.unbind(b, now + reportMs * 0.5 * Math.min(4, job.failedOn.size));
  }

  /**
   * Whatever else an answer may order: it renews the lease, so it stops what
   * the report shows of jobs that have ended. Every task was started by this
   * leader or an earlier one, so its job is known here or has ended.
   */
  endsOf(r: MachineReport): Order[] {
    const out: Order[] = [];
    for (const t of r.tasks) {
      if (out.length >= ORDERS_PER_ANSWER) break;
      if (t.state === 'exited' || this.jobs.has(t.job)) continue;
      out.push({ op: 'stop', job: t.job, index: t.index, attempt: t.attempt, graceS: 0 });
    }
    return out;
  }

  /** The orders for a machine that has just reported, in the order of their execution. */
  orders(m: Machine): Order[] {
    const out: Order[] = [];
    if (!m.confirmed) return out;
    // Ends of jobs come first: where an answer is full, what runs on does so under a renewed lease.
    for (const b of m.bindings.values())
      if (b.job.over && b.stop && b.state !== 'exited' && b.state !== 'assigned')
        out.push({ op: 'stop', job: b.job.spec.id, index: b.index, attempt: b.attempt, graceS: 0 });
    for (const t of this.strayTasks.get(m.id) ?? []) {
      if (out.length >= ORDERS_PER_ANSWER) break;
      const base = { job: t.job, index: t.index, attempt: t.attempt };
      if (t.state === 'exited') out.push({ op: 'forget', ...base });
      else out.push({ op: 'stop', ...base, graceS: 0 });
    }
    for (const b of m.bindings.values()) {
      if (out.length >= ORDERS_PER_ANSWER) break;
      const base = { job: b.job.spec.id, index: b.index, attempt: b.attempt };
      if (b.state === 'exited') {
        if (b.settled && b.direct === null) out.push({ op: 'forget', ...base });
      } else if (b.state === 'assigned') {
        if (b.job.over) continue;
        out.push({ op: 'start', ...base });
        b.sentSeq = m.seq;
      } else if (b.stop && !b.job.over && (b.state !== 'saving' || b.stop.graceS === 0)) {
        out.push({ op: 'stop', ...base, graceS: b.stop.graceS });
      }
    }
    return out;
  }

  /**
   * Raises the machine's fence when what left by direct commands has to be
   * over for good: attempts to be forgotten, which a copy of the command would
   * start again, and starts whose command had no answer. The answer under the
   * higher token has every earlier command refused from then on, copies too.
   */
  fenceOff(m: Machine, now: number): void {
    if (!m.confirmed || m.fence > m.fenced) return;
    let waiting = 0;
    for (const b of m.bindings.values()) {
      if (b.direct === null) continue;
      const unanswered = b.state === 'assigned' && now - b.boundAt > this.timing.reportMs;
      if (unanswered || (b.state === 'exited' && b.settled)) waiting++;
    }
    if (waiting === 0) {
      m.fenceSince = null;
      return;
    }
    m.fenceSince ??= now;
    const waited = now - m.fenceSince >= this.timing.workerLeaseMs * FENCE_LEASES;
    if (waiting < FENCE_TASKS && !waited) return;
    m.fence++;
    m.fenceSince = null;
  }

  // Commands sent straight to a machine

  /** What a machine is to be told at once; starts are in doubt from here on until they are answered. */
  urgent(m: Machine): { orders: Order[]; starts: Binding[] } {
    const orders: Order[] = [];
    const starts: Binding[] = [];
    // Behind a cut the orders go with the answers to its reports.
    if (!m.confirmed || m.relayed) return { orders, starts };
    for (const b of m.bindings.values()) {
      if (orders.length >= ORDERS_PER_ANSWER) break;
      const base = { job: b.job.spec.id, index: b.index, attempt: b.attempt };
      if (b.state === 'assigned') {
        if (b.job.over || !neverSent(b)) continue;
        b.direct = m.fence;
        starts.push(b);
        orders.push({ op: 'start', ...base });
      } else if (b.stop && !b.stop.told && b.state !== 'exited') {
        b.stop.told = true;
        orders.push({ op: 'stop', ...base, graceS: b.stop.graceS });
      }
    }
    return { orders, starts };
  }

  /** The machine answered the command with its report `seq`. */
  answered(starts: Binding[], executed: boolean, seq: number): void {
    for (const b of starts) {
      // Executed: a copy of it may yet arrive, until the fence has moved on.
      if (executed) b.sentSeq = Math.max(b.sentSeq ?? 0, seq);
      else {
        // Refused for its token or session, and so will every copy be.
        b.direct = null;
        if (neverSent(b)) this.release(b, 0);
      }
    }
  }

  /** The command never left: the starts go with the next report's answer. */
  unsent(starts: Binding[]): void {
    for (const b of starts) b.direct = null;
  }

  // The cloud's list

  /** A whole list, asked for at `askedAt`. */
  listed(list: ListedMachine[], askedAt: number, now: number): void {
    const seen = new Set<string>();
    for (const l of list) {
      seen.add(l.id);
      if (this.gone.has(l.id)) continue;
      if (l.state === 'failed') {
        if (!this.machines.has(l.id)) this.machine(l.id, l.type, l.zone, l.spot, l.ageS, now);
        this.machineGone(l.id, 'listed as failed', now);
        continue;
      }
      if (!this.machines.has(l.id))
        this.note('unexpected machine adopted', { machine: l.id, type: l.type, zone: l.zone });
      const m = this.machine(l.id, l.type, l.zone, l.spot, l.ageS, now);
      m.missing = false;
      if (l.address) m.address = l.address;
      if (l.state === 'running' && m.upAt === null) {
        m.upAt = now;
        m.lastReport = now;
        m.idleSince = now;
      }
    }
    const missedMs = this.timing.reportMs * MISSED_REPORTS;
    for (const m of [...this.machines.values()]) {
      if (seen.has(m.id) || m.lastReport >= askedAt) continue;
      // What is listed stays listed until it is gone, and by now this one would have been listed.
      if (askedAt > m.knownAt + this.timing.listProofMs)
        this.machineGone(m.id, 'absent from the list', now);
      // A young one may be up before the list shows it, and what was heard until the asking counts:
      // the answer may have waited while we stood still.
      else if (m.rostered && (m.inherited || askedAt - m.lastReport > missedMs)) m.missing = true;
    }
  }
}

/** Bound, but its start has left by no way. */
function neverSent(b: Binding): boolean {
  return b.state === 'assigned' && b.sentSeq === null && b.direct === null;
}
