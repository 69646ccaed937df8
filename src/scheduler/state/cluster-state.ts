/**
 * The state of the cluster as one leader knows it during its term. Each
 * concern has its own part (see cluster-parts.ts); this facade is what the rest of
 * the scheduler and the leader's routines work with.
 */
import type { Heartbeat } from '../../model/heartbeat.js';
import type { DependencyList, JobEnd, JobSpec } from '../../model/job.js';
import type { ListedMachine, MachineType } from '../../model/machine.js';
import type { SchedulerPolicy, SchedulerTiming, ServiceObjectives } from '../../model/policy.js';
import type { ResourceUsage, TeamQuota } from '../../model/resources.js';
import type { TaskCommand } from '../../model/task-command.js';
import type { BitmapLayout } from '../../records/bitmap-layout.js';
import type { Roster } from '../persistence/roster.js';
import type { AgentResponsiveness } from '../reconcile/agent-responsiveness.js';
import type { HeartbeatReconciliation } from '../reconcile/heartbeat-reconciliation.js';
import type { HeartbeatSource } from '../reconcile/heartbeat-source.js';
import type { InheritedMachines } from '../reconcile/inherited-machines.js';
import type { MachineListReconciliation } from '../reconcile/machine-list-reconciliation.js';
import type { MachineTombstones } from '../reconcile/machine-tombstones.js';
import { heartbeatCommands, stopsOfEndedJobs } from '../reconcile/task-commands.js';
import type { UnknownTasks } from '../reconcile/unknown-tasks.js';
import type { Batch } from './batch.js';
import {
  type ClusterOptions,
  createHeartbeatReconciliation,
  createMachineListReconciliation,
  createStateParts,
} from './cluster-parts.js';
import type { DecisionLogger } from './decision-log.js';
import type { DependencyGraph } from './dependency-graph.js';
import type { JobRegistry } from './job-registry.js';
import type { LeaderLag } from './leader-lag.js';
import type { MachineRegistry } from './machine-registry.js';
import type { DrainReason } from './machine-state.js';
import type { QuotaUsage } from './quota-usage.js';
import type { RoundTrigger } from './round-trigger.js';
import type { Job, Machine, TaskAttempt } from './task-attempt.js';
import type { TaskAttempts } from './task-attempts.js';
import type { WorkEstimates } from './work-estimates.js';
import type { ZoneLiveness, ZoneLivenessTracker } from './zone-liveness.js';

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

  /** The live jobs, and what keeps ended ones from coming back. */
  readonly jobRegistry: JobRegistry;
  /** The machines and their types. Their map is read through it and kept by nobody. */
  readonly machineRegistry: MachineRegistry;
  /** How long work is expected to take. */
  readonly estimates: WorkEstimates;
  /** Machines of earlier leaders that are neither confirmed nor terminated. */
  readonly inheritedMachines: InheritedMachines;

  /** What the last placement round found no machine for, in its order. */
  unplacedBatches: Batch[] = [];
  /** Wall clock less monotonic clock in milliseconds, for the ages of jobs. */
  wallClockOffset = 0;

  private readonly roundTrigger: RoundTrigger;
  private readonly quota: QuotaUsage;
  private readonly attempts: TaskAttempts;
  private readonly unknownTasks: UnknownTasks;
  private readonly responsiveness: AgentResponsiveness;
  private readonly zones: ZoneLivenessTracker;
  private readonly leaderLag: LeaderLag;
  private readonly heartbeats: HeartbeatReconciliation;
  private readonly machineLists: MachineListReconciliation;

  constructor(options: ClusterOptions) {
    this.term = options.term;
    this.quotas = options.quotas;
    this.timing = options.timing;
    this.policy = options.policy;
    this.objectives = options.objectives;
    this.bitmaps = options.bitmaps;
    this.logDecision = options.logDecision;
    const parts = createStateParts(options);
    this.jobRegistry = parts.jobs;
    this.machineRegistry = parts.machines;
    this.estimates = parts.estimates;
    this.inheritedMachines = parts.inheritedMachines;
    this.roundTrigger = parts.roundTrigger;
    this.quota = parts.quota;
    this.attempts = parts.attempts;
    this.unknownTasks = parts.unknownTasks;
    this.responsiveness = parts.responsiveness;
    this.zones = parts.zoneLiveness;
    this.leaderLag = parts.leaderLag;
    this.heartbeats = createHeartbeatReconciliation(options, parts);
    this.machineLists = createMachineListReconciliation(options, parts);
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

  /** The durable list of machines that may have been given tasks. */
  get roster(): Roster {
    return this.machineRegistry.roster;
  }

  /** Machines whose termination is proven. */
  get tombstones(): MachineTombstones {
    return this.machineRegistry.tombstones;
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
    this.leaderLag.markLagging(now);
  }

  /** See LeaderLag.isLagging. */
  isLagging(now: number): boolean {
    return this.leaderLag.isLagging(now);
  }

  /** See LeaderLag.silentSince. */
  silentSince(machine: Machine): number {
    return this.leaderLag.silentSince(machine);
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
