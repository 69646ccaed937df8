/** The scheduler's nouns, in the field's terms. No I/O, no clock. */

export const PRIORITIES = ['critical', 'urgent', 'standard', 'low'] as const;
/** Index into RANKS: a smaller number is a higher priority. */
type JobPriority = number;

export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  priority: JobPriority;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  singleZone: boolean;
  zoneAntiAffinity: boolean;
  allowsSpot: boolean;
  estimatedDurationS: number;
  checkpointIntervalS: number;
  checkpointCostS: number;
  deadlineS: number | null;
}

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  imageCacheGb: number;
  imagePullGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface TeamQuota {
  name: string;
  guaranteedCpus: number;
  guaranteedGpus: number;
  /** 0: no limit. */
  maxCpus: number;
  maxGpus: number;
}

export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskStatus {
  jobId: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Heartbeat {
  machineId: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  sequence: number;
  /** The highest token that the machine has seen: a leader's term and, within it, the machine's fence. */
  term: number;
  fence: number;
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}

export type TaskCommand =
  | { op: 'start'; job: string; index: number; attempt: number }
  | { op: 'stop'; job: string; index: number; attempt: number; graceS: number }
  | { op: 'forget'; job: string; index: number; attempt: number };

export interface ListedMachine {
  id: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  state: 'booting' | 'running' | 'failed';
  ageS: number;
}

/** A machine that may have been given tasks, as the durable roster keeps it. */
export interface RosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

/** Whether one task of the job can ever run on a machine of the type. */
export function canRunOnType(job: JobSpec, type: MachineType): boolean {
  return (
    (job.machineTypes === null || job.machineTypes.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + EPSILON &&
    job.gpus <= type.gpus + EPSILON &&
    job.memoryGb <= type.memoryGb + EPSILON &&
    job.imageGb <= type.imageCacheGb + EPSILON
  );
}

/** Sums of decimal amounts are compared with this much slack. */
export const EPSILON = 1e-6;

/** Why the job can never run, or null. */
export function unrunnableReason(
  job: JobSpec,
  teams: Map<string, TeamQuota>,
  types: MachineType[],
): string | null {
  const team = teams.get(job.team);
  if (!team) return 'unknown team';
  if (!types.some((type) => canRunOnType(job, type))) return 'a task fits no allowed machine type';
  if (team.maxCpus > 0 && job.cpus > team.maxCpus + EPSILON) return "over the team's limit";
  if (team.maxGpus > 0 && job.gpus > team.maxGpus + EPSILON) return "over the team's limit";
  return null;
}
