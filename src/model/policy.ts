/** Figures and aims that the core decides by, taken from the settings and the operators' properties. */

/** Figures of the settings that the core needs, in milliseconds. */
export interface CoreTiming {
  reportMs: number;
  workerLeaseMs: number;
  listProofMs: number;
  silentMs: number;
}

export interface CorePolicy {
  weights: { throughput: number; cost: number; locality: number };
  waitSpread: number;
  spread: number;
  smoothBoots: number;
  drainBoots: number;
  idleBoots: number;
  bootPatience: number;
  backoffBoots: number;
  sickJobs: number;
  sickFailures: number;
  faultyMachines: number;
  machineStarts: number;
}

/** A class's aims, from the settings' objectives. */
export interface ClassAims {
  /** Tasks should start within each of these. */
  waits: number[];
  /** Jobs should be done within each of these. */
  finishes: number[];
  /** Jobs should be done within each of these multiples of their deadline. */
  deadlines: number[];
}

export interface Aims {
  classes: Map<string, ClassAims>;
  /** Work within its team's guarantee should start within this. */
  guaranteeS: number | null;
}

/** What tasks take of a team's limit or of machines. */
export interface Use {
  cpus: number;
  gpus: number;
}
