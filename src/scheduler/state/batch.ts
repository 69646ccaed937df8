/** Batches of interchangeable ready tasks, the unit that a placement round places. */
import type { JobSpec } from '../../model/job.js';
import type { Job } from './task-attempt.js';

/** Equal for batches that can use the same machines, quota and preemptions. */
export type BatchKind = string;

/** Ready tasks of the same image and resource request, in the order of the ready queue. */
export interface Batch {
  spec: JobSpec;
  kind: BatchKind;
  /** Effective priority of its jobs, which may be inherited from a dependent job. */
  priority: number;
  withinGuarantee: boolean;
  /**
   * Binary logarithm of its jobs' cost of waiting (see WorkEstimates.waitingCost),
   * rounded up and bounded from below. At the lower bound if the batch is starving.
   */
  waitingCostLog2: number;
  /** Whether this is the first task of a job that has waited for too long. */
  starving: boolean;
  jobs: Job[];
  /** Number of ready tasks of its jobs. */
  taskCount: number;
}
