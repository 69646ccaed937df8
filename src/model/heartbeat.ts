/** Heartbeats: what agents report of their machine and its tasks. */

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
  /** A checkpoint of it has been saved. */
  saved: boolean;
}

/** A heartbeat: the machine, and the whole list of the task attempts that its agent knows. */
export interface Heartbeat {
  machineId: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  /** Rises each time the agent's lease runs out or its machine restarts: no task of an earlier epoch runs. */
  agentEpoch: number;
  /** Rises with each heartbeat of an epoch. */
  sequence: number;
  /** The highest fencing token that the agent has seen: a leader term and, within it, the machine's fence. */
  term: number;
  fence: number;
  /** Seconds until the cloud takes the spot machine back; null: no notice. */
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}
