/**
 * The cluster state as known to one leader during its term. Each concern has
 * its own part (see cluster-parts.ts); this facade is the interface for the
 * rest of the scheduler and the leader's routines.
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
import { heartbeatCommands, stopCommandsForEndedJobs } from '../reconcile/task-commands.js';
import type { UnknownTasks } from '../reconcile/unknown-tasks.js';
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
import type { PreemptionPass } from './preemption-pass.js';
import type { QuotaUsage } from './quota-usage.js';
import type { RoundTrigger } from './round-trigger.js';
import type { Job, Machine, TaskAttempt } from './task-attempt.js';
import type { TaskAttempts } from './task-attempts.js';
import { UnplacedBatches } from './unplaced-batches.js';
import type { WorkEstimates } from './work-estimates.js';
import type { ZoneLiveness, ZoneLivenessTracker } from './zone-liveness.js';

/**
 * The leader's view of the cluster, rebuilt at each failover and discarded when
 * the term ends. It takes events and the current time and returns commands. It
 * does no I/O and reads no clock.
 */
export class ClusterState {
  readonly term: number;
  readonly quotas: Map<string, TeamQuota>;
  readonly timing: SchedulerTiming;
  readonly policy: SchedulerPolicy;
  readonly objectives: ServiceObjectives;
  readonly bitmaps: BitmapLayout;
  readonly logDecision: DecisionLogger;

  /** The live jobs. Also keeps outdated watch events from adding ended jobs again. */
  readonly jobRegistry: JobRegistry;
  /** The machines and their types. Other parts read the maps through it and keep no reference to them. */
  readonly machineRegistry: MachineRegistry;
  /** Expected durations of tasks and the cost of waiting. */
  readonly estimates: WorkEstimates;
  /** Machines of earlier leaders that are neither confirmed nor terminated. */
  readonly inheritedMachines: InheritedMachines;

  /** Batches for which the last placement round found no machine, in the order of the ready queue. */
  unplacedBatches = new UnplacedBatches();
  /** The planning of preemptions that the last placement round did not finish; null if it did. */
  unfinishedPreemptionPass: PreemptionPass | null = null;
  /** Wall-clock time minus monotonic time in milliseconds, for the ages of jobs. */
  wallClockOffsetMs = 0;

  private readonly roundTrigger: RoundTrigger;
  private readonly quota: QuotaUsage;
  private readonly attempts: TaskAttempts;
  private readonly unknownTasks: UnknownTasks;
  private readonly responsiveness: AgentResponsiveness;
  private readonly zoneLivenessTracker: ZoneLivenessTracker;
  private readonly leaderLag: LeaderLag;
  private readonly heartbeatReconciliation: HeartbeatReconciliation;
  private readonly machineListReconciliation: MachineListReconciliation;

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
    this.zoneLivenessTracker = parts.zoneLiveness;
    this.leaderLag = parts.leaderLag;
    this.heartbeatReconciliation = createHeartbeatReconciliation(options, parts);
    this.machineListReconciliation = createMachineListReconciliation(options, parts);
  }

  // Placement rounds

  /** Whether an event since the last placement round may allow a task to be placed. */
  get roundDue(): boolean {
    return this.roundTrigger.due;
  }

  set roundDue(due: boolean) {
    this.roundTrigger.due = due;
  }

  /** Resources that each team's tasks use of its quota. */
  get quotaUsage(): Map<string, ResourceUsage> {
    return this.quota.byTeam;
  }

  /** Quota reserved for the first task of a job that has waited for too long, by team. */
  get reservedQuota(): Map<string, ResourceUsage> {
    return this.quota.reservedByTeam;
  }

  /**
   * Returns the most that unconfirmed machines and unknown tasks may use in
   * addition to the known usage. It counts against every team's quota until the
   * machines and tasks are resolved.
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

  /** The dependencies between jobs. */
  get dependencies(): DependencyGraph {
    return this.jobRegistry.dependencies;
  }

  /** State service keys of ended jobs, which are to be deleted. */
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

  /** See JobRegistry.recordAppliedRevision. */
  recordAppliedJobRevision(revision: number): void {
    this.jobRegistry.recordAppliedRevision(revision);
  }

  /** Returns the milliseconds since the job could first have run. All objectives except deadlines count from then. */
  ageMs(job: Job, now: number): number {
    return now + this.wallClockOffsetMs - job.eligibleAt;
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

  /** The durable list of machines that may have been assigned tasks. */
  get roster(): Roster {
    return this.machineRegistry.roster;
  }

  /** Records of machines whose termination is proven. */
  get tombstones(): MachineTombstones {
    return this.machineRegistry.tombstones;
  }

  /** Machines that still have to be written to the durable roster. */
  get pendingRosterAdds(): Set<Machine> {
    return this.machineRegistry.pendingRosterAdds;
  }

  /** Sets the listener that is called with each machine whose termination is proven. */
  set onMachineTerminated(listener: (machine: Machine) => void) {
    this.machineRegistry.onTerminated = listener;
  }

  /** See MachineRegistry.updateTypes. */
  updateMachineTypes(types: readonly MachineType[]): void {
    this.machineRegistry.updateTypes(types);
  }

  /** Registers a machine that was requested `ageS` seconds ago, unless it is registered already. */
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

  /** Registers a machine of the durable roster, to which an earlier leader may have assigned tasks. */
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

  /** Applies the cloud's complete list of machines, which was requested at `requestedAt`. */
  applyMachineList(list: readonly ListedMachine[], requestedAt: number, now: number): void {
    this.machineListReconciliation.apply(list, requestedAt, now);
  }

  // Liveness

  /** Heartbeat times by zone. */
  get zoneLiveness(): Map<string, ZoneLiveness> {
    return this.zoneLivenessTracker.byZone;
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

  /** Unresponsive machines that are to be probed with an empty command. */
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

  /** Applies a heartbeat. Returns false when it is outdated or may be a delayed duplicate. */
  applyHeartbeat(heartbeat: Heartbeat, source: HeartbeatSource, now: number): boolean {
    return this.heartbeatReconciliation.apply(heartbeat, source, now);
  }

  // Task attempts and commands

  /** Machines with commands that have not been sent. */
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
   * Returns the commands that every response to the heartbeat has to carry. A
   * response renews the agent's lease, so it must stop the listed tasks of ended
   * jobs.
   */
  stopsOfEndedJobs(heartbeat: Heartbeat): TaskCommand[] {
    return stopCommandsForEndedJobs(heartbeat, this.jobs);
  }

  /** Returns the commands for a machine that has just sent a heartbeat, in the order of execution. */
  heartbeatCommands(machine: Machine): TaskCommand[] {
    return heartbeatCommands(machine, this.unknownTasks.get(machine));
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
