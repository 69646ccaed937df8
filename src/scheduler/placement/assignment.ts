/** The assign step: ready tasks become attempts on a machine. */
import type { ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';
import { remainingQuotaSlots, remainingZoneSlots } from './remaining-slots.js';
import { consumeReservation } from './reservations.js';

/** What bounds the starts of one placement, and the attempts that it has started so far. */
export interface Placement {
  readonly cluster: ClusterState;
  readonly now: number;
  /** The most attempts that may be started. */
  readonly limit: number;
  /** What tasks on unconfirmed machines may use of every quota. */
  readonly unconfirmed: ResourceUsage;
  readonly started: TaskAttempt[];
}

/** How many of `wanted` tasks of the batch may start, by the team's quota and the limit on starts. */
export function allowedStarts(placement: Placement, batch: Batch, wanted: number): number {
  const { cluster, limit, unconfirmed, started } = placement;
  return Math.min(remainingQuotaSlots(cluster, batch, unconfirmed), wanted, limit - started.length);
}

/** Assigns up to `most` tasks of the batch's `jobs` to the machine, in their order; returns how many. */
export function assignTasks(
  placement: Placement,
  batch: Batch,
  jobs: Job[],
  machine: Machine,
  most: number,
): number {
  const { cluster, now, started } = placement;
  let assigned = 0;
  for (const job of jobs) {
    // A job that failed here goes elsewhere while there is an elsewhere.
    if (
      job.failedMachines.has(machine.id) &&
      job.failedMachines.size < cluster.policy.failingJobMachines
    )
      continue;
    let slots = Math.min(
      most - assigned,
      machine.freeSlots(job.spec),
      remainingZoneSlots(job, machine.zone),
    );
    while (slots > 0 && job.readyCount > 0) {
      const index = job.takeReadyTask();
      if (index === null) break;
      const attempt = cluster.assign(job, index, machine, now);
      attempt.exemptFromPreemption = batch.starving;
      consumeReservation(machine, batch);
      started.push(attempt);
      assigned++;
      slots--;
    }
    if (assigned >= most) break;
  }
  return assigned;
}
