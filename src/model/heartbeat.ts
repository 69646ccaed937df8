/** Heartbeats: the reports of agents on their machines and tasks. */

/** State of a task attempt on its machine. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'exited';

/** Why a task attempt exited. */
export type ExitCause = 'done' | 'stopped' | 'error' | 'no_room' | 'busy' | 'unknown';

/** The status of one task attempt in a heartbeat. */
export interface TaskStatus {
  jobId: string;
  /** Index of the task in its job, from 0. */
  index: number;
  /** Number of the attempt. */
  attempt: number;
  state: TaskState;
  /** Null until the attempt has exited. */
  cause: ExitCause | null;
  /** Whether a checkpoint of the attempt has been saved. */
  saved: boolean;
}

/** A heartbeat: the machine and the complete list of task attempts that its agent knows. */
export interface Heartbeat {
  machineId: string;
  /** Address of the agent, as `host:port`. */
  address: string;
  /** Name of the machine type. */
  type: string;
  zone: string;
  /** Whether the machine is a spot machine. */
  spot: boolean;
  /**
   * Number that rises each time the agent's lease expires or the machine restarts. Tasks
   * of an earlier epoch no longer run.
   */
  agentEpoch: number;
  /** Number that rises with each heartbeat of an epoch. */
  sequence: number;
  /** The leader term of the highest fencing token that the agent has seen. */
  term: number;
  /** The machine's fence in that token, from 0: how often the leader has fenced the machine. */
  fence: number;
  /** Seconds until the cloud preempts the spot machine. Null without a preemption notice. */
  preemptionNoticeS: number | null;
  tasks: TaskStatus[];
}
