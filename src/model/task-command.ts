/** Commands from the leader to an agent, each for one task attempt. */

/** Identifies a task attempt. */
interface AttemptReference {
  jobId: string;
  /** Index of the task in its job, from 0. */
  index: number;
  /** Number of the attempt. Numbers rise, also across leaders, and are never reused. */
  attempt: number;
}

/** Starts the attempt. */
export interface StartCommand extends AttemptReference {
  op: 'start';
}

/** Stops the attempt. */
export interface StopCommand extends AttemptReference {
  op: 'stop';
  /** Seconds that the task has to save a checkpoint. At 0 it ends immediately. */
  graceS: number;
}

/** Lets the agent forget the exited attempt, whose outcome is durable or need not be stored. */
export interface ForgetCommand extends AttemptReference {
  op: 'forget';
}

/** A command to an agent, sent in the response to a heartbeat or directly. */
export type TaskCommand = StartCommand | StopCommand | ForgetCommand;
