/** The assign step: assigns ready tasks to a machine. */
import type { ResourceUsage } from '../../model/resources.js';
import type { Batch } from '../state/batch.js';
import type { ClusterState } from '../state/cluster-state.js';
import type { Job, Machine, TaskAttempt } from '../state/task-attempt.js';
import { remainingQuotaSlots, remainingZoneSlots } from './remaining-slots.js';
import { consumeReservation } from './reservations.js';

/** The limits of one placement pass, and the attempts that it has started so far. */
export interface PlacementContext {
  readonly cluster: ClusterState;
  /** Milliseconds on the monotonic clock. */
  readonly now: number;
  /** Maximum number of attempts to start. */
  readonly maxStarts: number;
  /**
   * Resources that unconfirmed machines and unknown tasks may use. They count
   * against every team's quota.
   */
  readonly unconfirmedUsage: ResourceUsage;
  readonly started: TaskAttempt[];
}

/**
 * Returns how many of `wanted` tasks of the batch the team's quota and the limit on
 * starts allow.
 */
export function allowedStarts(context: PlacementContext, batch: Batch, wanted: number): number {
  const { cluster, maxStarts, unconfirmedUsage, started } = context;
  return Math.min(
    remainingQuotaSlots(cluster, batch, unconfirmedUsage),
    wanted,
    maxStarts - started.length,
  );
}

/**
 * Assigns up to `maxTasks` ready tasks of `jobs`, in order, to the machine. Returns
 * the number assigned.
 */
export function assignTasks(
  context: PlacementContext,
  batch: Batch,
  jobs: Iterable<Job>,
  machine: Machine,
  maxTasks: number,
): number {
  const { cluster, now, started } = context;
  let assigned = 0;
  for (const job of jobs) {
    // A job that failed on this machine is retried on others until it has failed on
    // `failingJobMachines` machines.
    if (
      job.failedMachines.has(machine.id) &&
      job.failedMachines.size < cluster.policy.failingJobMachines
    )
      continue;
    let slots = Math.min(
      maxTasks - assigned,
      machine.freeSlots(job.spec),
      remainingZoneSlots(job, machine.zone),
    );
    while (slots > 0 && job.readyCount > 0) {
      const index = job.popReadyTask();
      if (index === null) break;
      const attempt = cluster.assign(job, index, machine, now);
      attempt.exemptFromPreemption = batch.starving;
      consumeReservation(machine, batch);
      cluster.unfinishedPreemptionPass?.releaseClaim(machine, job.spec);
      started.push(attempt);
      assigned++;
      slots--;
    }
    // The tasks of all jobs of a batch take the same resources.
    if (assigned >= maxTasks || machine.freeSlots(batch.spec) === 0) break;
  }
  return assigned;
}
