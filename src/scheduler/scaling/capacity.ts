/** The capacity of machines that are up, booting or planned, and the allocation of demand to it. */
import type { JobSpec } from '../../model/job.js';
import { type MachineType, machinePoolKey } from '../../model/machine.js';
import type { ResourceRequest } from '../../model/resources.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import type { Demand } from './demand.js';

/**
 * A machine that has been booting for more than this many times its expected boot
 * time may never come up. Normal boots take up to 1.5 times the expected time.
 */
const OVERDUE_BOOT_RATIO = 2;
/** Slots and shares up to this size are rounding errors. */
const NEGLIGIBLE = 1e-9;
/**
 * Bounds on the mean slots of a machine, for tasks larger than the machine and tasks
 * that request nothing.
 */
const MIN_MEAN_SLOTS = 0.1;
const MAX_MEAN_SLOTS = 1e5;

/** A machine that demand is allocated to. */
export interface AvailableCapacity {
  /** Null if the machine is only planned. */
  machine: Machine | null;
  type: MachineType;
  typeName: string;
  zone: string;
  spot: boolean;
  /**
   * Utilization of the machine, 0 to 1. Cached, because computing it in each
   * comparison of the sort took most of a plan's time.
   */
  utilization: number;
  /** Share of the machine to which no demand is allocated yet, 0 to 1. */
  freeShare: number;
}

/**
 * Returns the machines that are up or booting, without draining, unreachable and
 * overdue ones, in the order in which demand is allocated to them. Utilized
 * machines come first, so that machines without demand become empty and can be
 * terminated. Scale-in candidates come last, so that the same machines are left
 * without demand in each plan.
 */
export function availableCapacity(cluster: ClusterState, now: number): AvailableCapacity[] {
  const capacity: AvailableCapacity[] = [];
  for (const machine of cluster.machines.values()) {
    const { type, zone, spot } = machine;
    if (type === null || machine.drainReason !== null) continue;
    if (isUnreachable(machine, cluster, now) || isBootOverdue(machine, type, now)) continue;
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

/**
 * Reports whether the machine has been booting for so long that it may never come
 * up. It then no longer counts as capacity, so that a replacement is provisioned.
 */
function isBootOverdue(machine: Machine, type: MachineType, now: number): boolean {
  return (
    machine.upAt === null && now - machine.provisionedAt > type.bootS * 1000 * OVERDUE_BOOT_RATIO
  );
}

/**
 * Orders spot before on-demand machines, then scale-in candidates last, then by descending
 * utilization, then by id.
 */
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
 * Allocates the demand to the capacity and returns the number of slots that are
 * not covered. Adds each machine that received a part of the demand to `used`.
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
    const allocated = Math.min(uncovered, available.freeShare * slots);
    available.freeShare -= allocated / slots;
    uncovered -= allocated;
    if (available.machine) used.add(available.machine);
  }
  return Math.max(0, uncovered);
}

/** Reports whether any existing or planned machine, when empty, could run a task of the job. */
export function anyCanEverRun(capacity: AvailableCapacity[], spec: JobSpec): boolean {
  return capacity.some((available) => canEverRun(available, spec));
}

function canEverRun(available: AvailableCapacity, spec: JobSpec): boolean {
  return satisfiesConstraints(available, spec) && slotsOnType(available.type, spec) > 0;
}

/**
 * Returns how many tasks of the mean request a machine runs concurrently. The result
 * may be fractional.
 */
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

/** Counts all machines by pool, including draining and unreachable ones. */
export function countMachinesPerPool(cluster: ClusterState): Map<string, number> {
  const counts = new Map<string, number>();
  for (const machine of cluster.machines.values()) {
    const key = machinePoolKey(machine.typeName, machine.zone, machine.spot);
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}
