/** The unit of a placement round: ready tasks that are interchangeable. */
import type { JobSpec } from '../../model/job.js';
import type { Job } from './task-attempt.js';

/** Ready tasks of the same image and resource request, in the order of the ready queue. */
export interface Batch {
  spec: JobSpec;
  /** The effective priority of its jobs, which may be inherited from a job that depends on them. */
  priority: number;
  withinGuarantee: boolean;
  /** What waiting costs its jobs, in steps of a factor of two. */
  costStep: number;
  /** The first task of a job that has waited for too long. */
  starving: boolean;
  jobs: Job[];
  count: number;
}
