import type { JobSpec } from '../../model/job.js';
import type { MachineType } from '../../model/machine.js';
import { EPSILON } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine, TaskAttempt } from '../state/machine.js';
import { addReservation } from './feasibility.js';

/** A part of the aim on waiting, or on guarantees, that passes before others are stopped. */
const PRIORITY_PATIENCE = 0.2;
const GUARANTEE_PATIENCE = 0.6;
/** Report intervals within which stopped tasks are gone and what they were stopped for is placed. */
const RESERVATION_HEARTBEATS = 3;

export interface FreeCapacity {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What may be stopped on a machine, the least loss first, and the room that is there without it. */
interface PreemptionOption {
  machine: Machine;
  free: FreeCapacity;
  victims: Victim[];
}

interface Victim {
  attempt: TaskAttempt;
  /** CPU seconds of work that would be lost. */
  loss: number;
}

/**
 * How long a batch waits for room before others are stopped for it: a part of
 * what its aims allow. Work of its own rank, which only a guarantee may stop,
 * is given longer: most room comes free by itself.
 */
function patienceMs(cluster: ClusterState, spec: JobSpec, sameRank: boolean): number {
  if (sameRank && cluster.objectives.guaranteedStartS !== null)
    return cluster.objectives.guaranteedStartS * 1000 * GUARANTEE_PATIENCE;
  const aim = cluster.estimates.startObjectiveS(spec.jobClass);
  return aim !== null ? aim * 1000 * PRIORITY_PATIENCE : cluster.timing.heartbeatMs * 2;
}

function covers(room: FreeCapacity, spec: JobSpec): boolean {
  return (
    room.cpus + EPSILON >= spec.cpus &&
    room.gpus + EPSILON >= spec.gpus &&
    room.memoryGb + EPSILON >= spec.memoryGb
  );
}

function addCapacity(room: FreeCapacity, spec: JobSpec, sign: number): void {
  room.cpus += sign * spec.cpus;
  room.gpus += sign * spec.gpus;
  room.memoryGb += sign * spec.memoryGb;
}

/**
 * Makes room for a batch that found none: work of lower rank is stopped, or,
 * for a team within its guarantee, what another team runs beyond its own.
 * Room that is already being made is counted first, then machines where the
 * least is lost come first.
 */
export function preempt(
  cluster: ClusterState,
  batch: Batch,
  left: number,
  machines: Machine[],
  promised: Map<Machine, FreeCapacity>,
  now: number,
): void {
  const { spec } = batch;
  const age = batch.jobs[0] ? cluster.ageMs(batch.jobs[0], now) : 0;
  const lower = age >= patienceMs(cluster, spec, false);
  const same = batch.withinGuarantee && age >= patienceMs(cluster, spec, true);
  if (!lower && !same) return;
  let need = left;
  const offers: PreemptionOption[] = [];
  for (const machine of machines) {
    if (!machine.type || !satisfiesConstraints(machine, spec)) continue;
    const taken = promised.get(machine) ?? { cpus: 0, gpus: 0, memoryGb: 0 };
    promised.set(machine, taken);
    const free = freeRoom(machine, machine.type, taken);
    const victims = victimsOn(cluster, batch, machine, free, lower, same, now);
    need -= takeFree(spec, free, taken, need);
    if (victims.length === 0) continue;
    victims.sort((a, b) => a.loss - b.loss);
    offers.push({ machine, free, victims });
  }
  offers.sort((a, b) => (a.victims[0]?.loss ?? 0) - (b.victims[0]?.loss ?? 0));
  for (const offer of offers) {
    if (need <= 0) return;
    need -= preemptOn(cluster, batch, offer, need, promised, now);
  }
}

/** What no task uses and what is not promised yet. */
function freeRoom(machine: Machine, type: MachineType, taken: FreeCapacity): FreeCapacity {
  return {
    cpus: type.cpus - machine.usedCpus - taken.cpus,
    gpus: type.gpus - machine.usedGpus - taken.gpus,
    memoryGb: type.memoryGb - machine.usedMemoryGb - taken.memoryGb,
  };
}

/** What may be stopped on the machine for the batch; the room of what is being stopped already is added to `free`. */
function victimsOn(
  cluster: ClusterState,
  batch: Batch,
  machine: Machine,
  free: FreeCapacity,
  lower: boolean,
  same: boolean,
  now: number,
): Victim[] {
  const victims: Victim[] = [];
  for (const attempt of machine.attempts.values()) {
    const { spec } = attempt.job;
    if (attempt.state === 'exited' || attempt.state === 'assigned') continue;
    if (attempt.stopRequest) addCapacity(free, spec, 1);
    else if (isPreemptible(cluster, batch, attempt, lower, same))
      victims.push({
        attempt: attempt,
        loss: lostWorkS(attempt, now) * Math.max(spec.cpus, EPSILON),
      });
  }
  return victims;
}

/** Promises free room to up to `need` tasks; returns for how many there was some. */
function takeFree(spec: JobSpec, free: FreeCapacity, taken: FreeCapacity, need: number): number {
  let count = 0;
  while (count < need && covers(free, spec)) {
    count++;
    addCapacity(free, spec, -1);
    addCapacity(taken, spec, 1);
  }
  return count;
}

/**
 * Stops work on one machine for up to `need` tasks of the batch; returns for
 * how many. Nothing is stopped unless a whole task gets room by it: other
 * work would only take that room again and be stopped for nothing once more.
 */
function preemptOn(
  cluster: ClusterState,
  batch: Batch,
  offer: PreemptionOption,
  need: number,
  promised: Map<Machine, FreeCapacity>,
  now: number,
): number {
  const { spec } = batch;
  const { machine, free } = offer;
  let made = 0;
  let chosen: Victim[] = [];
  for (const victim of offer.victims) {
    if (made >= need) break;
    chosen.push(victim);
    addCapacity(free, victim.attempt.job.spec, 1);
    if (!covers(free, spec)) continue;
    const saveMs = stopVictims(cluster, batch, machine, chosen);
    const until = now + cluster.timing.heartbeatMs * RESERVATION_HEARTBEATS + saveMs;
    chosen = [];
    while (made < need && covers(free, spec)) {
      made++;
      addCapacity(free, spec, -1);
      const taken = promised.get(machine);
      if (taken) addCapacity(taken, spec, 1);
      addReservation(machine, batch, until);
    }
  }
  return made;
}

/** Stops the tasks; returns how long the longest of them takes to save, in milliseconds. */
function stopVictims(
  cluster: ClusterState,
  batch: Batch,
  machine: Machine,
  victims: Victim[],
): number {
  let longestSaveS = 0;
  for (const { attempt: binding, loss } of victims) {
    const { id, checkpointIntervalS: checkpointS, checkpointCostS: saveS } = binding.job.spec;
    const graceS = checkpointS > 0 ? saveS : 0;
    longestSaveS = Math.max(longestSaveS, graceS);
    cluster.stop(binding, graceS);
    cluster.logDecision('task preempted', {
      job: id,
      task: binding.index,
      machine: machine.id,
      for: batch.jobs[0]?.spec.id,
      lostCpuSeconds: Math.round(loss),
    });
  }
  return longestSaveS * 1000;
}

function isPreemptible(
  cluster: ClusterState,
  batch: Batch,
  attempt: TaskAttempt,
  lower: boolean,
  same: boolean,
): boolean {
  const { spec } = attempt.job;
  if (attempt.exemptFromPreemption) return false;
  if (attempt.job.priority > batch.priority) return lower;
  if (!same || spec.team === batch.spec.team || attempt.job.withinGuarantee) return false;
  const team = cluster.quotas.get(spec.team);
  const use = cluster.quotaUsage.get(spec.team);
  return (
    team !== undefined &&
    use !== undefined &&
    (use.cpus - spec.cpus >= team.guaranteedCpus - EPSILON ||
      (team.guaranteedGpus > 0 && use.gpus - spec.gpus >= team.guaranteedGpus - EPSILON))
  );
}

/** Seconds of work that stopping the task now would lose. */
function lostWorkS(attempt: TaskAttempt, now: number): number {
  if (attempt.runningSince === null) return 0;
  const ran = (now - attempt.runningSince) / 1000;
  const { checkpointIntervalS: checkpointS, checkpointCostS: saveS } = attempt.job.spec;
  return checkpointS > 0 ? saveS : ran;
}
