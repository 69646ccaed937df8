/**
 * The state of each task of a job array: one byte a task, since arrays have
 * up to a hundred thousand of them.
 *
 * Invariant: `readyCount` and `doneCount` are the numbers of tasks in those
 * states, and a task that is done stays done.
 */

/** States of a task, as they are kept in the array of bytes. */
const READY = 0;
const ASSIGNED = 1;
const DONE = 2;
const BACKED_OFF = 3;

/** A task that must not be placed again before a time, in steady milliseconds. */
interface BackedOffTask {
  index: number;
  until: number;
}

/** Which tasks of one job are ready, assigned to a machine, done or backed off. */
export class TaskStates {
  /** Tasks that may be placed now. */
  readyCount: number;
  /** Tasks that are done, durably or not. */
  doneCount = 0;
  /** A task has been assigned, or found done, at some time. */
  started = false;
  private readonly states: Uint8Array;
  /** All tasks from this index on have never been taken. */
  private nextUntaken = 0;
  /** Tasks that became ready again, the last one first; some may have changed state since. */
  private readonly requeued: number[] = [];
  private readonly backedOff: BackedOffTask[] = [];

  constructor(private readonly size: number) {
    this.states = new Uint8Array(size);
    this.readyCount = size;
  }

  /** All tasks are done. */
  get isComplete(): boolean {
    return this.doneCount === this.size;
  }

  /** Tasks whose delay has not ended, with some that changed state meanwhile. */
  get backedOffCount(): number {
    return this.backedOff.length;
  }

  /** Whether the task is done, durably or not. */
  isDone(index: number): boolean {
    return this.states[index] === DONE;
  }

  /** The index of the next ready task, which the caller has to assign; null when there is none. */
  takeReady(): number | null {
    while (this.requeued.length > 0) {
      const index = this.requeued.pop() as number;
      if (this.states[index] === READY) return index;
    }
    while (this.nextUntaken < this.size) {
      const index = this.nextUntaken++;
      if (this.states[index] === READY) return index;
    }
    return null;
  }

  /** The task is, or may be, on a machine. */
  markAssigned(index: number): void {
    if (this.states[index] === READY) this.readyCount--;
    this.states[index] = ASSIGNED;
    this.started = true;
  }

  /** The task is done. True when it was not known as done before. */
  markDone(index: number): boolean {
    const previous = this.states[index];
    if (previous === undefined || previous === DONE) return false;
    if (previous === READY) this.readyCount--;
    this.states[index] = DONE;
    this.started = true;
    this.doneCount++;
    return true;
  }

  /** The task's attempt has ended: unless done, it is ready again, at once (0) or from `until` on. */
  requeue(index: number, until: number): void {
    if (this.states[index] !== ASSIGNED) return;
    if (until > 0) {
      this.states[index] = BACKED_OFF;
      this.backedOff.push({ index, until });
    } else this.markReady(index);
  }

  /** Makes tasks ready whose delay has ended. */
  releaseBackedOff(now: number): void {
    for (let i = this.backedOff.length - 1; i >= 0; i--) {
      const { index, until } = this.backedOff[i] as BackedOffTask;
      if (until > now) continue;
      this.backedOff.splice(i, 1);
      if (this.states[index] === BACKED_OFF) this.markReady(index);
    }
  }

  /** The bitmap of the finished tasks in a chunk, the lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    const firstTask = chunk * tasksPerChunk;
    const size = Math.min(tasksPerChunk, this.size - firstTask);
    const bits = new Uint8Array(Math.ceil(size / 8));
    for (let i = 0; i < size; i++)
      if (this.isDone(firstTask + i)) bits[i >> 3] = (bits[i >> 3] as number) | (1 << (i & 7));
    return bits;
  }

  /** Marks as done what an earlier leader's bitmap says, whose first bit stands for `firstTask`. */
  loadBits(firstTask: number, bits: Uint8Array): void {
    for (let i = 0; i < bits.length * 8 && firstTask + i < this.size; i++)
      if (((bits[i >> 3] as number) >> (i & 7)) & 1) this.markDone(firstTask + i);
  }

  private markReady(index: number): void {
    this.states[index] = READY;
    this.readyCount++;
    this.requeued.push(index);
  }
}
