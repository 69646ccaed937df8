/**
 * The preempt step: which tasks are stopped for a batch that found no machine.
 * A plan is data; applying it stops its victims and reserves what they free.
 */
import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine, TaskAttempt } from '../state/task-attempt.js';
import { addReservation } from './reservations.js';

/**
 * The shares of the objective on waiting, and of that on guaranteed work, that
 * pass before others are preempted (docs/design.md, "What was changed, and why").
 */
const PRIORITY_PATIENCE = 0.2;
const GUARANTEE_PATIENCE = 0.6;
/** Heartbeat intervals that pass before others are preempted for a class without an objective on waiting. */
const DEFAULT_PATIENCE_HEARTBEATS = 2;
/**
 * Heartbeat intervals, beside the time to checkpoint, within which preempted
 * tasks have ended and the tasks that they were stopped for are placed
 * (docs/design.md, "Job dependencies"; docs/limits-history.md, "Chains and the upgrade").
 */
const RESERVATION_HEARTBEATS = 3;

/** Amounts of a machine's resources. */
interface Capacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** A task that may be stopped. */
interface Victim {
  attempt: TaskAttempt;
  /** CPU seconds of work that would be lost. */
  loss: number;
}

/** What may be preempted on a machine. */
interface PreemptionCandidate {
  machine: Machine;
  /** What is free without it. */
  free: Capacity;
  /** The least loss first. */
  victims: Victim[];
}

/** Which work a batch may preempt by now. */
interface PreemptionScope {
  /** Work of lower priority. */
  lowerPriority: boolean;
  /** Work of the same priority that other teams run beyond their guaranteed quota. */
  samePriority: boolean;
}

/** Victims on one machine that together free slots for whole tasks of the batch. */
export interface Preemption {
  machine: Machine;
  victims: Victim[];
  /** Tasks of the batch that get what the victims free. */
  slots: number;
  /** Until when the slots stay reserved, on the leader's clock. */
  reservedUntil: number;
}

/**
 * Plans the preemptions of one round. Keeps what the round has nominated of
 * each machine for batches that wait, so that no two of them count on the same.
 */
export class PreemptionPlanner {
  private readonly nominated = new Map<Machine, Capacity>();

  constructor(
    private readonly cluster: ClusterState,
    private readonly machines: Machine[],
    private readonly now: number,
  ) {}

  /**
   * What to preempt for `unplaced` tasks of the batch: work of lower priority
   * or, for a team within its guarantee, what another team runs beyond its own.
   * What is being freed already is counted first, then come the machines where
   * the least work is lost.
   */
  plan(batch: Batch, unplaced: number): Preemption[] {
    const scope = this.scopeOf(batch);
    if (!scope.lowerPriority && !scope.samePriority) return [];
    const plan: Preemption[] = [];
    const candidates: PreemptionCandidate[] = [];
    let needed = unplaced;
    for (const machine of this.machines) {
      if (!machine.type || !satisfiesConstraints(machine, batch.spec)) continue;
      const nominated = this.nominatedOn(machine);
      const free = freeCapacity(machine, machine.type, nominated);
      const victims = this.victimsOn(batch, machine, free, scope);
      needed -= nominateFree(batch.spec, free, nominated, needed);
      if (victims.length === 0) continue;
      victims.sort((a, b) => a.loss - b.loss);
      candidates.push({ machine, free, victims });
    }
    candidates.sort((a, b) => (a.victims[0]?.loss ?? 0) - (b.victims[0]?.loss ?? 0));
    for (const candidate of candidates) {
      if (needed <= 0) break;
      needed -= this.planOn(batch, candidate, needed, plan);
    }
    return plan;
  }

  /** Others are preempted only once the batch has waited for a while: most capacity comes free by itself. */
  private scopeOf(batch: Batch): PreemptionScope {
    const { cluster, now } = this;
    const age = batch.jobs[0] ? cluster.ageMs(batch.jobs[0], now) : 0;
    return {
      lowerPriority: age >= priorityPatienceMs(cluster, batch.spec),
      samePriority: batch.withinGuarantee && age >= guaranteePatienceMs(cluster, batch.spec),
    };
  }

  private nominatedOn(machine: Machine): Capacity {
    const nominated = this.nominated.get(machine) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    this.nominated.set(machine, nominated);
    return nominated;
  }

  /** The tasks on the machine that may be stopped for the batch; what is being stopped already is added to `free`. */
  private victimsOn(
    batch: Batch,
    machine: Machine,
    free: Capacity,
    scope: PreemptionScope,
  ): Victim[] {
    const victims: Victim[] = [];
    for (const attempt of machine.attempts.values()) {
      const { spec } = attempt.job;
      if (attempt.state === 'exited' || attempt.state === 'assigned') continue;
      if (attempt.stopRequest) addCapacity(free, spec, 1);
      else if (isPreemptible(this.cluster, batch, attempt, scope))
        victims.push({
          attempt,
          loss: lostWorkS(attempt, this.now) * Math.max(spec.cpus, EPSILON),
        });
    }
    return victims;
  }

  /**
   * Plans preemptions on one machine for up to `needed` tasks of the batch;
   * returns for how many. Nothing is stopped unless a whole task fits by it:
   * other work would only take what it frees, and the victim would have been
   * stopped for nothing.
   */
  private planOn(
    batch: Batch,
    candidate: PreemptionCandidate,
    needed: number,
    plan: Preemption[],
  ): number {
    const { spec } = batch;
    const { machine, free } = candidate;
    const nominated = this.nominatedOn(machine);
    let freed = 0;
    let victims: Victim[] = [];
    for (const victim of candidate.victims) {
      if (freed >= needed) break;
      victims.push(victim);
      addCapacity(free, victim.attempt.job.spec, 1);
      if (!covers(free, spec)) continue;
      const slots = nominateFree(spec, free, nominated, needed - freed);
      plan.push({ machine, victims, slots, reservedUntil: this.reservedUntil(victims) });
      freed += slots;
      victims = [];
    }
    return freed;
  }

  /** When the victims have ended and what they free should have been used. */
  private reservedUntil(victims: Victim[]): number {
    let longestGraceS = 0;
    for (const { attempt } of victims)
      longestGraceS = Math.max(longestGraceS, checkpointGraceS(attempt.job.spec));
    const { heartbeatMs } = this.cluster.timing;
    return this.now + heartbeatMs * RESERVATION_HEARTBEATS + longestGraceS * 1000;
  }
}

/** Stops the victims of the plan and reserves what they free for the batch. */
export function applyPreemption(cluster: ClusterState, batch: Batch, plan: Preemption[]): void {
  for (const { machine, victims, slots, reservedUntil } of plan) {
    for (const victim of victims) stopVictim(cluster, batch, machine, victim);
    for (let slot = 0; slot < slots; slot++) addReservation(machine, batch, reservedUntil);
  }
}

function stopVictim(cluster: ClusterState, batch: Batch, machine: Machine, victim: Victim): void {
  const { attempt, loss } = victim;
  cluster.stop(attempt, checkpointGraceS(attempt.job.spec));
  cluster.logDecision('task preempted', {
    job: attempt.job.spec.id,
    task: attempt.index,
    machine: machine.id,
    for: batch.jobs[0]?.spec.id,
    lostCpuSeconds: Math.round(loss),
  });
}

/** How long a batch waits before work of lower priority is preempted for it: a share of its objective. */
function priorityPatienceMs(cluster: ClusterState, spec: JobSpec): number {
  const objectiveS = cluster.estimates.startObjectiveS(spec.jobClass);
  return objectiveS !== null
    ? objectiveS * 1000 * PRIORITY_PATIENCE
    : cluster.timing.heartbeatMs * DEFAULT_PATIENCE_HEARTBEATS;
}

/** The same for work of its own priority, which only a guarantee may preempt: it is given longer. */
function guaranteePatienceMs(cluster: ClusterState, spec: JobSpec): number {
  const { guaranteedStartS } = cluster.objectives;
  return guaranteedStartS !== null
    ? guaranteedStartS * 1000 * GUARANTEE_PATIENCE
    : priorityPatienceMs(cluster, spec);
}

function covers(capacity: Capacity, spec: JobSpec): boolean {
  return (
    capacity.cpus + EPSILON >= spec.cpus &&
    capacity.gpus + EPSILON >= spec.gpus &&
    capacity.memoryGb + EPSILON >= spec.memoryGb
  );
}

/** Adds what one task takes (`sign` 1), or subtracts it (-1). */
function addCapacity(capacity: Capacity, spec: JobSpec, sign: 1 | -1): void {
  capacity.cpus += sign * spec.cpus;
  capacity.gpus += sign * spec.gpus;
  capacity.memoryGb += sign * spec.memoryGb;
}

/** What no task uses and is not nominated yet. */
function freeCapacity(machine: Machine, type: MachineType, nominated: Capacity): Capacity {
  return {
    cpus: type.cpus - machine.usedCpus - nominated.cpus,
    gpus: type.gpus - machine.usedGpus - nominated.gpus,
    memoryGb: type.memoryGb - machine.usedMemoryGb - nominated.memoryGb,
  };
}

/** Nominates free capacity for up to `most` tasks; returns for how many there was enough. */
function nominateFree(spec: JobSpec, free: Capacity, nominated: Capacity, most: number): number {
  let slots = 0;
  while (slots < most && covers(free, spec)) {
    slots++;
    addCapacity(free, spec, -1);
    addCapacity(nominated, spec, 1);
  }
  return slots;
}

function isPreemptible(
  cluster: ClusterState,
  batch: Batch,
  attempt: TaskAttempt,
  scope: PreemptionScope,
): boolean {
  if (attempt.exemptFromPreemption) return false;
  if (attempt.job.priority > batch.priority) return scope.lowerPriority;
  if (!scope.samePriority || attempt.job.spec.team === batch.spec.team) return false;
  return !attempt.job.withinGuarantee && isBeyondGuarantee(cluster, attempt);
}

/** Whether the attempt's team would still use all of its guaranteed quota without it. */
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

/** Seconds of work that stopping the task now would lose. */
function lostWorkS(attempt: TaskAttempt, now: number): number {
  if (attempt.runningSince === null) return 0;
  const { checkpointIntervalS, checkpointCostS } = attempt.job.spec;
  return checkpointIntervalS > 0 ? checkpointCostS : (now - attempt.runningSince) / 1000;
}

/** How long the task may take to checkpoint before it ends, in seconds; 0 when it takes none. */
function checkpointGraceS(spec: JobSpec): number {
  return spec.checkpointIntervalS > 0 ? spec.checkpointCostS : 0;
}
