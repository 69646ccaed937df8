/** The filter step: which machines may take tasks at all, and which of them tasks of a batch. */

import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import { satisfiesConstraints } from '../state/constraints.js';
import type { Machine } from '../state/task-attempt.js';

/** A machine whose latest heartbeat is older than this many intervals gets no new tasks. */
const RECENT_HEARTBEATS = 2;

/**
 * Whether the machine takes new tasks at all: this leader has confirmed it, the
 * durable roster names it, its heartbeats are recent, it obeys commands, runs
 * nothing unknown, and is neither draining nor backed off.
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
    now - machine.lastHeartbeatAt < cluster.timing.heartbeatMs * RECENT_HEARTBEATS
  );
}

/**
 * Whether no reservation on the machine bars the batch. Preempted tasks end one
 * after the other, and what they free piece by piece is enough for small tasks
 * long before it is enough for a large one: the preempted work would take it
 * again and be preempted again, for as long as the large task waits.
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
 * Whether the batch may be placed on the machine as far as its constraints and
 * reservations go. Free slots, quota and zone rules change with each start and
 * are looked at later.
 */
export function isFeasible(machine: Machine, batch: Batch): boolean {
  return satisfiesConstraints(machine, batch.spec) && respectsReservation(machine, batch);
}
