/** What the scheduler's decisions depend on, taken from the settings and the operators' properties. */

/** Figures of the settings, in milliseconds. */
export interface SchedulerTiming {
  /** Interval of agents' heartbeats. */
  heartbeatMs: number;
  /** An agent whose lease has not been renewed for this long ends its tasks. */
  agentLeaseMs: number;
  /** The cloud's list proves that a machine is terminated when it was requested this long after the machine was last known to exist. */
  listProofMs: number;
  /** A machine without a heartbeat for this long counts as unreachable. */
  unreachableAfterMs: number;
}

/** Weights of the parts of a placement's score. */
export interface ScoreWeights {
  throughput: number;
  cost: number;
  locality: number;
}

/** Operators' properties; docs/operations.md explains each key. */
export interface SchedulerPolicy {
  /** `score.*` */
  weights: ScoreWeights;
  /** `rent.wait-spread`: spare capacity for work with an objective on waiting, in standard deviations of its demand. */
  waitSafetyMargin: number;
  /** `rent.spread`: the same for other work. */
  safetyMargin: number;
  /** `rent.smooth-boots`: memory of the demand forecast, in boot times. */
  smoothingBoots: number;
  /** `rent.drain-boots`: a backlog should be worked off within this many boot times after the first. */
  backlogBoots: number;
  /** `rent.idle-boots`: an unneeded machine is terminated after this many boot times without work. */
  idleBoots: number;
  /** `rent.boot-patience`: a machine that is not up after this many boot times is terminated. */
  bootPatience: number;
  /** `rent.backoff-boots`: first back-off after "no capacity", in boot times. */
  backoffBoots: number;
  /** `sick.jobs`: a machine is quarantined when tasks of this many jobs fail on it in a row. */
  quarantineJobs: number;
  /** `sick.failures`: the same for this many tasks of a job that succeeds elsewhere. */
  quarantineFailures: number;
  /** `job.faulty-machines`: a job that fails on this many machines and has succeeded nowhere backs off. */
  failingJobMachines: number;
  /** `round.machine-starts`: starts that a placement round may make at least. */
  startsPerMachine: number;
}

/** Service-level objectives of a class of jobs. */
export interface ClassObjectives {
  /** Tasks should start within each of these, in seconds. */
  startWithinS: number[];
  /** Jobs should be done within each of these, in seconds. */
  finishWithinS: number[];
  /** Jobs should be done within each of these multiples of their deadline. */
  deadlineMultiples: number[];
}

/** All service-level objectives of the settings. */
export interface ServiceObjectives {
  /** By class; classes without objectives are absent. */
  classes: Map<string, ClassObjectives>;
  /** Work within its team's guaranteed quota should start within this, in seconds; null: no such objective. */
  guaranteedStartS: number | null;
}
