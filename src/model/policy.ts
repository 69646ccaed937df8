/** Figures and aims that the core decides by, taken from the settings and the operators' properties. */

/** Figures of the settings that the core needs, in milliseconds. */
export interface SchedulerTiming {
  heartbeatMs: number;
  agentLeaseMs: number;
  listProofMs: number;
  unreachableAfterMs: number;
}

export interface SchedulerPolicy {
  weights: { throughput: number; cost: number; locality: number };
  waitSafetyMargin: number;
  safetyMargin: number;
  smoothingBoots: number;
  backlogBoots: number;
  idleBoots: number;
  bootPatience: number;
  backoffBoots: number;
  quarantineJobs: number;
  quarantineFailures: number;
  failingJobMachines: number;
  startsPerMachine: number;
}

/** A class's aims, from the settings' objectives. */
export interface ClassObjectives {
  /** Tasks should start within each of these. */
  startWithinS: number[];
  /** Jobs should be done within each of these. */
  finishWithinS: number[];
  /** Jobs should be done within each of these multiples of their deadline. */
  deadlineMultiples: number[];
}

export interface ServiceObjectives {
  classes: Map<string, ClassObjectives>;
  /** Work within its team's guarantee should start within this. */
  guaranteedStartS: number | null;
}
