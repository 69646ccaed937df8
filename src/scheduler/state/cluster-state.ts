import type { Heartbeat, TaskStatus } from '../../model/heartbeat.js';
import {
  type DependencyList,
  type JobEnd,
  type JobSpec,
  NO_DEPENDENCIES,
} from '../../model/job.js';
import type { ListedMachine, MachineType } from '../../model/machine.js';
import type { SchedulerPolicy, SchedulerTiming, ServiceObjectives } from '../../model/policy.js';
import type { ResourceUsage, TeamQuota } from '../../model/resources.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { Roster } from '../persistence/roster.js';
import { InheritedMachines } from '../reconcile/inherited-machines.js';
import { MachineTombstones } from '../reconcile/machine-tombstones.js';
import { heartbeatCommands, isUnsent, stopsOfEndedJobs } from '../reconcile/task-commands.js';
import type { Batch } from './batch.js';
import { DependencyGraph } from './dependency-graph.js';
import { Job } from './job.js';
import { attemptKey, type DrainReason, Machine, type TaskAttempt } from './machine.js';
import { WorkEstimates } from './work-estimates.js';

/** Tells why a larger decision was made; the duties write it to the log. */
export type DecisionLogger = (message: string, fields: Record<string, unknown>) => void;

/** Attempts rise across leaders: the term is the high part. */
const ATTEMPTS_PER_TERM = 2 ** 28;
/** A machine that is gone is remembered for this many times as long as the list may still show it. */
const TOMBSTONE_LIST_PROOFS = 10;
/** A page of the roster, unless the settings say otherwise. */
const DEFAULT_PAGE_BYTES = 4096;
/** Intervals without a report, with their jitter, that show one to be missed. */
const MISSED_HEARTBEATS = 1.5;
/** For this part of a report interval after it was late, a leader counts as behind. */
const LAGGING_HEARTBEATS = 0.25;
/** Answers in a row whose starts show no effect before a machine counts as deaf. */
const MAX_MISSED_ACKNOWLEDGEMENTS = 2;
/** A task expected to need this many times the notice is not worth the hope. */
const HOPELESS_NOTICE_RATIO = 2;

/**
 * The leader's picture of one term: made anew at each takeover, dropped when
 * leadership ends. Events and the time go in, orders come out.
 */
export class ClusterState {
  readonly jobs = new Map<string, Job>();
  /** Which jobs wait for which others. */
  readonly dependencies: DependencyGraph;
  readonly estimates: WorkEstimates;
  readonly machines = new Map<string, Machine>();
  readonly quotaUsage = new Map<string, ResourceUsage>();
  readonly machineTypes = new Map<string, MachineType>();
  readonly tombstones: MachineTombstones;
  readonly pendingRosterAdds = new Set<Machine>();
  readonly roster: Roster;
  /** Keys of ended jobs' chunks that nobody needs. */
  readonly obsoleteKeys = new Set<string>();
  private readonly unknownTasks = new Map<string, TaskStatus[]>();
  /** Something happened that may let a task be placed. */
  roundDue = true;
  /** Room within a team's limit that is kept for the first task of a job that has waited for too long. */
  readonly reservedQuota = new Map<string, ResourceUsage>();
  /** What the last round found no machine for, in its order. */
  unplacedBatches: Batch[] = [];
  /** By zone: when it was last heard, and since when without a gap in which all of it was silent. */
  readonly zoneLiveness = new Map<string, { last: number; since: number }>();
  /** Machines with orders that have not left. */
  readonly pendingCommands = new Set<Machine>();
  /** Machines that may be deaf and are asked whether they hear commands. */
  readonly pendingProbes = new Set<Machine>();
  /** Machines that list unknown tasks. */
  private readonly machinesWithUnknownTasks = new Set<Machine>();
  readonly inheritedMachines = new InheritedMachines();
  /** When this leader was last seen to be late itself. */
  private laggingAt = Number.NEGATIVE_INFINITY;
  /** Time of day less steady time, for ages of jobs. */
  wallClockOffset = 0;
  /** Jobs that a node told of as cancelled, by the revision of that: news from before it must not bring one back. */
  private readonly announcedCancellations = new Map<string, number>();
  /** The revision up to which the news of jobs has been applied. */
  private appliedRevision = 0;
  private attemptCount = 0;
  /** Told of each machine that is proven gone. */
  onMachineTerminated: (machine: Machine) => void = () => {};

  constructor(
    readonly term: number,
    readonly quotas: Map<string, TeamQuota>,
    readonly timing: SchedulerTiming,
    readonly policy: SchedulerPolicy,
    readonly objectives: ServiceObjectives,
    readonly bitmaps: BitmapLayout,
    readonly logDecision: DecisionLogger,
    rosterPageBytes = DEFAULT_PAGE_BYTES,
  ) {
    this.estimates = new WorkEstimates(objectives);
    this.dependencies = new DependencyGraph(this.jobs, this.estimates);
    this.roster = new Roster(term, rosterPageBytes);
    this.tombstones = new MachineTombstones(timing.listProofMs * TOMBSTONE_LIST_PROOFS);
  }

  updateMachineTypes(types: MachineType[]): void {
    for (const type of types) {
      const old = this.machineTypes.get(type.name);
      // Machines hold the object: prices move in place.
      if (old) Object.assign(old, type);
      else this.machineTypes.set(type.name, type);
    }
  }

  // Jobs

  addJob(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    inherited: boolean,
    upstream: DependencyList = NO_DEPENDENCIES,
  ): Job | null {
    if (this.jobs.has(spec.id) || this.announcedCancellations.has(spec.id)) return null;
    const job = new Job(spec, version, acceptedAt, inherited);
    this.jobs.set(spec.id, job);
    job.ownedKeys.push(...upstream.keys);
    if (upstream.unread) this.dependencies.deferDependencies(job);
    else this.dependencies.addDependencies(job, upstream.ids);
    this.estimates.recordArrival(spec);
    this.roundDue = true;
    return job;
  }

  /** The pages of what the job needs have been read. */
  addReadDependencies(job: Job, upstream: readonly string[]): void {
    if (job.ended) return;
    this.dependencies.addReadDependencies(job, upstream);
    this.roundDue = true;
  }

  /**
   * The job has been cancelled or its end is durable: nothing of it may start,
   * what runs is stopped. Null: it is not known how it ended.
   */
  endJob(id: string, end: JobEnd | null): void {
    this.dependencies.jobEnded(id, end);
    this.roundDue = true;
    const job = this.jobs.get(id);
    if (!job) return;
    job.ended = true;
    this.jobs.delete(id);
    for (const chunk of job.chunkVersions.keys())
      this.obsoleteKeys.add(this.bitmaps.key(id, chunk));
    for (const key of job.ownedKeys) this.obsoleteKeys.add(key);
    for (const attempt of [...job.activeAttempts.values()]) {
      if (isUnsent(attempt)) this.release(attempt, 0);
      else this.stop(attempt, 0);
    }
    for (const waiting of job.unsavedChunks.values())
      for (const attempt of waiting) attempt.mayBeForgotten = true;
    job.unsavedChunks.clear();
    this.roundDue = true;
  }

  /** The job's cancellation is durable at this revision, which the news of jobs may not have reached. */
  announceCancellation(id: string, revision: number): void {
    if (revision <= this.appliedRevision) return;
    this.announcedCancellations.set(id, revision);
    this.endJob(id, { state: 'cancelled', at: null });
  }

  /** The news of jobs has been applied up to this revision. */
  markJobsCurrent(revision: number): void {
    this.appliedRevision = revision;
    for (const [id, at] of this.announcedCancellations)
      if (at <= revision) this.announcedCancellations.delete(id);
  }

  /** How long the job could have run: what counts for all aims but deadlines. */
  ageMs(job: Job, now: number): number {
    return now + this.wallClockOffset - job.eligibleAt;
  }

  // Machines

  ensureMachine(
    id: string,
    type: string,
    zone: string,
    spot: boolean,
    ageS: number,
    now: number,
  ): Machine {
    let machine = this.machines.get(id);
    if (!machine) {
      machine = new Machine(
        id,
        type,
        this.machineTypes.get(type) ?? null,
        zone,
        spot,
        now - Math.max(0, ageS) * 1000,
        now,
      );
      this.machines.set(id, machine);
    }
    return machine;
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
    const machine = this.ensureMachine(id, type, zone, spot, 0, now);
    machine.address = address;
    machine.inRoster = true;
    machine.lastHeartbeatAt = now;
    machine.upAt = now;
    this.inheritedMachines.add(machine);
  }

  /** Proof that the machine and all on it are gone. */
  markTerminated(id: string, why: string, now: number): void {
    const machine = this.machines.get(id);
    this.tombstones.add(id, now);
    if (!machine) return;
    this.onMachineTerminated(machine);
    const lost = this.releaseAll(machine);
    this.inheritedMachines.resolve(machine);
    this.machines.delete(id);
    this.pendingCommands.delete(machine);
    this.pendingProbes.delete(machine);
    this.unknownTasks.delete(id);
    this.machinesWithUnknownTasks.delete(machine);
    this.pendingRosterAdds.delete(machine);
    if (machine.inRoster || machine.rosterWritePending) this.roster.removeMachine(id);
    this.roundDue = true;
    this.logDecision('machine gone', {
      machine: id,
      why,
      drain: machine.drainReason,
      lostTasks: lost,
    });
  }

  drain(machine: Machine, why: DrainReason): void {
    if (machine.drainReason === why) return;
    machine.drainReason = why;
    // What never left for the machine may go elsewhere.
    for (const attempt of [...machine.attempts.values()])
      if (isUnsent(attempt)) this.release(attempt, 0);
    this.logDecision('machine drained', {
      machine: machine.id,
      why,
      running: machine.attempts.size,
    });
  }

  private releaseAll(machine: Machine): number {
    let lost = 0;
    for (const attempt of [...machine.attempts.values()]) {
      if (attempt.state !== 'exited') lost++;
      this.release(attempt, 0);
    }
    return lost;
  }

  /** The binding has ended without a result. */
  release(attempt: TaskAttempt, until: number): void {
    // A command's answer may come after a new session or the machine's end released it: what it
    // used must not be taken off the team twice, or its limit is overrun.
    if (
      attempt.machine.attempts.get(
        attemptKey(attempt.job.spec.id, attempt.index, attempt.attempt),
      ) !== attempt
    )
      return;
    if (attempt.state !== 'exited') this.chargeQuota(attempt, -1);
    attempt.machine.removeAttempt(attempt);
    attempt.job.removeAttempt(attempt, until);
    this.startIdleTime(attempt.machine, attempt.assignedAt);
    this.roundDue = true;
  }

  private startIdleTime(machine: Machine, now: number): void {
    if (!machine.busy) machine.idleSince = Math.max(machine.idleSince, now);
  }

  private chargeQuota(attempt: TaskAttempt, sign: number): void {
    const { team, cpus, gpus } = attempt.job.spec;
    const usage = this.quotaUsage.get(team) ?? { cpus: 0, gpus: 0 };
    usage.cpus += sign * cpus;
    usage.gpus += sign * gpus;
    this.quotaUsage.set(team, usage);
  }

  /** Has the task stopped; repeated until its exit is reported. */
  stop(attempt: TaskAttempt, graceS: number): void {
    attempt.stopRequest = { graceS, commandSent: false };
    this.pendingCommands.add(attempt.machine);
  }

  /** Binds a ready task to a machine; the start leaves with the next answer or command. */
  assign(job: Job, index: number, machine: Machine, now: number): TaskAttempt {
    const attempt = this.createAttempt(
      job,
      index,
      this.term * ATTEMPTS_PER_TERM + ++this.attemptCount,
      machine,
      now,
    );
    this.chargeQuota(attempt, 1);
    machine.addAttempt(attempt);
    machine.recordImageUse(job.spec);
    job.addAttempt(attempt);
    this.pendingCommands.add(machine);
    return attempt;
  }

  private createAttempt(
    job: Job,
    index: number,
    attempt: number,
    machine: Machine,
    now: number,
  ): TaskAttempt {
    return {
      job,
      index,
      attempt,
      machine: machine,
      state: 'assigned',
      startSentSequence: null,
      directCommandFence: null,
      assignedAt: now,
      runningSince: null,
      stopRequest: null,
      exemptFromPreemption: false,
      mayBeForgotten: false,
    };
  }

  /**
   * What unconfirmed machines may hold beyond what is known: it counts against
   * every team's limit until it is cleared up.
   */
  unconfirmedUsage(): ResourceUsage {
    const usage = this.inheritedMachines.capacity(this.machineTypes);
    for (const machine of this.machinesWithUnknownTasks) {
      usage.cpus += (machine.type?.cpus ?? 0) - machine.usedCpus;
      usage.gpus += (machine.type?.gpus ?? 0) - machine.usedGpus;
    }
    return usage;
  }

  // Reports

  /**
   * Takes a report. `beat` tells a worker's own report, of which one is in
   * flight at a time, from the report in a command's answer. False: it is
   * older than what is known.
   */
  applyHeartbeat(heartbeat: Heartbeat, beat: boolean, now: number): boolean {
    if (this.tombstones.has(heartbeat.machineId)) return false;
    if (
      !this.machines.has(heartbeat.machineId) &&
      this.tombstones.mayBeTerminated(heartbeat.machineId)
    )
      return false;
    // Only under our own token it can't be a late copy from before this term: an older one proves
    // neither that the machine is alive nor that it exists. Its answer raises the token, and the
    // worker reports again at once.
    const own = heartbeat.term === this.term;
    if (!own && !this.machines.has(heartbeat.machineId)) return false;
    const machine = this.ensureMachine(
      heartbeat.machineId,
      heartbeat.type,
      heartbeat.zone,
      heartbeat.spot,
      0,
      now,
    );
    if (
      heartbeat.agentEpoch < machine.agentEpoch ||
      (heartbeat.agentEpoch === machine.agentEpoch && heartbeat.sequence <= machine.lastSequence)
    )
      return false;
    if (heartbeat.agentEpoch > machine.agentEpoch)
      this.beginSession(machine, heartbeat.agentEpoch, now);
    machine.lastSequence = heartbeat.sequence;
    machine.address = heartbeat.address;
    if (!machine.inRoster && !machine.rosterWritePending) this.pendingRosterAdds.add(machine);
    if (own) this.applyOwnReport(machine, heartbeat, beat, now);
    return true;
  }

  /** The machine's lease ran out, and all that it ran has ended. */
  private beginSession(machine: Machine, session: number, now: number): void {
    if (machine.agentEpoch > 0) {
      const lost = this.releaseAll(machine);
      this.logDecision('new session', { machine: machine.id, session, lostTasks: lost });
      // Its reports come, but no answer renewed its lease: it has to show that it hears us.
      this.markUnresponsive(machine, now);
    }
    machine.agentEpoch = session;
    machine.confirmed = false;
  }

  /** A report under our own token: proof that the machine is alive, with the whole list of its tasks. */
  private applyOwnReport(machine: Machine, heartbeat: Heartbeat, beat: boolean, now: number): void {
    machine.lastHeartbeatAt = now;
    machine.missingFromList = false;
    this.recordZoneHeartbeat(machine.zone, now);
    if (machine.upAt === null) {
      machine.upAt = now;
      machine.idleSince = now;
    }
    if (machine.drainReason === 'silent' || machine.drainReason === 'no boot')
      machine.drainReason = null;
    const noticed = heartbeat.preemptionNoticeS !== null && machine.preemptionNoticeUntil === null;
    if (heartbeat.preemptionNoticeS !== null) {
      if (noticed)
        this.logDecision('spot notice', {
          machine: machine.id,
          seconds: heartbeat.preemptionNoticeS,
        });
      machine.preemptionNoticeUntil = now + heartbeat.preemptionNoticeS * 1000;
      this.drain(machine, 'notice');
    }
    // Under an older token commands of an earlier leader might still be executed; from here on the list is whole.
    if (!machine.confirmed) {
      machine.confirmed = true;
      this.inheritedMachines.resolve(machine);
      this.roundDue = true;
    }
    this.reconcileTasks(machine, heartbeat, beat, now);
    if (noticed) this.evacuate(machine, heartbeat.preemptionNoticeS ?? 0, now);
  }

  /**
   * The machine will be taken: what can save does so, and what will hardly
   * finish starts anew elsewhere at once. The rest is left to finish.
   */
  private evacuate(machine: Machine, noticeS: number, now: number): void {
    for (const attempt of machine.attempts.values()) {
      if (attempt.state === 'exited' || attempt.state === 'assigned' || attempt.stopRequest)
        continue;
      const { checkpointIntervalS: checkpointS, checkpointCostS: saveS } = attempt.job.spec;
      const left = this.estimates.remainingS(attempt, now);
      if (checkpointS > 0 && saveS < noticeS && left > noticeS) this.stop(attempt, saveS);
      else if (checkpointS === 0 && left > noticeS * HOPELESS_NOTICE_RATIO) this.stop(attempt, 0);
    }
  }

  /** This leader is late with what it does: reports may have come and lie unread. */
  markLagging(now: number): void {
    this.laggingAt = now;
  }

  /** It was late a moment ago: what can wait for the machines' own reports does. */
  isLagging(now: number): boolean {
    return now - this.laggingAt < this.timing.heartbeatMs * LAGGING_HEARTBEATS;
  }

  /**
   * From when on the machine's silence counts. While a small processor is
   * behind, most of all after a takeover, its reports wait to be read, or it
   * has tried in vain and gone elsewhere: that is not its silence. For longer
   * than its lease nothing excuses it.
   */
  silentSince(machine: Machine): number {
    const excused = Math.min(this.laggingAt, machine.lastHeartbeatAt + this.timing.agentLeaseMs);
    return Math.max(machine.lastHeartbeatAt, excused);
  }

  private recordZoneHeartbeat(zone: string, now: number): void {
    const h = this.zoneLiveness.get(zone);
    if (!h || now - h.last > this.timing.heartbeatMs * 1.5)
      this.zoneLiveness.set(zone, { last: now, since: now });
    else h.last = now;
  }

  /** Brings what is known of the machine's tasks in line with its own list of them. */
  private reconcileTasks(machine: Machine, heartbeat: Heartbeat, beat: boolean, now: number): void {
    const listed = new Set<string>();
    machine.fence = Math.max(machine.fence, heartbeat.fence);
    machine.acknowledgedFence = Math.max(machine.acknowledgedFence, heartbeat.fence);
    const unknownTasks: TaskStatus[] = [];
    for (const task of heartbeat.tasks) {
      const key = attemptKey(task.jobId, task.index, task.attempt);
      listed.add(key);
      const attempt = machine.attempts.get(key) ?? this.adopt(task, machine, now);
      if (attempt) this.applyTaskReport(attempt, task, now);
      else unknownTasks.push(task);
    }
    this.keepStrays(machine, unknownTasks);
    this.releaseUnlisted(machine, listed, beat ? heartbeat.sequence : null, now);
  }

  /** A listed task that is not known here, of a live job; null: there is no such job. */
  private adopt(task: TaskStatus, machine: Machine, now: number): TaskAttempt | null {
    const job = this.jobs.get(task.jobId);
    if (!job || task.index >= job.spec.tasks) return null;
    return this.adoptAttempt(job, task, machine, now);
  }

  private applyTaskReport(attempt: TaskAttempt, task: TaskStatus, now: number): void {
    if (task.state === 'exited') {
      if (attempt.state !== 'exited') this.applyExit(attempt, task, now);
      return;
    }
    if (attempt.state === 'assigned') this.markResponsive(attempt.machine);
    if (task.state === 'running' && attempt.runningSince === null) {
      attempt.runningSince = now;
      attempt.machine.recordImageUse(attempt.job.spec);
    }
    attempt.state = task.state;
  }

  private keepStrays(machine: Machine, unknownTasks: TaskStatus[]): void {
    machine.hasUnknownTasks = unknownTasks.some((task) => task.state !== 'exited');
    if (machine.hasUnknownTasks) this.machinesWithUnknownTasks.add(machine);
    else this.machinesWithUnknownTasks.delete(machine);
    if (unknownTasks.length > 0) this.unknownTasks.set(machine.id, unknownTasks);
    else this.unknownTasks.delete(machine.id);
  }

  /** What its list leaves out has ended or never began. `beatSeq` is null for the report in a command's answer. */
  private releaseUnlisted(
    machine: Machine,
    listed: ReadonlySet<string>,
    beatSeq: number | null,
    now: number,
  ): void {
    let lost = false;
    for (const [key, binding] of machine.attempts) {
      const cutOff =
        binding.directCommandFence !== null &&
        binding.directCommandFence < machine.acknowledgedFence;
      if (cutOff) binding.directCommandFence = null;
      if (listed.has(key)) continue;
      if (binding.state === 'exited') machine.removeAttempt(binding);
      else if (binding.state !== 'assigned') this.release(binding, 0);
      else if (this.releaseUnstarted(binding, cutOff, beatSeq)) lost = true;
    }
    if (lost && ++machine.missedAcknowledgements >= MAX_MISSED_ACKNOWLEDGEMENTS)
      this.markUnresponsive(machine, now);
  }

  /** Releases an unlisted task whose start can't reach the machine any more; true: an answer with it was lost. */
  private releaseUnstarted(attempt: TaskAttempt, cutOff: boolean, beatSeq: number | null): boolean {
    // It left by a direct command alone, which is refused from here on.
    const refused = cutOff && attempt.startSentSequence === null;
    const lost = !refused && beatSeq !== null && isStartLost(attempt, beatSeq);
    if (refused || lost) this.release(attempt, 0);
    return lost;
  }

  /**
   * Something sent to the machine shows no effect although its reports arrive.
   * One loss is ordinary; from the second in a row on it gets no work until it
   * has answered a command: its reports alone would draw ever more starts.
   */
  markUnresponsive(machine: Machine, now: number): void {
    machine.unresponsiveSince ??= now;
  }

  markResponsive(machine: Machine): void {
    machine.missedAcknowledgements = 0;
    this.pendingProbes.delete(machine);
    if (machine.unresponsiveSince === null) return;
    machine.unresponsiveSince = null;
    this.roundDue = true;
  }

  /** A task that an earlier leader started, or that was taken for lost. */
  private adoptAttempt(job: Job, task: TaskStatus, machine: Machine, now: number): TaskAttempt {
    const attempt = this.createAttempt(job, task.index, task.attempt, machine, now);
    // For an exited task this is balanced by the exit that follows at once.
    this.chargeQuota(attempt, 1);
    machine.addAttempt(attempt);
    if (task.state === 'exited') return attempt;
    const other = job.activeAttempts.get(task.index);
    if (other && isUnsent(other)) this.release(other, 0);
    if (job.isDone(task.index) || job.activeAttempts.has(task.index)) this.stop(attempt, 0);
    else job.addAttempt(attempt);
    return attempt;
  }

  private applyExit(attempt: TaskAttempt, task: TaskStatus, now: number): void {
    const { job, machine: m } = attempt;
    this.chargeQuota(attempt, -1);
    m.markExited(attempt);
    attempt.mayBeForgotten = true;
    this.roundDue = true;
    if (!m.busy) m.idleSince = now;
    switch (task.cause) {
      case 'done':
        this.recordSuccess(attempt, now);
        return;
      case 'error':
        this.recordFailure(attempt, now);
        return;
      case 'no_room':
        m.admissionBackoffUntil = now + this.timing.heartbeatMs;
        job.removeAttempt(attempt, 0);
        return;
      case 'unknown':
        job.removeAttempt(attempt, now + this.timing.heartbeatMs);
        return;
      default:
        job.removeAttempt(attempt, 0);
    }
  }

  private recordSuccess(attempt: TaskAttempt, now: number): void {
    const { job, machine: m } = attempt;
    this.estimates.recordDuration(attempt, now);
    job.failedMachines.clear();
    job.failures = 0;
    job.succeeded = true;
    m.failedJobs.clear();
    const other = job.activeAttempts.get(attempt.index);
    const first = job.markDone(attempt.index);
    job.removeAttempt(attempt, 0);
    if (other && other !== attempt) this.stop(other, 0);
    if (!first || job.ended) return;
    attempt.mayBeForgotten = false;
    const chunk = this.bitmaps.chunkOf(attempt.index);
    const waiting = job.unsavedChunks.get(chunk);
    if (waiting) waiting.push(attempt);
    else job.unsavedChunks.set(chunk, [attempt]);
  }

  /** Tells a sick machine, on which several jobs fail, from a faulty job, which fails on several machines. */
  private recordFailure(attempt: TaskAttempt, now: number): void {
    const { job, machine: m } = attempt;
    const { heartbeatMs: reportMs, agentLeaseMs: workerLeaseMs } = this.timing;
    job.failures++;
    job.failedMachines.add(m.id);
    const faulty = !job.succeeded && job.failedMachines.size >= this.policy.failingJobMachines;
    if (faulty) {
      for (const other of this.machines.values()) other.failedJobs.delete(job.spec.id);
      const steps = Math.min(6, job.failedMachines.size - this.policy.failingJobMachines);
      job.backoffUntil = now + Math.min(workerLeaseMs * 1.5, reportMs * 2 ** steps);
      if (job.failures % 8 === 3)
        this.logDecision('job fails everywhere, held back', {
          job: job.spec.id,
          machines: job.failedMachines.size,
        });
    } else {
      m.failedJobs.set(job.spec.id, (m.failedJobs.get(job.spec.id) ?? 0) + 1);
      let failures = 0;
      for (const n of m.failedJobs.values()) failures += n;
      if (
        m.failedJobs.size >= this.policy.quarantineJobs ||
        (failures >= this.policy.quarantineFailures && job.succeeded)
      )
        this.drain(m, 'sick');
    }
    job.removeAttempt(attempt, now + reportMs * 0.5 * Math.min(4, job.failedMachines.size));
  }

  // Orders

  /**
   * Whatever else an answer may order: it renews the lease, so it stops what
   * the report shows of jobs that have ended.
   */
  stopsOfEndedJobs(heartbeat: Heartbeat): TaskCommand[] {
    return stopsOfEndedJobs(heartbeat, this.jobs);
  }

  /** The orders for a machine that has just reported, in the order of their execution. */
  heartbeatCommands(machine: Machine): TaskCommand[] {
    return heartbeatCommands(machine, this.unknownTasks.get(machine.id) ?? []);
  }

  /** The machine answered the command with its report `seq`. */
  applyCommandResult(startedAttempts: TaskAttempt[], executed: boolean, seq: number): void {
    for (const attempt of startedAttempts) {
      // Executed: a copy of it may yet arrive, until the fence has moved on.
      if (executed) attempt.startSentSequence = Math.max(attempt.startSentSequence ?? 0, seq);
      else {
        // Refused for its token or session, and so will every copy be.
        attempt.directCommandFence = null;
        if (isUnsent(attempt)) this.release(attempt, 0);
      }
    }
  }

  // The cloud's list

  /** A whole list, asked for at `askedAt`. */
  applyMachineList(list: ListedMachine[], askedAt: number, now: number): void {
    const seen = new Set<string>();
    for (const entry of list) {
      seen.add(entry.id);
      if (!this.tombstones.has(entry.id)) this.applyListed(entry, now);
    }
    for (const machine of [...this.machines.values()])
      if (!seen.has(machine.id) && machine.lastHeartbeatAt < askedAt)
        this.applyAbsence(machine, askedAt, now);
  }

  private applyListed(entry: ListedMachine, now: number): void {
    const { id, type, zone, spot, ageS } = entry;
    if (entry.state === 'failed') {
      if (!this.machines.has(id)) this.ensureMachine(id, type, zone, spot, ageS, now);
      this.markTerminated(id, 'listed as failed', now);
      return;
    }
    if (!this.machines.has(id))
      this.logDecision('unexpected machine adopted', { machine: id, type, zone });
    const machine = this.ensureMachine(id, type, zone, spot, ageS, now);
    machine.missingFromList = false;
    if (entry.address) machine.address = entry.address;
    if (entry.state === 'running' && machine.upAt === null) {
      machine.upAt = now;
      machine.lastHeartbeatAt = now;
      machine.idleSince = now;
    }
  }

  /** A list that was asked for after the machine was last heard does not show it. */
  private applyAbsence(machine: Machine, askedAt: number, now: number): void {
    const missedMs = this.timing.heartbeatMs * MISSED_HEARTBEATS;
    const silentMs = askedAt - machine.lastHeartbeatAt;
    // What is listed stays listed until it is gone, and by now this one would have been listed.
    if (askedAt > machine.knownAt + this.timing.listProofMs)
      this.markTerminated(machine.id, 'absent from the list', now);
    // A young one may be up before the list shows it, and what was heard until the asking counts:
    // the answer may have waited while we stood still.
    else if (machine.inRoster && (machine.inherited || silentMs > missedMs))
      machine.missingFromList = true;
  }
}

/** The answer that carried the start was dropped: the worker sends one report at a time and drops late answers. */
function isStartLost(attempt: TaskAttempt, seq: number): boolean {
  return (
    attempt.startSentSequence !== null &&
    seq > attempt.startSentSequence &&
    attempt.directCommandFence === null
  );
}
