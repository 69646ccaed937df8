/**
 * The reserve step: resources of a machine that only certain work may take.
 * `Machine.reservation` keeps what preemption frees for the tasks it was done
 * for; `Machine.reservedForJob` keeps a whole machine for a starving job.
 */

import type { Batch } from '../state/batch.js';
import { satisfiesConstraints } from '../state/constraints.js';
import { slotsOnType } from '../state/machine-state.js';
import type { Machine } from '../state/task-attempt.js';
import { respectsReservation } from './feasibility.js';

/** Reserves resources that are being freed on the machine for one more task of the batch. */
export function addReservation(machine: Machine, batch: Batch, expiresAt: number): void {
  const { priority, withinGuarantee } = batch;
  const present = machine.reservation;
  if (present && present.priority === priority && present.withinGuarantee === withinGuarantee) {
    present.remainingTasks++;
    present.expiresAt = expiresAt;
  } else machine.reservation = { priority, withinGuarantee, remainingTasks: 1, expiresAt };
}

/** A task of the batch was placed on the machine: one of the same priority uses up the reservation. */
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
 * Begins a round: machines reserved for starving jobs are chosen anew in each
 * round, and reservations of preempting batches last until they expire.
 */
export function releaseExpiredReservations(machines: Machine[], now: number): void {
  for (const machine of machines) {
    machine.reservedForJob = null;
    if (machine.reservation && machine.reservation.expiresAt <= now) machine.reservation = null;
  }
}

/**
 * Reserves the least utilized machine that could ever take a task of the batch.
 * A task too large for the gaps that smaller ones leave would wait for ever:
 * this machine takes nothing else until it has enough free. Null: there is none.
 */
export function reserveMachine(batch: Batch, machines: Machine[]): Machine | null {
  let reserved: Machine | null = null;
  for (const machine of machines)
    if (
      machine.type &&
      satisfiesConstraints(machine, batch.spec) &&
      slotsOnType(machine.type, batch.spec) > 0
    )
      if (!reserved || machine.utilization < reserved.utilization) reserved = machine;
  if (reserved) reserved.reservedForJob = batch.jobs[0]?.spec.id ?? null;
  return reserved;
}
