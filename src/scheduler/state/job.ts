import type { JobSpec } from '../../model/job.js';
import type { EffectiveDeadline } from './dependency-graph.js';
import type { TaskAttempt } from './machine.js';

const READY = 0;
const ASSIGNED = 1;
const DONE = 2;
const BACKED_OFF = 3;

/** A live job and where each of its tasks stands. */
export class Job {
  /** Tasks on a machine, or possibly on one: each is bound until proven ended. */
  readonly activeAttempts = new Map<number, TaskAttempt>();
  /** Tasks bound in each zone. */
  readonly attemptsByZone = new Map<string, number>();
  /** Machines on which a task failed since the job's last success. */
  readonly failedMachines = new Set<string>();
  /** Bits that changed since the last flush, by chunk, with the exits that wait for them. */
  readonly unsavedChunks = new Map<number, TaskAttempt[]>();
  /** Versions of the chunks that may exist in the state service; null: a write had no answer. */
  readonly chunkVersions = new Map<number, number | null>();
  /** Further keys of it in the state service, which are only read and go when it ends. */
  readonly ownedKeys: string[] = [];
  readyCount: number;
  doneCount = 0;
  succeeded = false;
  /** A task of it has been started at some time. */
  started = false;
  failures = 0;
  /** A job that fails everywhere waits until this time. */
  backoffUntil = 0;
  /** Cancelled or moved to the ended jobs: nothing of it may start. */
  ended = false;
  /** The transaction that ends it is on its way. */
  ending = false;
  /**
   * On its arrival it fitted its team's guarantee together with the team's
   * earlier unfinished jobs. Not looked at again: as those end, every job
   * would come to fit in its turn, and the oldest work of all teams would
   * pass, and stop, what can still be in time.
   */
  withinGuarantee: boolean | null = null;
  /** Jobs that have to be done before a task of this one starts. */
  readonly pendingDependencies = new Set<string>();
  /** Some of the ids that it needs stand in records that have not been read. */
  dependenciesUnread = false;
  /** A job that it needs, directly or through others, was cancelled: so will this one be. */
  dependencyCancelled = false;
  /** Time of day from which its waits are counted: its acceptance, or the end of the last job that it needed. */
  eligibleAt: number;
  /** Index into RANKS: the highest of its own and of all jobs that need it. */
  priority: number;
  /** The deadline that leaves it the least time, its own or one downstream. */
  effectiveDeadline: EffectiveDeadline | null = null;
  private readonly status: Uint8Array;
  private cursor = 0;
  private readonly requeued: number[] = [];
  private readonly backedOff: { index: number; until: number }[] = [];

  constructor(
    readonly spec: JobSpec,
    /** Version of its key: the order of arrival. */
    readonly version: number,
    /** Time of day of its acceptance, in milliseconds. */
    readonly acceptedAt: number,
    /** Accepted before this leader's term: an earlier leader may have started tasks of it. */
    readonly inherited: boolean,
  ) {
    this.status = new Uint8Array(spec.tasks);
    this.readyCount = spec.tasks;
    this.eligibleAt = acceptedAt;
    this.priority = spec.priority;
    this.resetPriority();
  }

  /** Rank and deadline as its own user set them. */
  resetPriority(): void {
    this.priority = this.spec.priority;
    this.effectiveDeadline = this.spec.deadlineS === null ? null : { job: this, remainingPathS: 0 };
  }

  /** Not all of what it needs is done: nothing of it may start, and it counts for nothing. */
  get awaitsDependencies(): boolean {
    return this.dependencyCancelled || this.dependenciesUnread || this.pendingDependencies.size > 0;
  }

  /** A job that it needs is durably done. */
  dependencyDone(id: string, at: number | null): void {
    this.pendingDependencies.delete(id);
    if (at !== null) this.eligibleAt = Math.max(this.eligibleAt, at);
  }

  get isComplete(): boolean {
    return this.doneCount === this.spec.tasks;
  }

  isDone(index: number): boolean {
    return this.status[index] === DONE;
  }

  /** The next ready task, which the caller binds; null when there is none. */
  takeReadyTask(): number | null {
    while (this.requeued.length > 0) {
      const index = this.requeued.pop() as number;
      if (this.status[index] === READY) return index;
    }
    while (this.cursor < this.spec.tasks) {
      const index = this.cursor++;
      if (this.status[index] === READY) return index;
    }
    return null;
  }

  addAttempt(attempt: TaskAttempt): void {
    const { index, machine } = attempt;
    if (this.status[index] === READY) this.readyCount--;
    this.status[index] = ASSIGNED;
    this.started = true;
    this.activeAttempts.set(index, attempt);
    this.attemptsByZone.set(machine.zone, (this.attemptsByZone.get(machine.zone) ?? 0) + 1);
  }

  /** The binding has ended; unless done, its task is ready again, at once or at `until`. */
  removeAttempt(attempt: TaskAttempt, until: number): void {
    const { index, machine } = attempt;
    if (this.activeAttempts.get(index) !== attempt) return;
    this.activeAttempts.delete(index);
    this.attemptsByZone.set(machine.zone, (this.attemptsByZone.get(machine.zone) ?? 1) - 1);
    if (this.status[index] !== ASSIGNED) return;
    if (until > 0) {
      this.status[index] = BACKED_OFF;
      this.backedOff.push({ index, until });
    } else {
      this.status[index] = READY;
      this.readyCount++;
      this.requeued.push(index);
    }
  }

  /** True when the task was not known as done before. */
  markDone(index: number): boolean {
    const old = this.status[index];
    if (old === undefined || old === DONE) return false;
    if (old === READY) this.readyCount--;
    this.status[index] = DONE;
    this.started = true;
    this.doneCount++;
    return true;
  }

  /** Lets tasks whose delay is over become ready again. */
  releaseBackedOff(now: number): void {
    for (let i = this.backedOff.length - 1; i >= 0; i--) {
      const delay = this.backedOff[i] as { index: number; until: number };
      if (delay.until > now) continue;
      this.backedOff.splice(i, 1);
      if (this.status[delay.index] !== BACKED_OFF) continue;
      this.status[delay.index] = READY;
      this.readyCount++;
      this.requeued.push(delay.index);
    }
  }

  get backedOffCount(): number {
    return this.backedOff.length;
  }

  /** The bits of a chunk of finished tasks, lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    const start = chunk * tasksPerChunk;
    const size = Math.min(tasksPerChunk, this.spec.tasks - start);
    const bits = new Uint8Array(Math.ceil(size / 8));
    for (let i = 0; i < size; i++)
      if (this.status[start + i] === DONE) bits[i >> 3] = (bits[i >> 3] as number) | (1 << (i & 7));
    return bits;
  }

  /** Takes over bits that an earlier leader wrote, from this task on. */
  loadBits(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8 && firstTask + i < this.spec.tasks; i++)
      if (((bits[i >> 3] as number) >> (i & 7)) & 1) this.markDone(firstTask + i);
  }
}
