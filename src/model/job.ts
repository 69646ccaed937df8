/** Jobs as users describe them: arrays of tasks of the same kind. */

/** Names of the priorities, the highest first. */
export const PRIORITIES = ['critical', 'urgent', 'standard', 'low'] as const;

/** Index into PRIORITIES: a smaller number is a higher priority. */
export type JobPriority = number;

/** What a user asks for, checked when it is submitted. It never changes once the job is accepted. */
export interface JobSpec {
  id: string;
  /** The kind of work, by which service-level objectives and estimates are kept. */
  jobClass: string;
  team: string;
  priority: JobPriority;
  /** Number of tasks in the array, at least 1; they have the indexes from 0 on. */
  tasks: number;
  /** What one task takes of a machine. */
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** The machine types that its tasks may run on; null: all of them. */
  machineTypes: string[] | null;
  /** The zone that its tasks may run in; null: all of them. */
  zone: string | null;
  /** Zone affinity: all of its running tasks share one zone. */
  singleZone: boolean;
  /** Zone anti-affinity: no zone holds more than half of its tasks. */
  zoneAntiAffinity: boolean;
  /** Its tasks may run on spot machines. */
  allowsSpot: boolean;
  /** The owner's estimate of a task's run, in seconds. */
  estimatedDurationS: number;
  /** A task saves a checkpoint this often, in seconds; 0: it saves none. */
  checkpointIntervalS: number;
  /** What saving a checkpoint takes, in seconds. */
  checkpointCostS: number;
  /** Seconds from the submission by which it should be done; null: no deadline. */
  deadlineS: number | null;
}

/** How a job ended, as its durable record says. */
export interface JobEnd {
  state: 'done' | 'cancelled';
  /** Time of day of the end, in milliseconds; null: its record has none, as for cancellations. */
  at: number | null;
}

/** What a job depends on, as its record says. */
export interface DependencyList {
  /** Ids of jobs that were not done when this one was accepted. */
  ids: readonly string[];
  /** There are more ids, in records that have to be read first. */
  unread: boolean;
  /** Keys of the state service that are deleted when the job ends. */
  keys: readonly string[];
}

/** The dependencies of a job that has none. */
export const NO_DEPENDENCIES: DependencyList = { ids: [], unread: false, keys: [] };
