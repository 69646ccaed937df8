/** Commands of the leader to an agent, each for one task attempt. */

/** An attempt of a task: attempts rise across leaders and are never used twice. */
interface AttemptReference {
  jobId: string;
  index: number;
  attempt: number;
}

/** Start the attempt. */
export interface StartCommand extends AttemptReference {
  op: 'start';
}

/** Stop the attempt. */
export interface StopCommand extends AttemptReference {
  op: 'stop';
  /** Seconds that it is given to save a checkpoint; 0: it ends at once. */
  graceS: number;
}

/** Forget the exited attempt: what it reported is durable, or need not be. */
export interface ForgetCommand extends AttemptReference {
  op: 'forget';
}

/** A command to an agent, in the answer to its heartbeat or sent directly. */
export type TaskCommand = StartCommand | StopCommand | ForgetCommand;
