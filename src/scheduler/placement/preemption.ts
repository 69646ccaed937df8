import { EPSILON, type JobSpec, type MachineType } from '../../model/model.js';
import type { Cluster } from '../state/cluster-state.js';
import type { Binding, Machine } from '../state/machine.js';
import { allowed, reserve } from './feasibility.js';
import type { Batch } from './ready-queue.js';

/** A part of the aim on waiting, or on guarantees, that passes before others are stopped. */
const RANK_PATIENCE = 0.2;
const GUARANTEE_PATIENCE = 0.6;
/** Report intervals within which stopped tasks are gone and what they were stopped for is placed. */
const RESERVED_REPORTS = 3;

export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What may be stopped on a machine, the least loss first, and the room that is there without it. */
interface Offer {
  machine: Machine;
  free: Room;
  victims: Victim[];
}

interface Victim {
  binding: Binding;
  /** CPU seconds of work that would be lost. */
  loss: number;
}

/**
 * How long a batch waits for room before others are stopped for it: a part of
 * what its aims allow. Work of its own rank, which only a guarantee may stop,
 * is given longer: most room comes free by itself.
 */
function patienceMs(cluster: Cluster, spec: JobSpec, sameRank: boolean): number {
  if (sameRank && cluster.aims.guaranteeS !== null)
    return cluster.aims.guaranteeS * 1000 * GUARANTEE_PATIENCE;
  const aim = cluster.estimates.waitAimS(spec.jobClass);
  return aim !== null ? aim * 1000 * RANK_PATIENCE : cluster.timing.reportMs * 2;
}

function covers(room: Room, spec: JobSpec): boolean {
  return (
    room.cpus + EPSILON >= spec.cpus &&
    room.gpus + EPSILON >= spec.gpus &&
    room.memoryGb + EPSILON >= spec.memoryGb
  );
}

function addRoom(room: Room, spec: JobSpec, sign: number): void {
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
  cluster: Cluster,
  batch: Batch,
  left: number,
  machines: Machine[],
  promised: Map<Machine, Room>,
  now: number,
): void {
  const { spec } = batch;
  const age = batch.jobs[0] ? cluster.ageMs(batch.jobs[0], now) : 0;
  const lower = age >= patienceMs(cluster, spec, false);
  const same = batch.guaranteed && age >= patienceMs(cluster, spec, true);
  if (!lower && !same) return;
  let need = left;
  const offers: Offer[] = [];
  for (const machine of machines) {
    if (!machine.type || !allowed(machine, spec)) continue;
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
    need -= makeRoom(cluster, batch, offer, need, promised, now);
  }
}

/** What no task uses and what is not promised yet. */
function freeRoom(machine: Machine, type: MachineType, taken: Room): Room {
  return {
    cpus: type.cpus - machine.cpus - taken.cpus,
    gpus: type.gpus - machine.gpus - taken.gpus,
    memoryGb: type.memoryGb - machine.memoryGb - taken.memoryGb,
  };
}

/** What may be stopped on the machine for the batch; the room of what is being stopped already is added to `free`. */
function victimsOn(
  cluster: Cluster,
  batch: Batch,
  machine: Machine,
  free: Room,
  lower: boolean,
  same: boolean,
  now: number,
): Victim[] {
  const victims: Victim[] = [];
  for (const binding of machine.bindings.values()) {
    const { spec } = binding.job;
    if (binding.state === 'exited' || binding.state === 'assigned') continue;
    if (binding.stop) addRoom(free, spec, 1);
    else if (mayStop(cluster, batch, binding, lower, same))
      victims.push({ binding, loss: lossS(binding, now) * Math.max(spec.cpus, EPSILON) });
  }
  return victims;
}

/** Promises free room to up to `need` tasks; returns for how many there was some. */
function takeFree(spec: JobSpec, free: Room, taken: Room, need: number): number {
  let count = 0;
  while (count < need && covers(free, spec)) {
    count++;
    addRoom(free, spec, -1);
    addRoom(taken, spec, 1);
  }
  return count;
}

/**
 * Stops work on one machine for up to `need` tasks of the batch; returns for
 * how many. Nothing is stopped unless a whole task gets room by it: other
 * work would only take that room again and be stopped for nothing once more.
 */
function makeRoom(
  cluster: Cluster,
  batch: Batch,
  offer: Offer,
  need: number,
  promised: Map<Machine, Room>,
  now: number,
): number {
  const { spec } = batch;
  const { machine, free } = offer;
  let made = 0;
  let chosen: Victim[] = [];
  for (const victim of offer.victims) {
    if (made >= need) break;
    chosen.push(victim);
    addRoom(free, victim.binding.job.spec, 1);
    if (!covers(free, spec)) continue;
    const saveMs = stopAll(cluster, batch, machine, chosen);
    const until = now + cluster.timing.reportMs * RESERVED_REPORTS + saveMs;
    chosen = [];
    while (made < need && covers(free, spec)) {
      made++;
      addRoom(free, spec, -1);
      const taken = promised.get(machine);
      if (taken) addRoom(taken, spec, 1);
      reserve(machine, batch, until);
    }
  }
  return made;
}

/** Stops the tasks; returns how long the longest of them takes to save, in milliseconds. */
function stopAll(cluster: Cluster, batch: Batch, machine: Machine, victims: Victim[]): number {
  let longestSaveS = 0;
  for (const { binding, loss } of victims) {
    const { id, checkpointS, saveS } = binding.job.spec;
    const graceS = checkpointS > 0 ? saveS : 0;
    longestSaveS = Math.max(longestSaveS, graceS);
    cluster.stop(binding, graceS);
    cluster.note('preempted', {
      job: id,
      task: binding.index,
      machine: machine.id,
      for: batch.jobs[0]?.spec.id,
      lostCpuSeconds: Math.round(loss),
    });
  }
  return longestSaveS * 1000;
}

function mayStop(
  cluster: Cluster,
  batch: Batch,
  b: Binding,
  lower: boolean,
  same: boolean,
): boolean {
  const { spec } = b.job;
  if (b.spared) return false;
  if (b.job.rank > batch.rank) return lower;
  if (!same || spec.team === batch.spec.team || b.job.guaranteed) return false;
  const team = cluster.teams.get(spec.team);
  const use = cluster.teamUse.get(spec.team);
  return (
    team !== undefined &&
    use !== undefined &&
    (use.cpus - spec.cpus >= team.cpus - EPSILON ||
      (team.gpus > 0 && use.gpus - spec.gpus >= team.gpus - EPSILON))
  );
}

/** Seconds of work that stopping the task now would lose. */
function lossS(b: Binding, now: number): number {
  if (b.runningSince === null) return 0;
  const ran = (now - b.runningSince) / 1000;
  const { checkpointS, saveS } = b.job.spec;
  return checkpointS > 0 ? saveS : ran;
}
