/**
 * The state of the cluster as one leader knows it during its term. Each
 * concern has its own part; this module wires the parts and is what the rest
 * of the scheduler and the leader's routines work with.
 */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { DependencyList, JobEnd, JobSpec } from '../../model/job.js';
import type { ListedMachine, MachineType } from '../../model/machine.js';
import type { SchedulerPolicy, SchedulerTiming, ServiceObjectives } from '../../model/policy.js';
import type { ResourceUsage, TeamQuota } from '../../model/resources.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import { Roster } from '../persistence/roster.js';
import { AgentResponsiveness } from '../reconcile/agent-responsiveness.js';
import { FailureAttribution } from '../reconcile/failure-attribution.js';
import { HeartbeatReconciliation } from '../reconcile/heartbeat-reconciliation.js';
import type { HeartbeatSource } from '../reconcile/heartbeat-source.js';
import { InheritedMachines } from '../reconcile/inherited-machines.js';
import { MachineListReconciliation } from '../reconcile/machine-list-reconciliation.js';
import { MachineTombstones } from '../reconcile/machine-tombstones.js';
import { PreemptionNotices } from '../reconcile/preemption-notices.js';
import { heartbeatCommands, stopsOfEndedJobs } from '../reconcile/task-commands.js';
import { TaskExits } from '../reconcile/task-exits.js';
import { TaskListReconciliation } from '../reconcile/task-list-reconciliation.js';
import { UnknownTasks } from '../reconcile/unknown-tasks.js';
import type { Batch } from './batch.js';
import type { DecisionLogger } from './decision-log.js';
import type { DependencyGraph } from './dependency-graph.js';
import type { Job } from './job.js';
import { JobRegistry } from './job-registry.js';
import { LeaderLag } from './leader-lag.js';
import type { DrainReason, Machine, TaskAttempt } from './machine.js';
import { MachineRegistry } from './machine-registry.js';
import { QuotaUsage } from './quota-usage.js';
import { RoundTrigger } from './round-trigger.js';
import { TaskAttempts } from './task-attempts.js';
import { WorkEstimates } from './work-estimates.js';
import { type ZoneLiveness, ZoneLivenessTracker } from './zone-liveness.js';

/** A terminated machine is remembered for this many times as long as the cloud's list may still show it. */
const TOMBSTONE_LIST_PROOFS = 10;
/** The size of a roster page in bytes, unless the settings say otherwise. */
const DEFAULT_ROSTER_PAGE_BYTES = 4096;

/** What the state of a leader term is made from. */
export interface ClusterOptions {
  /** The leader term: the high part of the fencing tokens and attempt numbers. */
  term: number;
  /** Quotas by team. */
  quotas: Map<string, TeamQuota>;
  timing: SchedulerTiming;
  policy: SchedulerPolicy;
  objectives: ServiceObjectives;
  bitmaps: BitmapLayout;
  logDecision: DecisionLogger;
  /** The most that the members of a roster page may take, in bytes. */
  rosterPageBytes?: number;
}

/**
 * The leader's picture of the cluster: made anew at each failover, dropped
 * when the term ends. Events and the time go in, commands come out; there is
 * no I/O and no clock in it.
 */
export class ClusterState {
  readonly term: number;
  readonly quotas: Map<string, TeamQuota>;
  readonly timing: SchedulerTiming;
  readonly policy: SchedulerPolicy;
  readonly objectives: ServiceObjectives;
  readonly bitmaps: BitmapLayout;
  readonly logDecision: DecisionLogger;

  readonly estimates: WorkEstimates;
  /** Machines of earlier leaders that are neither confirmed nor terminated. */
  readonly inheritedMachines = new InheritedMachines();
  readonly roster: Roster;
  readonly tombstones: MachineTombstones;
  readonly jobRegistry: JobRegistry;
  /** Its `machines` are always read through it, so that a test can count passes over them. */
  readonly machineRegistry: MachineRegistry;

  /** What the last placement round found no machine for, in its order. */
  unplacedBatches: Batch[] = [];
  /** Wall clock less monotonic clock in milliseconds, for the ages of jobs. */
  wallClockOffset = 0;

  private readonly roundTrigger = new RoundTrigger();
  private readonly quota = new QuotaUsage();
  private readonly attempts: TaskAttempts;
  private readonly unknownTasks = new UnknownTasks();
  private readonly responsiveness = new AgentResponsiveness(this.roundTrigger);
  private readonly zones: ZoneLivenessTracker;
  private readonly lag: LeaderLag;
  private readonly heartbeats: HeartbeatReconciliation;
  private readonly machineLists: MachineListReconciliation;

  constructor(options: ClusterOptions) {
    const { term, timing, policy, objectives, bitmaps, logDecision } = options;
    this.term = term;
    this.quotas = options.quotas;
    this.timing = timing;
    this.policy = policy;
    this.objectives = objectives;
    this.bitmaps = bitmaps;
    this.logDecision = logDecision;

    const { roundTrigger, quota, unknownTasks, responsiveness, inheritedMachines } = this;
    const estimates = new WorkEstimates(objectives);
    const roster = new Roster(term, options.rosterPageBytes ?? DEFAULT_ROSTER_PAGE_BYTES);
    const tombstones = new MachineTombstones(timing.listProofMs * TOMBSTONE_LIST_PROOFS);
    const attempts = new TaskAttempts(term, quota, roundTrigger);
    const jobRegistry = new JobRegistry({ attempts, estimates, bitmaps, roundTrigger });
    const machines = new MachineRegistry({
      attempts,
      inheritedMachines,
      unknownTasks,
      responsiveness,
      roster,
      tombstones,
      roundTrigger,
      logDecision,
    });
    const zoneLiveness = new ZoneLivenessTracker(timing.heartbeatMs);
    const failures = new FailureAttribution({ timing, policy, machines, logDecision });
    const exits = new TaskExits({ timing, bitmaps, attempts, estimates, failures });
    const taskLists = new TaskListReconciliation({
      jobs: jobRegistry.jobs,
      attempts,
      exits,
      unknownTasks,
      responsiveness,
    });

    this.estimates = estimates;
    this.roster = roster;
    this.tombstones = tombstones;
    this.attempts = attempts;
    this.jobRegistry = jobRegistry;
    this.machineRegistry = machines;
    this.zones = zoneLiveness;
    this.lag = new LeaderLag(timing);
    this.heartbeats = new HeartbeatReconciliation({
      term,
      machines,
      attempts,
      taskLists,
      preemptionNotices: new PreemptionNotices(machines, attempts, estimates, logDecision),
      responsiveness,
      zoneLiveness,
      roundTrigger,
      logDecision,
    });
    this.machineLists = new MachineListReconciliation(machines, timing, logDecision);
  }

  // Placement rounds

  /** Something happened that may let a task be placed. */
  get roundDue(): boolean {
    return this.roundTrigger.due;
  }

  set roundDue(due: boolean) {
    this.roundTrigger.due = due;
  }

  /** What each team's tasks use of its quota. */
  get quotaUsage(): Map<string, ResourceUsage> {
    return this.quota.byTeam;
  }

  /** Quota that is kept free for the first task of a job that has waited for too long, by team. */
  get reservedQuota(): Map<string, ResourceUsage> {
    return this.quota.reservedByTeam;
  }

  /**
   * What may run on unconfirmed machines and as unknown tasks beyond what is
   * known: it counts against every team's quota until it is cleared up.
   */
  unconfirmedUsage(): ResourceUsage {
    const usage = this.inheritedMachines.capacity(this.machineTypes);
    this.unknownTasks.addUsage(usage);
    return usage;
  }

  // Jobs

  /** The live jobs by id. */
  get jobs(): Map<string, Job> {
    return this.jobRegistry.jobs;
  }

  /** Which jobs wait for which others. */
  get dependencies(): DependencyGraph {
    return this.jobRegistry.dependencies;
  }

  /** Keys of ended jobs in the state service that nobody needs. */
  get obsoleteKeys(): Set<string> {
    return this.jobRegistry.obsoleteKeys;
  }

  /** See JobRegistry.add. */
  addJob(
    spec: JobSpec,
    version: number,
    acceptedAt: number,
    inherited: boolean,
    dependencies?: DependencyList,
  ): Job | null {
    return this.jobRegistry.add(spec, version, acceptedAt, inherited, dependencies);
  }

  /** See JobRegistry.addReadDependencies. */
  addReadDependencies(job: Job, dependencies: readonly string[]): void {
    this.jobRegistry.addReadDependencies(job, dependencies);
  }

  /** See JobRegistry.end. */
  endJob(id: string, end: JobEnd | null): void {
    this.jobRegistry.end(id, end);
  }

  /** See JobRegistry.announceCancellation. */
  announceCancellation(id: string, revision: number): void {
    this.jobRegistry.announceCancellation(id, revision);
  }

  /** See JobRegistry.markCurrent. */
  markJobsCurrent(revision: number): void {
    this.jobRegistry.markCurrent(revision);
  }

  /** Milliseconds for which the job could have run: what counts for all objectives but deadlines. */
  ageMs(job: Job, now: number): number {
    return now + this.wallClockOffset - job.eligibleAt;
  }

  // Machines

  /** Machines that may exist, by id. */
  get machines(): Map<string, Machine> {
    return this.machineRegistry.machines;
  }

  /** The cloud's machine types by name. */
  get machineTypes(): Map<string, MachineType> {
    return this.machineRegistry.types;
  }

  /** Machines that are yet to be written to the durable roster. */
  get pendingRosterAdds(): Set<Machine> {
    return this.machineRegistry.pendingRosterAdds;
  }

  /** Called with each machine whose termination is proven. */
  set onMachineTerminated(listener: (machine: Machine) => void) {
    this.machineRegistry.onTerminated = listener;
  }

  /** See MachineRegistry.updateTypes. */
  updateMachineTypes(types: readonly MachineType[]): void {
    this.machineRegistry.updateTypes(types);
  }

  /** Makes a machine known that was asked for `ageS` seconds ago. */
  ensureMachine(
    id: string,
    type: string,
    zone: string,
    spot: boolean,
    ageS: number,
    now: number,
  ): Machine {
    return this.machineRegistry.register({ id, type, zone, spot, ageS }, now);
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
    this.machineRegistry.inherit({ id, type, zone, spot, address }, now);
  }

  /** See MachineRegistry.markTerminated. */
  markTerminated(id: string, reason: string, now: number): void {
    this.machineRegistry.markTerminated(id, reason, now);
  }

  /** See MachineRegistry.drain. */
  drain(machine: Machine, reason: DrainReason): void {
    this.machineRegistry.drain(machine, reason);
  }

  /** Applies the cloud's whole list of machines that was requested at `requestedAt`. */
  applyMachineList(list: readonly ListedMachine[], requestedAt: number, now: number): void {
    this.machineLists.apply(list, requestedAt, now);
  }

  // Liveness

  /** When each zone sent heartbeats. */
  get zoneLiveness(): Map<string, ZoneLiveness> {
    return this.zones.byZone;
  }

  /** See LeaderLag.markLagging. */
  markLagging(now: number): void {
    this.lag.markLagging(now);
  }

  /** See LeaderLag.isLagging. */
  isLagging(now: number): boolean {
    return this.lag.isLagging(now);
  }

  /** See LeaderLag.silentSince. */
  silentSince(machine: Machine): number {
    return this.lag.silentSince(machine);
  }

  /** Machines that may be unresponsive and are to be probed by an empty command. */
  get pendingProbes(): Set<Machine> {
    return this.responsiveness.pendingProbes;
  }

  /** See AgentResponsiveness.markUnresponsive. */
  markUnresponsive(machine: Machine, now: number): void {
    this.responsiveness.markUnresponsive(machine, now);
  }

  /** See AgentResponsiveness.markResponsive. */
  markResponsive(machine: Machine): void {
    this.responsiveness.markResponsive(machine);
  }

  /** Applies a heartbeat. Returns false when it is older than what is known, or a late copy. */
  applyHeartbeat(heartbeat: Heartbeat, source: HeartbeatSource, now: number): boolean {
    return this.heartbeats.apply(heartbeat, source, now);
  }

  // Task attempts and commands

  /** Machines with commands that have not left. */
  get pendingCommands(): Set<Machine> {
    return this.attempts.pendingCommands;
  }

  /** See TaskAttempts.assign. */
  assign(job: Job, index: number, machine: Machine, now: number): TaskAttempt {
    return this.attempts.assign(job, index, machine, now);
  }

  /** See TaskAttempts.stop. */
  stop(attempt: TaskAttempt, graceS: number): void {
    this.attempts.stop(attempt, graceS);
  }

  /** See TaskAttempts.release. */
  release(attempt: TaskAttempt, until: number): void {
    this.attempts.release(attempt, until);
  }

  /**
   * The least that any answer to the heartbeat has to carry: it renews the
   * agent's lease, so it stops what the heartbeat lists of ended jobs.
   */
  stopsOfEndedJobs(heartbeat: Heartbeat): TaskCommand[] {
    return stopsOfEndedJobs(heartbeat, this.jobs);
  }

  /** The commands for a machine that has just sent a heartbeat, in the order of their execution. */
  heartbeatCommands(machine: Machine): TaskCommand[] {
    return heartbeatCommands(machine, this.unknownTasks.of(machine));
  }

  /** See TaskAttempts.applyCommandResult. */
  applyCommandResult(
    startedAttempts: readonly TaskAttempt[],
    executed: boolean,
    sequence: number,
  ): void {
    this.attempts.applyCommandResult(startedAttempts, executed, sequence);
  }
}
