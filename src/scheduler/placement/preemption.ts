/**
 * The preempt step: selects tasks to stop for a batch that found no machine.
 * Planning changes nothing. Applying a plan stops its victims and reserves the
 * capacity that they free.
 */
import TinyQueue from 'tinyqueue';
import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON, type ResourceRequest } from '../../model/resources.js';
import type { Batch, BatchKind } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { PreemptionPass } from '../state/preemption-pass.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import { KindFindings } from './batch-kind.js';
import { addReservation } from './reservations.js';

/**
 * Share of the start objective of its class that a batch waits before it preempts
 * work of lower priority (docs/design.md, "What was changed, and why").
 */
const PRIORITY_PREEMPTION_DELAY_SHARE = 0.2;
/**
 * Share of the start objective for guaranteed work that a batch within its team's
 * guarantee waits before it preempts work that is not of lower priority
 * (docs/design.md, "What was changed, and why"). The share is larger than that for
 * work of lower priority, because only the guarantee justifies the preemption.
 */
const GUARANTEE_PREEMPTION_DELAY_SHARE = 0.6;
/**
 * Heartbeat intervals that a batch of a class without a start objective waits before
 * it preempts work of lower priority. The same delay applies to other work if there is
 * no start objective for guaranteed work.
 */
const DEFAULT_PREEMPTION_DELAY_HEARTBEATS = 2;
/**
 * Heartbeat intervals, in addition to the checkpoint time, in which preempted
 * tasks end and the tasks that they were stopped for are placed. Heartbeats carry
 * the stop, the exit and the new start (docs/design.md, "Job dependencies").
 */
const RESERVATION_HEARTBEATS = 3;

/** A task that may be preempted. */
interface Victim {
  attempt: TaskAttempt;
  /** CPU seconds of work that its preemption would lose. */
  lostCpuSeconds: number;
}

/** A machine with tasks that may be preempted. */
interface PreemptionCandidate {
  machine: Machine;
  /** Position of the machine in the round. Of two equally good candidates, the first is taken. */
  position: number;
  /** CPU seconds of work that the preemption of its cheapest victim would lose. */
  lostCpuSeconds: number;
}

function byLostWork(a: PreemptionCandidate, b: PreemptionCandidate): number {
  return a.lostCpuSeconds - b.lostCpuSeconds || a.position - b.position;
}

/** The kinds of work that a batch may preempt now. */
interface PreemptionScope {
  /** Work of lower priority. */
  lowerPriority: boolean;
  /**
   * Work that other teams run in excess of their guaranteed quota, of the same
   * priority as the batch or a higher one.
   */
  beyondGuarantee: boolean;
}

/** Victims on one machine that together free capacity for one or more whole tasks of the batch. */
export interface Preemption {
  machine: Machine;
  victims: Victim[];
  /** Number of tasks of the batch that the freed capacity is reserved for. */
  slots: number;
  /** When the reservation expires, in milliseconds on the monotonic clock. */
  reservedUntil: number;
}

/**
 * Plans the preemptions of one round, which may continue the pass over the waiting
 * batches that an earlier round has begun.
 */
export class PreemptionPlanner {
  /** Number of machines and attempts visited. */
  visits = 0;
  constructor(
    private readonly cluster: ClusterState,
    private readonly machines: Machine[],
    private readonly now: number,
    private readonly findings = new KindFindings(),
    private readonly pass = new PreemptionPass(),
  ) {}

  /** Reports whether the batch has waited long enough to preempt other work. */
  mayPreempt(batch: Batch): boolean {
    const { lowerPriority, beyondGuarantee } = this.scopeOf(batch);
    return lowerPriority || beyondGuarantee;
  }

  /**
   * Plans the preemptions for `unplaced` tasks of the batch. Candidates are work
   * of lower priority and, for a batch within its team's guarantee, work that
   * another team runs in excess of its own guarantee. Capacity that is already
   * being freed is claimed first. The machines follow in ascending order of the
   * work that their first victim loses.
   */
  plan(batch: Batch, unplaced: number): Preemption[] {
    if (!this.mayPreempt(batch)) return [];
    const scope = this.scopeOf(batch);
    const kind = preemptionKind(batch, scope);
    if (this.findings.isWithoutPreemption(kind)) return [];
    const plan: Preemption[] = [];
    const candidates: PreemptionCandidate[] = [];
    let needed = unplaced;
    this.visits += this.machines.length;
    for (const [position, machine] of this.machines.entries()) {
      if (!machine.type || !satisfiesConstraints(machine, batch.spec)) continue;
      const lostCpuSeconds = this.cheapestPreemption(batch, machine, scope);
      needed -= this.claimFree(batch.spec, machine, machine.type, needed);
      if (lostCpuSeconds !== null) candidates.push({ machine, position, lostCpuSeconds });
    }
    const cheapestFirst = new TinyQueue(needed > 0 ? candidates : [], byLostWork);
    for (let next = cheapestFirst.pop(); next && needed > 0; next = cheapestFirst.pop())
      needed -= this.planOnMachine(batch, next.machine, scope, needed, plan);
    if (plan.length > 0) this.findings.clear();
    // Another batch of this kind would find that this one has claimed all it could.
    if (needed > 0) this.findings.recordWithoutPreemption(kind);
    return plan;
  }

  /** Returns what the batch may preempt. It has to wait first, because most capacity becomes free without preemption. */
  private scopeOf(batch: Batch): PreemptionScope {
    const { cluster, now } = this;
    const ageMs = batch.jobs[0] ? cluster.ageMs(batch.jobs[0], now) : 0;
    return {
      lowerPriority: ageMs >= priorityPreemptionDelayMs(cluster, batch.spec),
      beyondGuarantee:
        batch.withinGuarantee && ageMs >= guaranteePreemptionDelayMs(cluster, batch.spec),
    };
  }

  /**
   * Returns the CPU seconds of work that the cheapest preemption on the machine loses;
   * null if the batch may preempt none of its tasks.
   */
  private cheapestPreemption(
    batch: Batch,
    machine: Machine,
    scope: PreemptionScope,
  ): number | null {
    let cheapest: number | null = null;
    this.visits += machine.attempts.size;
    for (const attempt of machine.attempts.values()) {
      if (!this.isVictim(batch, attempt, scope)) continue;
      const lostCpuSeconds = this.lostCpuSeconds(attempt);
      if (cheapest === null || lostCpuSeconds < cheapest) cheapest = lostCpuSeconds;
    }
    return cheapest;
  }

  /** Returns the tasks on the machine that the batch may preempt, in ascending order of the work lost. */
  private collectVictims(batch: Batch, machine: Machine, scope: PreemptionScope): Victim[] {
    const victims: Victim[] = [];
    this.visits += machine.attempts.size;
    for (const attempt of machine.attempts.values())
      if (this.isVictim(batch, attempt, scope))
        victims.push({ attempt, lostCpuSeconds: this.lostCpuSeconds(attempt) });
    return victims.sort((a, b) => a.lostCpuSeconds - b.lostCpuSeconds);
  }

  private isVictim(batch: Batch, attempt: TaskAttempt, scope: PreemptionScope): boolean {
    if (!occupiesMachine(attempt) || attempt.stopRequest) return false;
    return isPreemptible(this.cluster, batch, attempt, scope);
  }

  private lostCpuSeconds(attempt: TaskAttempt): number {
    return lostWorkS(attempt, this.now) * Math.max(attempt.job.spec.cpus, EPSILON);
  }

  /**
   * Claims capacity of the machine that is free, or is being freed, for up to
   * `maxTasks` tasks. Returns the number of tasks that it sufficed for.
   */
  private claimFree(spec: JobSpec, machine: Machine, type: MachineType, maxTasks: number): number {
    if (maxTasks <= 0) return 0;
    const free = this.freeCapacity(machine, type);
    return this.claimFrom(free, spec, machine, maxTasks);
  }

  /** Claims `free` capacity of the machine for up to `maxTasks` tasks and returns their number. */
  private claimFrom(
    free: ResourceRequest,
    spec: JobSpec,
    machine: Machine,
    maxTasks: number,
  ): number {
    const tasks = takeCapacity(free, spec, maxTasks);
    if (tasks > 0) this.pass.claim(machine, spec, tasks);
    return tasks;
  }

  /**
   * Returns the capacity that is not claimed and that no task uses, except for tasks
   * that are being stopped.
   */
  private freeCapacity(machine: Machine, type: MachineType): ResourceRequest {
    const claimed = this.pass.claimedOn(machine);
    const free = {
      cpus: type.cpus - machine.usedCpus - claimed.cpus,
      gpus: type.gpus - machine.usedGpus - claimed.gpus,
      memoryGb: type.memoryGb - machine.usedMemoryGb - claimed.memoryGb,
    };
    for (const attempt of machine.attempts.values())
      if (attempt.stopRequest && occupiesMachine(attempt)) addCapacity(free, attempt.job.spec, 1);
    return free;
  }

  /**
   * Adds preemptions on one machine for up to `needed` tasks of the batch to
   * `plan`, and returns for how many. Selects victims only when a whole task then
   * fits. Otherwise other work would take the freed capacity, and the preemption
   * would be useless.
   */
  private planOnMachine(
    batch: Batch,
    machine: Machine,
    scope: PreemptionScope,
    needed: number,
    plan: Preemption[],
  ): number {
    const { spec } = batch;
    if (!machine.type) return 0;
    const free = this.freeCapacity(machine, machine.type);
    let freed = 0;
    let victims: Victim[] = [];
    for (const victim of this.collectVictims(batch, machine, scope)) {
      if (freed >= needed) break;
      victims.push(victim);
      addCapacity(free, victim.attempt.job.spec, 1);
      if (!covers(free, spec)) continue;
      const slots = this.claimFrom(free, spec, machine, needed - freed);
      plan.push({ machine, victims, slots, reservedUntil: this.reservedUntil(victims) });
      freed += slots;
      victims = [];
    }
    return freed;
  }

  /** Returns the time by which the victims have ended and the freed capacity should be in use. */
  private reservedUntil(victims: Victim[]): number {
    let longestGraceS = 0;
    for (const { attempt } of victims)
      longestGraceS = Math.max(longestGraceS, checkpointGraceS(attempt.job.spec));
    const { heartbeatMs } = this.cluster.timing;
    return this.now + heartbeatMs * RESERVATION_HEARTBEATS + longestGraceS * 1000;
  }
}

/** Returns the kind of the batch together with what it may preempt, which depends on its age. */
function preemptionKind(batch: Batch, scope: PreemptionScope): BatchKind {
  return `${batch.kind}|${scope.lowerPriority}|${scope.beyondGuarantee}`;
}

/** Stops the victims of the plan and reserves the capacity that they free for the batch. */
export function applyPreemption(cluster: ClusterState, batch: Batch, plan: Preemption[]): void {
  for (const { machine, victims, slots, reservedUntil } of plan) {
    for (const victim of victims) stopVictim(cluster, batch, machine, victim);
    for (let slot = 0; slot < slots; slot++) addReservation(machine, batch, reservedUntil);
  }
}

function stopVictim(cluster: ClusterState, batch: Batch, machine: Machine, victim: Victim): void {
  const { attempt, lostCpuSeconds } = victim;
  cluster.stop(attempt, checkpointGraceS(attempt.job.spec));
  cluster.logDecision('task preempted', {
    job: attempt.job.spec.id,
    task: attempt.index,
    machine: machine.id,
    for: batch.jobs[0]?.spec.id,
    lostCpuSeconds: Math.round(lostCpuSeconds),
  });
}

/** Returns how long a batch waits before it preempts work of lower priority. */
function priorityPreemptionDelayMs(cluster: ClusterState, spec: JobSpec): number {
  const objectiveS = cluster.estimates.startObjectiveS(spec.jobClass);
  return objectiveS !== null
    ? objectiveS * 1000 * PRIORITY_PREEMPTION_DELAY_SHARE
    : cluster.timing.heartbeatMs * DEFAULT_PREEMPTION_DELAY_HEARTBEATS;
}

/**
 * Returns how long a batch within its team's guarantee waits before it preempts
 * work that is not of lower priority. Without a start objective for guaranteed work,
 * it waits as long as for work of lower priority.
 */
function guaranteePreemptionDelayMs(cluster: ClusterState, spec: JobSpec): number {
  const { guaranteedStartS } = cluster.objectives;
  return guaranteedStartS !== null
    ? guaranteedStartS * 1000 * GUARANTEE_PREEMPTION_DELAY_SHARE
    : priorityPreemptionDelayMs(cluster, spec);
}

function covers(capacity: ResourceRequest, spec: JobSpec): boolean {
  return (
    capacity.cpus + EPSILON >= spec.cpus &&
    capacity.gpus + EPSILON >= spec.gpus &&
    capacity.memoryGb + EPSILON >= spec.memoryGb
  );
}

/** Adds (`sign` 1) or subtracts (`sign` -1) the resource request of one task. */
function addCapacity(capacity: ResourceRequest, spec: JobSpec, sign: 1 | -1): void {
  capacity.cpus += sign * spec.cpus;
  capacity.gpus += sign * spec.gpus;
  capacity.memoryGb += sign * spec.memoryGb;
}

/** Reports whether the machine has listed the attempt and has not listed its exit. */
function occupiesMachine({ state }: TaskAttempt): boolean {
  return state !== 'exited' && state !== 'assigned';
}

/** Takes free capacity for up to `maxTasks` tasks. Returns the number of tasks that it sufficed for. */
function takeCapacity(free: ResourceRequest, spec: JobSpec, maxTasks: number): number {
  let tasks = 0;
  while (tasks < maxTasks && covers(free, spec)) {
    tasks++;
    addCapacity(free, spec, -1);
  }
  return tasks;
}

/** Reports whether the batch may preempt the attempt now. A larger priority index means a lower priority. */
function isPreemptible(
  cluster: ClusterState,
  batch: Batch,
  attempt: TaskAttempt,
  scope: PreemptionScope,
): boolean {
  if (attempt.exemptFromPreemption) return false;
  if (attempt.job.priority > batch.priority) return scope.lowerPriority;
  if (!scope.beyondGuarantee || attempt.job.spec.team === batch.spec.team) return false;
  return !attempt.job.withinGuarantee && isBeyondGuarantee(cluster, attempt);
}

/**
 * Reports whether the attempt's team would still use all of its guaranteed CPUs or
 * GPUs without the attempt.
 */
function isBeyondGuarantee(cluster: ClusterState, attempt: TaskAttempt): boolean {
  const { spec } = attempt.job;
  const quota = cluster.quotas.get(spec.team);
  const usage = cluster.quotaUsage.get(spec.team);
  return (
    quota !== undefined &&
    usage !== undefined &&
    (usage.cpus - spec.cpus >= quota.guaranteedCpus - EPSILON ||
      (quota.guaranteedGpus > 0 && usage.gpus - spec.gpus >= quota.guaranteedGpus - EPSILON))
  );
}

/** Returns the seconds of work that stopping the task now would lose. */
function lostWorkS(attempt: TaskAttempt, now: number): number {
  if (attempt.runningSince === null) return 0;
  const { checkpointIntervalS, checkpointCostS } = attempt.job.spec;
  return checkpointIntervalS > 0 ? checkpointCostS : (now - attempt.runningSince) / 1000;
}

/**
 * Returns the seconds that a task of the job gets to save a checkpoint before it ends,
 * 0 if it saves none.
 */
function checkpointGraceS(spec: JobSpec): number {
  return spec.checkpointIntervalS > 0 ? spec.checkpointCostS : 0;
}
