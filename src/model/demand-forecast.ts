import type { JobSpec } from './job.js';
import type { ResourceRequest } from './resources.js';

/** What arrives of one kind of work, smoothed over a few boot times. Leaders hand it on. */
export interface DemandForecast {
  /** The last job of this kind. */
  spec: JobSpec;
  /** Tasks that run at once on average: task-seconds arriving each second. */
  mean: number;
  /** The variance of that number: arrays arrive whole. */
  variance: number;
  /** What a task of this kind takes on average. */
  meanRequest: ResourceRequest;
  /** How long the tasks that run at a time hold their slots on average, in seconds. */
  occupancyS: number;
  /** Mean milliseconds between arrivals; null until there were two. */
  arrivalIntervalMs: number | null;
  /** Time since the last arrival; kept as a span, since clocks differ between leaders. */
  sinceLastArrivalMs: number;
}
