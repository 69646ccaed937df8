/** Parameters of the scheduler's decisions, from the settings and the operators' properties. */

/** Durations from the settings, in milliseconds. */
export interface SchedulerTiming {
  /** Interval between an agent's heartbeats. */
  heartbeatMs: number;
  /** An agent ends its tasks when its lease has not been renewed for this long. */
  agentLeaseMs: number;
  /**
   * A machine that is missing from the cloud's list is proven to be terminated when the
   * list was requested after its last heartbeat and more than this long after the leader
   * first learned of it.
   */
  listProofMs: number;
  /** A machine is considered unreachable when it has sent no heartbeat for longer than this. */
  unreachableAfterMs: number;
}

/** Weights of the terms of a placement's score, each at least 0. */
export interface ScoreWeights {
  /** Weight of the share of a batch that the machine can run now. */
  throughput: number;
  /** Weight of the machine's cost. */
  cost: number;
  /** Weight of a cached image on the machine. */
  locality: number;
}

/**
 * Operators' properties, each at least 0. docs/operations.md explains each key. A boot
 * time is that of the machine type in question, or the longest of all types for demand
 * forecasts and backlogs.
 */
export interface SchedulerPolicy {
  /** `score.*`: the weights of a placement's score. */
  weights: ScoreWeights;
  /**
   * `rent.wait-spread`: spare capacity for work with a start objective, in standard
   * deviations of its demand.
   */
  waitSafetyMargin: number;
  /** `rent.spread`: spare capacity for all other work, in standard deviations of its demand. */
  safetyMargin: number;
  /** `rent.smooth-boots`: time over which the demand forecast is smoothed, in boot times. */
  smoothingBoots: number;
  /**
   * `rent.drain-boots`: boot times, after the first one, within which a backlog should be
   * worked off.
   */
  backlogBoots: number;
  /** `rent.idle-boots`: boot times without work after which an unneeded machine is terminated. */
  idleBoots: number;
  /** `rent.boot-patience`: boot times after which a machine that is not up is terminated. */
  bootTimeoutBoots: number;
  /**
   * `rent.backoff-boots`: first back-off after the cloud provisioned fewer machines than
   * requested, in boot times.
   */
  backoffBoots: number;
  /**
   * `sick.jobs`: number of jobs whose tasks fail in a row on a machine before it is
   * quarantined.
   */
  quarantineJobs: number;
  /**
   * `sick.failures`: number of task failures in a row on a machine before it is
   * quarantined, provided that the job of the last one has had a success.
   */
  quarantineFailures: number;
  /**
   * `job.faulty-machines`: number of machines on which a job must fail, without a success
   * anywhere, before it is backed off.
   */
  failingJobMachines: number;
  /**
   * `round.machine-starts`: limit on the starts of a placement round. Under overload a
   * round over all machines may exceed it.
   */
  roundStartLimit: number;
}

/** Service-level objectives of a class of jobs. */
export interface ClassObjectives {
  /** Times within which tasks should start, in seconds. */
  startWithinS: number[];
  /** Times within which jobs should be done, in seconds. */
  finishWithinS: number[];
  /** Multiples of their deadline within which jobs should be done. */
  deadlineMultiples: number[];
}

/** All service-level objectives in the settings. */
export interface ServiceObjectives {
  /** Objectives by job class. Classes without objectives are absent. */
  classes: Map<string, ClassObjectives>;
  /**
   * Time within which work in its team's guaranteed quota should start, in seconds. Null
   * without such an objective.
   */
  guaranteedStartS: number | null;
}
