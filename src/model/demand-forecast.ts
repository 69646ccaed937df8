/** What work is expected to arrive. */

import type { JobSpec } from './job.js';
import type { ResourceRequest } from './resources.js';

/**
 * The demand that one kind of work is expected to make, from its arrivals,
 * smoothed over a few boot times. It is stored (demand-record), so that the
 * next leader provisions as many machines.
 */
export interface DemandForecast {
  /** The last job of this kind. */
  spec: JobSpec;
  /** Slots in use at a time on average: task-seconds that arrive each second. */
  mean: number;
  /** The variance of that number, which is large, since arrays arrive whole. */
  variance: number;
  /** What a task of this kind takes on average. */
  meanRequest: ResourceRequest;
  /** How long the tasks that run at a time use their slots on average, in seconds. */
  occupancyS: number;
  /** Mean milliseconds between arrivals; null until there were two. */
  arrivalIntervalMs: number | null;
  /** Milliseconds since the last arrival; not a time, since leaders' clocks differ. */
  sinceLastArrivalMs: number;
}
