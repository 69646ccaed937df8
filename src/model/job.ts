/** Jobs as users submit them: arrays of identical tasks. */

/** Names of the priorities, the highest first. */
export const PRIORITIES = ['critical', 'urgent', 'standard', 'low'] as const;

/** Index into `PRIORITIES`. A smaller number is a higher priority. */
export type JobPriority = number;

/**
 * The specification of a job, validated at its submission. It never changes once the job
 * is accepted. Amounts and durations may be fractional; each is from 0 to 1e9.
 */
export interface JobSpec {
  id: string;
  /** Class of the job. Service-level objectives and estimates of durations are kept by class. */
  jobClass: string;
  team: string;
  priority: JobPriority;
  /** Number of tasks, from 1 to 100,000. Their indexes start at 0. */
  tasks: number;
  /** CPU cores that one task takes. */
  cpus: number;
  /** GPUs that one task takes. */
  gpus: number;
  /** Memory that one task takes, in GB. */
  memoryGb: number;
  /** Name of the image that the tasks run. */
  image: string;
  /** Size of the image, in GB. */
  imageGb: number;
  /** Names of the machine types that the tasks may run on. Null when they may run on all. */
  machineTypes: string[] | null;
  /** The zone that the tasks may run in. Null when they may run in all. */
  zone: string | null;
  /** Zone affinity: all running tasks are in one zone. */
  singleZone: boolean;
  /** Zone anti-affinity: no zone runs more than half of the tasks, rounded up. */
  zoneAntiAffinity: boolean;
  /** Whether the tasks may run on spot machines. */
  allowsSpot: boolean;
  /** The user's estimate of the duration of one task, in seconds. */
  estimatedDurationS: number;
  /** Interval at which a task saves checkpoints, in seconds. 0 when it saves none. */
  checkpointIntervalS: number;
  /** Time that saving a checkpoint takes, in seconds. */
  checkpointCostS: number;
  /** Seconds after the submission by which the job should be done. Null without a deadline. */
  deadlineS: number | null;
}

/** How a job ended, according to its durable record. */
export interface JobEnd {
  state: 'done' | 'cancelled';
  /**
   * Wall-clock time of the end, in milliseconds since the epoch. Null when the record has
   * none, as for cancelled jobs.
   */
  at: number | null;
}

/** The dependencies of a job, according to its record. */
export interface DependencyList {
  /**
   * Ids in the record itself: dependencies that were not done when the job was accepted.
   * Not used when `unread` is true, since all ids are then read together.
   */
  ids: readonly string[];
  /** Whether ids are stored outside the record, in pages or a list, and still have to be read. */
  unread: boolean;
  /** Keys in the state service to delete when the job ends. */
  keys: readonly string[];
}

/** The dependency list of a job without dependencies. */
export const NO_DEPENDENCIES: DependencyList = { ids: [], unread: false, keys: [] };
