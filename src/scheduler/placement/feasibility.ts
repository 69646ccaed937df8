/**
 * The filter step: decides which machines accept tasks, and which of them accept tasks
 * of a batch.
 */

import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/task-attempt.js';

/**
 * A machine whose last heartbeat is older than this many heartbeat intervals gets no
 * new tasks.
 */
const MAX_HEARTBEAT_AGE_INTERVALS = 2;

/**
 * Reports whether the machine accepts new tasks: its type is known, this leader
 * has confirmed it, the durable roster lists it, its heartbeats are recent, its
 * agent responds to commands, it runs no unknown tasks, and it is neither
 * draining nor backed off.
 */
export function acceptsTasks(cluster: ClusterState, machine: Machine, now: number): boolean {
  return (
    machine.confirmed &&
    machine.inRoster &&
    machine.type !== null &&
    machine.drainReason === null &&
    machine.unresponsiveSince === null &&
    !machine.hasUnknownTasks &&
    machine.admissionBackoffUntil <= now &&
    now - machine.lastHeartbeatAt < cluster.timing.heartbeatMs * MAX_HEARTBEAT_AGE_INTERVALS
  );
}

/**
 * Reports whether the machine has no reservation that excludes the batch.
 *
 * Preempted tasks end one at a time, so the capacity they free suffices for small
 * tasks before it suffices for a large one. Without the reservation, the
 * preempted work would be placed there again and preempted again while the large
 * task waits.
 */
export function respectsReservation(machine: Machine, batch: Batch): boolean {
  const { reservation } = machine;
  if (!reservation || batch.starving || batch.priority < reservation.priority) return true;
  return (
    batch.priority === reservation.priority &&
    (batch.withinGuarantee || !reservation.withinGuarantee)
  );
}

/**
 * Reports whether the constraints of the batch and the reservation on the machine
 * allow a placement. Free slots, quota and zone rules change with each start and
 * are checked when tasks are assigned.
 */
export function isFeasible(machine: Machine, batch: Batch): boolean {
  return satisfiesConstraints(machine, batch.spec) && respectsReservation(machine, batch);
}
