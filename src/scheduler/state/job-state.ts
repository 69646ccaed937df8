/**
 * A live job without its task attempts: the states of its tasks, its
 * dependencies, its urgency and its durable state. `Job` in task-attempt.ts
 * adds the attempts.
 */

import type { JobSpec } from '../../model/job.js';
import { type EffectiveDeadline, ownDeadline } from './effective-deadline.js';
import { TaskStates } from './task-states.js';

/** The leader's view of a live job, except for its attempts. */
export class JobState {
  protected readonly taskStates: TaskStates;

  // Failures

  /** Whether a task of the job has succeeded under this leader. */
  succeeded = false;
  /** Number of tasks that failed since the job's last success. */
  failures = 0;
  /** Ids of machines on which a task failed since the job's last success. */
  readonly failedMachines = new Set<string>();
  /**
   * Time before which no task starts, in milliseconds on the monotonic clock; set
   * when the job fails on several machines.
   */
  backoffUntil = 0;

  // Durability

  /** Whether the job was cancelled or moved to the ended jobs. None of its tasks may start then. */
  ended = false;
  /**
   * Versions of the bitmap chunks' keys in the state service, for all chunks
   * that may exist there. 0 means that the chunk has not been written; null
   * means that a write received no response, so the version has to be read.
   */
  readonly chunkVersions = new Map<number, number | null>();
  /** Further state service keys of the job. They are only read, and deleted when it ends. */
  readonly ownedKeys: string[] = [];

  // Dependencies

  /** Ids of jobs that must be done before a task of this one starts. */
  readonly pendingDependencies = new Set<string>();
  /** Whether some of its dependency ids are in further records that have not been read. */
  dependenciesUnread = false;
  /** Whether a direct or transitive dependency was cancelled. This job will be cancelled too. */
  dependencyCancelled = false;
  /**
   * Wall-clock time in milliseconds from which its waiting time counts: its
   * acceptance, or the end of its last dependency.
   */
  eligibleAt: number;

  // Urgency

  /** Index into PRIORITIES: the highest among its own priority and those of all jobs that depend on it. */
  priority: number;
  /** The deadline that leaves it the least time: its own, or one of a job that depends on it. Null when there is none. */
  effectiveDeadline: EffectiveDeadline | null;
  /**
   * Whether the job, once it waited for no dependencies, fitted its team's
   * guaranteed quota together with the team's earlier live jobs; null until that is
   * determined.
   *
   * It is determined only once. Otherwise every job would fit in turn as earlier
   * ones end, and the oldest work of all teams would go before, and preempt,
   * work that can still be done in time.
   */
  withinGuarantee: boolean | null = null;

  constructor(
    readonly spec: JobSpec,
    /** Version of its key in the state service, which gives the order of arrival. */
    readonly version: number,
    /** Wall-clock time in milliseconds at which it was accepted. */
    readonly acceptedAt: number,
    /** Whether it was accepted before this leader's term, so that an earlier leader may have started its tasks. */
    readonly inherited: boolean,
  ) {
    this.taskStates = new TaskStates(spec.tasks);
    this.eligibleAt = acceptedAt;
    this.priority = spec.priority;
    this.effectiveDeadline = ownDeadline(this);
  }

  /** Whether some of its dependencies are not done. None of its tasks may start then, and it adds no demand. */
  get awaitsDependencies(): boolean {
    return this.dependencyCancelled || this.dependenciesUnread || this.pendingDependencies.size > 0;
  }

  /** Records that a dependency has been durably done since the wall-clock time `at`, which is null when not known. */
  markDependencyDone(id: string, at: number | null): void {
    this.pendingDependencies.delete(id);
    if (at !== null) this.eligibleAt = Math.max(this.eligibleAt, at);
  }

  /** Number of tasks that may be placed now. */
  get readyCount(): number {
    return this.taskStates.readyCount;
  }

  /** Number of tasks that are done, durably or not. */
  get doneCount(): number {
    return this.taskStates.doneCount;
  }

  /** Number of tasks that wait for the end of a delay. */
  get backedOffCount(): number {
    return this.taskStates.backedOffCount;
  }

  /** Whether any of its tasks has ever been assigned or found done. */
  get started(): boolean {
    return this.taskStates.started;
  }

  /** Whether all tasks are done, durably or not. */
  get isComplete(): boolean {
    return this.taskStates.isComplete;
  }

  /** Reports whether the task is done, durably or not. */
  isDone(index: number): boolean {
    return this.taskStates.isDone(index);
  }

  /** Removes the next ready task from the queue and returns its index, or null when there is none. The caller must assign it. */
  popReadyTask(): number | null {
    return this.taskStates.popReady();
  }

  /** Marks the task as done. Returns true when it was not known to be done before. */
  markDone(index: number): boolean {
    return this.taskStates.markDone(index);
  }

  /** Makes the tasks ready whose delay has ended. */
  releaseBackedOff(now: number): void {
    this.taskStates.releaseBackedOff(now);
  }

  /** Returns the bitmap of the finished tasks in a chunk, the lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    return this.taskStates.chunkBits(chunk, tasksPerChunk);
  }

  /** Marks as done the tasks in a bitmap that an earlier leader wrote. Its first bit represents `firstTask`. */
  loadBits(firstTask: number, bits: Uint8Array): void {
    this.taskStates.loadBits(firstTask, bits);
  }
}
