/** What agents report of their machine and its tasks. */

/** State of a task on its machine. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';

/** Why a task exited. */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** One task in a heartbeat. */
export interface TaskStatus {
  jobId: string;
  index: number;
  attempt: number;
  state: TaskState;
  /** Null until it has exited. */
  cause: ExitCause | null;
  /** A checkpoint of it is kept. */
  saved: boolean;
}

/** A heartbeat: the machine and the whole list of the tasks that it knows. */
export interface Heartbeat {
  machineId: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Counts up each time the agent's lease ran out or its machine restarted: nothing of an earlier one runs. */
  agentEpoch: number;
  /** Counts up with each heartbeat of an epoch. */
  sequence: number;
  /** The highest fencing token that the agent has seen: a leader's term and, within it, the machine's fence. */
  term: number;
  fence: number;
  /** Seconds until the cloud takes the spot machine back; null: no notice. */
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}
