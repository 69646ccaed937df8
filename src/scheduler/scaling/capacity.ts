/** The capacity: machines that are up, booting or planned, and the allocation of demand to them. */
import type { JobSpec } from '../../model/job.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import type { ResourceRequest } from '../../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import type { Demand } from './demand.js';

/** Beyond this many times its usual boot time a machine may never come up: boots take up to one and a half times. */
const LATE_BOOT_RATIO = 2;
/** Slots and shares up to this are rounding errors. */
const NEGLIGIBLE = 1e-9;
/** Bounds on the mean slots of a machine: a task larger than the machine, and one that takes nothing. */
const MIN_MEAN_SLOTS = 0.1;
const MAX_MEAN_SLOTS = 1e5;

/** A machine that demand is allocated to. */
export interface AvailableCapacity {
  /** Null: planned only. */
  machine: Machine | null;
  type: MachineType;
  typeName: string;
  zone: string;
  spot: boolean;
  /** The machine's, kept here: a sort that asked for it at each comparison took most of a plan's time. */
  utilization: number;
  /** The share of the machine that no demand is allocated to yet. */
  freeShare: number;
}

/**
 * The machines that are up or booting. What is in use comes first, so that what
 * is left empty can be terminated; what was left empty before is left again.
 */
export function availableCapacity(cluster: ClusterState, now: number): AvailableCapacity[] {
  const capacity: AvailableCapacity[] = [];
  for (const machine of cluster.machines.values()) {
    const { type, zone, spot } = machine;
    if (type === null || machine.drainReason !== null) continue;
    if (isUnreachable(machine, cluster, now) || isBootLate(machine, type, now)) continue;
    capacity.push({
      machine,
      type,
      typeName: type.name,
      zone,
      spot,
      utilization: machine.utilization,
      freeShare: 1,
    });
  }
  return capacity.sort(byAllocationOrder);
}

function isUnreachable(machine: Machine, cluster: ClusterState, now: number): boolean {
  return machine.upAt !== null && now - machine.lastHeartbeatAt > cluster.timing.unreachableAfterMs;
}

/** Far beyond its time to boot it may never come up: another is provisioned meanwhile. */
function isBootLate(machine: Machine, type: MachineType, now: number): boolean {
  return machine.upAt === null && now - machine.provisionedAt > type.bootS * 1000 * LATE_BOOT_RATIO;
}

/** Spot before ordinary, scale-in candidates last, the most utilized first, then by id. */
function byAllocationOrder(a: AvailableCapacity, b: AvailableCapacity): number {
  if (a.spot !== b.spot) return a.spot ? -1 : 1;
  const candidateA = a.machine?.scaleInCandidate ?? false;
  const candidateB = b.machine?.scaleInCandidate ?? false;
  if (candidateA !== candidateB) return candidateA ? 1 : -1;
  if (a.utilization !== b.utilization) return b.utilization - a.utilization;
  const idA = a.machine?.id ?? '';
  const idB = b.machine?.id ?? '';
  if (idA === idB) return 0;
  return idA < idB ? -1 : 1;
}

/**
 * Allocates the demand to the capacity; returns the slots that are not covered.
 * Adds the machines that some of it was allocated to to `used`.
 */
export function allocate(
  demand: Demand,
  capacity: AvailableCapacity[],
  used: Set<Machine>,
): number {
  let uncovered = demand.slots;
  for (const available of capacity) {
    if (uncovered <= NEGLIGIBLE) break;
    if (available.freeShare <= NEGLIGIBLE || !canEverRun(available, demand.spec)) continue;
    const slots = meanSlots(available.type, demand.meanRequest);
    const taken = Math.min(uncovered, available.freeShare * slots);
    available.freeShare -= taken / slots;
    uncovered -= taken;
    if (available.machine) used.add(available.machine);
  }
  return Math.max(0, uncovered);
}

/** Whether any machine that is there or planned could ever take a task of the job. */
export function anyCanEverRun(capacity: AvailableCapacity[], spec: JobSpec): boolean {
  return capacity.some((available) => canEverRun(available, spec));
}

function canEverRun(available: AvailableCapacity, spec: JobSpec): boolean {
  return satisfiesConstraints(available, spec) && slotsOnType(available.type, spec) > 0;
}

/** How many tasks of the mean request a machine runs at once: a part of one may be left over. */
export function meanSlots(type: MachineType, request: ResourceRequest): number {
  return Math.max(
    MIN_MEAN_SLOTS,
    Math.min(
      MAX_MEAN_SLOTS,
      request.cpus > 0 ? type.cpus / request.cpus : MAX_MEAN_SLOTS,
      request.gpus > 0 ? type.gpus / request.gpus : MAX_MEAN_SLOTS,
      request.memoryGb > 0 ? type.memoryGb / request.memoryGb : MAX_MEAN_SLOTS,
    ),
  );
}

/** Counts all machines by pool, drained and unreachable ones, too. */
export function countMachinesPerPool(cluster: ClusterState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const machine of cluster.machines.values()) {
    const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}
