/**
 * A live job apart from its task attempts: its tasks' states, its
 * dependencies, its urgency and what of it is durable. `Job` in task-attempt
 * adds the attempts.
 */

import type { JobSpec } from '../../model/job.js';
import { type EffectiveDeadline, ownDeadline } from './effective-deadline.js';
import { TaskStates } from './task-states.js';

/** What the leader knows of a live job beside its attempts. */
export class JobState {
  protected readonly taskStates: TaskStates;

  // Failures

  /** A task of it has succeeded under this leader. */
  succeeded = false;
  /** Tasks that failed since the job's last success. */
  failures = 0;
  /** Machines on which a task failed since the job's last success. */
  readonly failedMachines = new Set<string>();
  /** A job that fails on several machines starts no task before this time. */
  backoffUntil = 0;

  // Durability

  /** Cancelled or moved to the ended jobs: nothing of it may start. */
  ended = false;
  /**
   * By chunk of the bitmap, the version of its key in the state service, for
   * all chunks that may exist there; 0: not written yet; null: a write of it
   * had no answer, so that the version has to be read.
   */
  readonly chunkVersions = new Map<number, number | null>();
  /** Further keys of it in the state service, which are only read and are deleted when it ends. */
  readonly ownedKeys: string[] = [];

  // Dependencies

  /** Ids of jobs that have to be done before a task of this one starts. */
  readonly pendingDependencies = new Set<string>();
  /** Some ids of its dependencies are in further records, which have not been read. */
  dependenciesUnread = false;
  /** A dependency of it, direct or not, was cancelled: this job will be cancelled too. */
  dependencyCancelled = false;
  /** Time of day from which its waiting time counts: its acceptance, or the end of its last dependency. */
  eligibleAt: number;

  // Urgency

  /** Index into PRIORITIES: the highest priority of its own and of all jobs that depend on it. */
  priority: number;
  /** The deadline that leaves it the least time: its own, or one of a job that depends on it. */
  effectiveDeadline: EffectiveDeadline | null;
  /**
   * When it arrived, it fitted its team's guaranteed quota together with the
   * team's earlier unfinished jobs. Not judged again: as those end, every job
   * would come to fit in its turn, and the oldest work of all teams would go
   * before, and preempt, what can still be in time.
   */
  withinGuarantee: boolean | null = null;

  constructor(
    readonly spec: JobSpec,
    /** Version of its key: the order of arrival. */
    readonly version: number,
    /** Time of day of its acceptance, in milliseconds. */
    readonly acceptedAt: number,
    /** Accepted before this leader's term: an earlier leader may have started tasks of it. */
    readonly inherited: boolean,
  ) {
    this.taskStates = new TaskStates(spec.tasks);
    this.eligibleAt = acceptedAt;
    this.priority = spec.priority;
    this.effectiveDeadline = ownDeadline(this);
  }

  /** Sets priority and deadline back to what the job's own user asked for. */
  resetUrgency(): void {
    this.priority = this.spec.priority;
    this.effectiveDeadline = ownDeadline(this);
  }

  /** Not all of its dependencies are done: nothing of it may start, and it counts as no demand. */
  get awaitsDependencies(): boolean {
    return this.dependencyCancelled || this.dependenciesUnread || this.pendingDependencies.size > 0;
  }

  /** A dependency of it is durably done, since the time of day `at`; null: it is not known since when. */
  dependencyDone(id: string, at: number | null): void {
    this.pendingDependencies.delete(id);
    if (at !== null) this.eligibleAt = Math.max(this.eligibleAt, at);
  }

  /** Tasks that may be placed now. */
  get readyCount(): number {
    return this.taskStates.readyCount;
  }

  /** Tasks that are done, durably or not. */
  get doneCount(): number {
    return this.taskStates.doneCount;
  }

  /** Tasks that wait for the end of a delay. */
  get backedOffCount(): number {
    return this.taskStates.backedOffCount;
  }

  /** A task of it has been started at some time. */
  get started(): boolean {
    return this.taskStates.started;
  }

  /** All tasks are done; whether that is durable is another matter. */
  get isComplete(): boolean {
    return this.taskStates.isComplete;
  }

  /** Whether the task is done. */
  isDone(index: number): boolean {
    return this.taskStates.isDone(index);
  }

  /** The index of the next ready task, which the caller has to assign; null when there is none. */
  takeReadyTask(): number | null {
    return this.taskStates.takeReady();
  }

  /** The task is done. True when it was not known as done before. */
  markDone(index: number): boolean {
    return this.taskStates.markDone(index);
  }

  /** Makes tasks ready whose delay has ended. */
  releaseBackedOff(now: number): void {
    this.taskStates.releaseBackedOff(now);
  }

  /** The bitmap of the finished tasks in a chunk, the lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    return this.taskStates.chunkBits(chunk, tasksPerChunk);
  }

  /** Takes over a bitmap that an earlier leader wrote, whose first bit stands for `firstTask`. */
  loadBits(firstTask: number, bits: Uint8Array): void {
    this.taskStates.loadBits(firstTask, bits);
  }
}
