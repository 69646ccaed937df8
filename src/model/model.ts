/** The scheduler's nouns, in the field's terms. No I/O, no clock. */

export const RANKS = ['critical', 'urgent', 'standard', 'low'] as const;
/** Index into RANKS: a smaller number is a higher priority. */
type Rank = number;

export interface JobSpec {
  id: string;
  jobClass: string;
  team: string;
  rank: Rank;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface Team {
  name: string;
  cpus: number;
  gpus: number;
  /** 0: no limit. */
  cpusMax: number;
  gpusMax: number;
}

export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

export interface TaskReport {
  job: string;
  index: number;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface MachineReport {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  /** The highest token that the machine has seen: a leader's term and, within it, the machine's fence. */
  term: number;
  fence: number;
  noticeS: number | null;
  tasks: TaskReport[];
}

export type Order =
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
export function typeFits(job: JobSpec, type: MachineType): boolean {
  return (
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone)) &&
    job.cpus <= type.cpus + EPSILON &&
    job.gpus <= type.gpus + EPSILON &&
    job.memoryGb <= type.memoryGb + EPSILON &&
    job.imageGb <= type.cacheGb + EPSILON
  );
}

/** Sums of decimal amounts are compared with this much slack. */
export const EPSILON = 1e-6;

/** Why the job can never run, or null. */
export function neverRuns(
  job: JobSpec,
  teams: Map<string, Team>,
  types: MachineType[],
): string | null {
  const team = teams.get(job.team);
  if (!team) return 'unknown team';
  if (!types.some((t) => typeFits(job, t))) return 'a task fits no allowed machine type';
  if (team.cpusMax > 0 && job.cpus > team.cpusMax + EPSILON) return "over the team's limit";
  if (team.gpusMax > 0 && job.gpus > team.gpusMax + EPSILON) return "over the team's limit";
  return null;
}
