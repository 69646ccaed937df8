/**
 * The reserve step: reserves resources of a machine for certain work.
 * `Machine.reservation` keeps capacity that a preemption frees for the batch that
 * preempted. `Machine.reservedForJob` reserves a whole machine for a starving job.
 */

import type { Batch } from '../state/batch.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import { respectsReservation } from './feasibility.js';

/** Reserves capacity that is being freed on the machine for one more task of the batch. */
export function addReservation(machine: Machine, batch: Batch, expiresAt: number): void {
  const { priority, withinGuarantee } = batch;
  const existing = machine.reservation;
  if (existing && existing.priority === priority && existing.withinGuarantee === withinGuarantee) {
    existing.remainingTasks++;
    existing.expiresAt = expiresAt;
  } else machine.reservation = { priority, withinGuarantee, remainingTasks: 1, expiresAt };
}

/**
 * Called when a task of the batch was placed on the machine. A task of the reserved
 * priority uses up one reserved task.
 */
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

/**
 * Called at the start of a round. Releases all machines reserved for starving
 * jobs, which each round selects again, and the expired reservations of
 * preempting batches.
 */
export function releaseExpiredReservations(machines: Machine[], now: number): void {
  for (const machine of machines) {
    machine.reservedForJob = null;
    if (machine.reservation && machine.reservation.expiresAt <= now) machine.reservation = null;
  }
}

/**
 * Returns the least utilized machine that is large enough for a task of the batch,
 * to be reserved so that it accepts no other work until the task fits. Otherwise a
 * task too large for the gaps that smaller tasks leave would wait forever. Returns
 * null if no machine is large enough.
 */
export function findMachineToReserve(batch: Batch, machines: Machine[]): Machine | null {
  let reserved: Machine | null = null;
  for (const machine of machines)
    if (
      machine.type &&
      satisfiesConstraints(machine, batch.spec) &&
      slotsOnType(machine.type, batch.spec) > 0
    )
      if (!reserved || machine.utilization < reserved.utilization) reserved = machine;
  return reserved;
}
