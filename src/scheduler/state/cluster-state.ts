import type {
  JobSpec,
  ListedMachine,
  MachineReport,
  MachineType,
  Order,
  TaskReport,
  Team,
} from '../../model/model.js';
import type { Aims, CorePolicy, CoreTiming, Use } from '../../model/policy.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { Roster } from '../persistence/roster.js';
import type { Batch } from '../placement/ready-queue.js';
import { InheritedMachines } from '../reconcile/inherited-machines.js';
import { GoneMachines } from '../reconcile/machine-tombstones.js';
import { neverSent, reportOrders, stopsOfEndedJobs } from '../reconcile/task-commands.js';
import { type JobEnd, JobGraph } from './dependency-graph.js';
import { Job } from './job.js';
import { type Binding, bindingKey, type Drain, Machine } from './machine.js';
import { WorkEstimates } from './work-estimates.js';

/** Tells why a larger decision was made; the duties write it to the log. */
export type Note = (message: string, fields: Record<string, unknown>) => void;

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
/** A machine that is gone is remembered for this many times as long as the list may still show it. */
const GONE_LIST_PROOFS = 10;
/** A page of the roster, unless the settings say otherwise. */
const DEFAULT_PAGE_BYTES = 4096;
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
  readonly graph: JobGraph;
  readonly estimates: WorkEstimates;
  readonly machines = new Map<string, Machine>();
  readonly teamUse = new Map<string, Use>();
  readonly types = new Map<string, MachineType>();
  readonly gone: GoneMachines;
  readonly rosterPuts = new Set<Machine>();
  readonly roster: Roster;
  /** Keys of ended jobs' chunks that nobody needs. */
  readonly cleanup = new Set<string>();
  private readonly strayTasks = new Map<string, TaskReport[]>();
  /** Something happened that may let a task be placed. */
  roundDue = true;
  /** Room within a team's limit that is kept for the first task of a job that has waited for too long. */
  readonly keptRoom = new Map<string, Use>();
  /** What the last round found no machine for, in its order. */
  waiting: Batch[] = [];
  /** By zone: when it was last heard, and since when without a gap in which all of it was silent. */
  readonly heard = new Map<string, { last: number; since: number }>();
  /** Machines with orders that have not left. */
  readonly pendingCommands = new Set<Machine>();
  /** Machines that may be deaf and are asked whether they hear commands. */
  readonly pendingProbes = new Set<Machine>();
  /** Machines that list unknown tasks. */
  private readonly strayHolders = new Set<Machine>();
  readonly inherited = new InheritedMachines();
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
    this.estimates = new WorkEstimates(aims);
    this.graph = new JobGraph(this.jobs, this.estimates);
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
    this.estimates.arrived(spec);
    this.roundDue = true;
    return job;
  }

  /** The pages of what the job needs have been read. */
  linkUnread(job: Job, upstream: readonly string[]): void {
    if (job.over) return;
    this.graph.linkUnread(job, upstream);
    this.roundDue = true;
  }

  /**
   * The job has been cancelled or its end is durable: nothing of it may start,
   * what runs is stopped. Null: it is not known how it ended.
   */
  endJob(id: string, end: JobEnd | null): void {
    this.graph.ended(id, end);
    this.roundDue = true;
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
    this.roundDue = true;
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
    this.inherited.add(m);
  }

  /** Proof that the machine and all on it are gone. */
  machineGone(id: string, why: string, now: number): void {
    const m = this.machines.get(id);
    this.gone.add(id, now);
    if (!m) return;
    this.onGone(m);
    const lost = this.releaseAll(m);
    this.inherited.settle(m);
    this.machines.delete(id);
    this.pendingCommands.delete(m);
    this.pendingProbes.delete(m);
    this.strayTasks.delete(id);
    this.strayHolders.delete(m);
    this.rosterPuts.delete(m);
    if (m.rostered || m.rostering) this.roster.gone(id);
    this.roundDue = true;
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
    this.roundDue = true;
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
    this.pendingCommands.add(b.machine);
  }

  /** Binds a ready task to a machine; the start leaves with the next answer or command. */
  assign(job: Job, index: number, m: Machine, now: number): Binding {
    const b = this.binding(job, index, this.term * ATTEMPTS_PER_TERM + ++this.attempts, m, now);
    this.use(b, 1);
    m.add(b);
    m.touchImage(job.spec);
    job.bind(b);
    this.pendingCommands.add(m);
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
    const d = this.inherited.capacity(this.types);
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
    if (r.session > m.session) this.beginSession(m, r.session, now);
    m.seq = r.seq;
    m.address = r.address;
    if (!m.rostered && !m.rostering) this.rosterPuts.add(m);
    if (own) this.applyOwnReport(m, r, beat, now);
    return true;
  }

  /** The machine's lease ran out, and all that it ran has ended. */
  private beginSession(machine: Machine, session: number, now: number): void {
    if (machine.session > 0) {
      const lost = this.releaseAll(machine);
      this.note('new session', { machine: machine.id, session, lostTasks: lost });
      // Its reports come, but no answer renewed its lease: it has to show that it hears us.
      this.markUnresponsive(machine, now);
    }
    machine.session = session;
    machine.confirmed = false;
  }

  /** A report under our own token: proof that the machine is alive, with the whole list of its tasks. */
  private applyOwnReport(
    machine: Machine,
    report: MachineReport,
    beat: boolean,
    now: number,
  ): void {
    machine.lastReport = now;
    machine.missing = false;
    this.hear(machine.zone, now);
    if (machine.upAt === null) {
      machine.upAt = now;
      machine.idleSince = now;
    }
    if (machine.drain === 'silent' || machine.drain === 'no boot') machine.drain = null;
    const noticed = report.noticeS !== null && machine.noticeUntil === null;
    if (report.noticeS !== null) {
      if (noticed) this.note('spot notice', { machine: machine.id, seconds: report.noticeS });
      machine.noticeUntil = now + report.noticeS * 1000;
      this.drain(machine, 'notice');
    }
    // Under an older token commands of an earlier leader might still be executed; from here on the list is whole.
    if (!machine.confirmed) {
      machine.confirmed = true;
      this.inherited.settle(machine);
      this.roundDue = true;
    }
    this.reconcile(machine, report, beat, now);
    if (noticed) this.clear(machine, report.noticeS ?? 0, now);
  }

  /**
   * The machine will be taken: what can save does so, and what will hardly
   * finish starts anew elsewhere at once. The rest is left to finish.
   */
  private clear(m: Machine, noticeS: number, now: number): void {
    for (const b of m.bindings.values()) {
      if (b.state === 'exited' || b.state === 'assigned' || b.stop) continue;
      const { checkpointS, saveS } = b.job.spec;
      const left = this.estimates.remainingS(b, now);
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

  /** Brings what is known of the machine's tasks in line with its own list of them. */
  private reconcile(machine: Machine, report: MachineReport, beat: boolean, now: number): void {
    const listed = new Set<string>();
    machine.fence = Math.max(machine.fence, report.fence);
    machine.fenced = Math.max(machine.fenced, report.fence);
    const strays: TaskReport[] = [];
    for (const task of report.tasks) {
      const key = bindingKey(task.job, task.index, task.attempt);
      listed.add(key);
      const binding = machine.bindings.get(key) ?? this.adopt(task, machine, now);
      if (binding) this.applyTaskReport(binding, task, now);
      else strays.push(task);
    }
    this.keepStrays(machine, strays);
    this.releaseUnlisted(machine, listed, beat ? report.seq : null, now);
  }

  /** A listed task that is not known here, of a live job; null: there is no such job. */
  private adopt(task: TaskReport, machine: Machine, now: number): Binding | null {
    const job = this.jobs.get(task.job);
    if (!job || task.index >= job.spec.tasks) return null;
    return this.found(job, task, machine, now);
  }

  private applyTaskReport(binding: Binding, task: TaskReport, now: number): void {
    if (task.state === 'exited') {
      if (binding.state !== 'exited') this.exit(binding, task, now);
      return;
    }
    if (binding.state === 'assigned') this.markResponsive(binding.machine);
    if (task.state === 'running' && binding.runningSince === null) {
      binding.runningSince = now;
      binding.machine.touchImage(binding.job.spec);
    }
    binding.state = task.state;
  }

  private keepStrays(machine: Machine, strays: TaskReport[]): void {
    machine.strays = strays.some((task) => task.state !== 'exited');
    if (machine.strays) this.strayHolders.add(machine);
    else this.strayHolders.delete(machine);
    if (strays.length > 0) this.strayTasks.set(machine.id, strays);
    else this.strayTasks.delete(machine.id);
  }

  /** What its list leaves out has ended or never began. `beatSeq` is null for the report in a command's answer. */
  private releaseUnlisted(
    machine: Machine,
    listed: ReadonlySet<string>,
    beatSeq: number | null,
    now: number,
  ): void {
    let lost = false;
    for (const [key, binding] of machine.bindings) {
      const cutOff = binding.direct !== null && binding.direct < machine.fenced;
      if (cutOff) binding.direct = null;
      if (listed.has(key)) continue;
      if (binding.state === 'exited') machine.remove(binding);
      else if (binding.state !== 'assigned') this.release(binding, 0);
      else if (this.releaseUnstarted(binding, cutOff, beatSeq)) lost = true;
    }
    if (lost && ++machine.lostAnswers >= LOST_ANSWERS) this.markUnresponsive(machine, now);
  }

  /** Releases an unlisted task whose start can't reach the machine any more; true: an answer with it was lost. */
  private releaseUnstarted(binding: Binding, cutOff: boolean, beatSeq: number | null): boolean {
    // It left by a direct command alone, which is refused from here on.
    const refused = cutOff && binding.sentSeq === null;
    const lost = !refused && beatSeq !== null && isStartLost(binding, beatSeq);
    if (refused || lost) this.release(binding, 0);
    return lost;
  }

  /**
   * Something sent to the machine shows no effect although its reports arrive.
   * One loss is ordinary; from the second in a row on it gets no work until it
   * has answered a command: its reports alone would draw ever more starts.
   */
  markUnresponsive(m: Machine, now: number): void {
    m.unresponsiveSince ??= now;
  }

  markResponsive(m: Machine): void {
    m.lostAnswers = 0;
    this.pendingProbes.delete(m);
    if (m.unresponsiveSince === null) return;
    m.unresponsiveSince = null;
    this.roundDue = true;
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
    this.roundDue = true;
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
    this.estimates.learn(b, now);
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

  // Orders

  /**
   * Whatever else an answer may order: it renews the lease, so it stops what
   * the report shows of jobs that have ended.
   */
  endsOf(r: MachineReport): Order[] {
    return stopsOfEndedJobs(r, this.jobs);
  }

  /** The orders for a machine that has just reported, in the order of their execution. */
  orders(m: Machine): Order[] {
    return reportOrders(m, this.strayTasks.get(m.id) ?? []);
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

  // The cloud's list

  /** A whole list, asked for at `askedAt`. */
  listed(list: ListedMachine[], askedAt: number, now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      if (!this.gone.has(entry.id)) this.applyListed(entry, now);
    }
    for (const machine of [...this.machines.values()])
      if (!seen.has(machine.id) && machine.lastReport < askedAt)
        this.applyAbsence(machine, askedAt, now);
  }

  private applyListed(entry: ListedMachine, now: number): void {
    const { id, type, zone, spot, ageS } = entry;
    if (entry.state === 'failed') {
      if (!this.machines.has(id)) this.machine(id, type, zone, spot, ageS, now);
      this.machineGone(id, 'listed as failed', now);
      return;
    }
    if (!this.machines.has(id))
      this.note('unexpected machine adopted', { machine: id, type, zone });
    const machine = this.machine(id, type, zone, spot, ageS, now);
    machine.missing = false;
    if (entry.address) machine.address = entry.address;
    if (entry.state === 'running' && machine.upAt === null) {
      machine.upAt = now;
      machine.lastReport = now;
      machine.idleSince = now;
    }
  }

  /** A list that was asked for after the machine was last heard does not show it. */
  private applyAbsence(machine: Machine, askedAt: number, now: number): void {
    const missedMs = this.timing.reportMs * MISSED_REPORTS;
    const silentMs = askedAt - machine.lastReport;
    // What is listed stays listed until it is gone, and by now this one would have been listed.
    if (askedAt > machine.knownAt + this.timing.listProofMs)
      this.machineGone(machine.id, 'absent from the list', now);
    // A young one may be up before the list shows it, and what was heard until the asking counts:
    // the answer may have waited while we stood still.
    else if (machine.rostered && (machine.inherited || silentMs > missedMs)) machine.missing = true;
  }
}

/** The answer that carried the start was dropped: the worker sends one report at a time and drops late answers. */
function isStartLost(binding: Binding, seq: number): boolean {
  return binding.sentSeq !== null && seq > binding.sentSeq && binding.direct === null;
}
