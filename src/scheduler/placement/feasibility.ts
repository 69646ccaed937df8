import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Machine } from '../state/machine.js';

/** Takes new tasks at all. */
export function acceptsTasks(cluster: ClusterState, machine: Machine, now: number): boolean {
  return (
    machine.confirmed &&
    machine.inRoster &&
    machine.type !== null &&
    machine.drainReason === null &&
    machine.unresponsiveSince === null &&
    !machine.hasUnknownTasks &&
    machine.admissionBackoffUntil <= now &&
    now - machine.lastHeartbeatAt < cluster.timing.heartbeatMs * 2
  );
}

/**
 * Whether the machine's room is free for the batch. Tasks are stopped one
 * after the other, and what they free piece by piece is enough for the small
 * ones that were stopped long before it is enough for a large one: they would
 * take it again and be stopped again, for as long as the large one waits.
 */
export function respectsReservation(machine: Machine, batch: Batch): boolean {
  const { reservation } = machine;
  if (!reservation || batch.starving || batch.priority < reservation.priority) return true;
  return (
    batch.priority === reservation.priority &&
    (batch.withinGuarantee || !reservation.withinGuarantee)
  );
}

/** Keeps room that is being made on the machine for one more task of the batch. */
export function addReservation(machine: Machine, batch: Batch, until: number): void {
  const { priority: rank, withinGuarantee: guaranteed } = batch;
  const old = machine.reservation;
  if (old && old.priority === rank && old.withinGuarantee === guaranteed) {
    old.remainingTasks++;
    old.expiresAt = until;
  } else
    machine.reservation = {
      priority: rank,
      withinGuarantee: guaranteed,
      remainingTasks: 1,
      expiresAt: until,
    };
}

/** A task was placed on the machine: of the same rank, it is what room was reserved for. */
export function consumeReservation(machine: Machine, batch: Batch): void {
  const { reservation } = machine;
  if (
    !reservation ||
    batch.priority !== reservation.priority ||
    !respectsReservation(machine, batch)
  )
    return;
  if (--reservation.remainingTasks <= 0) machine.reservation = null;
}
