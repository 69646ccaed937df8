/** Forecasts of the work that will arrive. */

import type { JobSpec } from './job.js';
import type { ResourceRequest } from './resources.js';

/**
 * The expected demand of one kind of work, estimated from its arrivals and smoothed over
 * a few boot times. It is stored (demand-record), so that the next leader provisions the
 * same number of machines.
 */
export interface DemandForecast {
  /** The job of this kind that arrived last. */
  spec: JobSpec;
  /** Mean number of concurrent tasks: the task-seconds of work that arrive each second. */
  mean: number;
  /**
   * Variance of the number of concurrent tasks. It is large, since all tasks of an array
   * arrive concurrently.
   */
  variance: number;
  /** Mean resource request of a task. */
  meanRequest: ResourceRequest;
  /** Mean time for which a task occupies its slot, in seconds, weighted by concurrent tasks. */
  occupancyS: number;
  /** Smoothed mean time between arrivals, in milliseconds. Null while no interval is known. */
  arrivalIntervalMs: number | null;
  /**
   * Milliseconds since the last arrival. A duration, not a time, since the clocks of
   * leaders differ.
   */
  sinceLastArrivalMs: number;
}
