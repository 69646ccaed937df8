/**
 * The state of each task of a job array, in one byte per task since arrays have
 * up to a hundred thousand tasks.
 *
 * Invariant: `readyCount` and `doneCount` are the numbers of tasks in those
 * states, and a task that is done stays done.
 */

import TinyQueue from 'tinyqueue';

/** Task states, as stored in the byte array. */
const READY = 0;
const ASSIGNED = 1;
const DONE = 2;
const BACKED_OFF = 3;

/** A task that must not be placed again before a delay has ended. */
interface BackedOffTask {
  index: number;
  /** When the delay ends, in milliseconds on the monotonic clock. */
  readyAt: number;
  /** Position among all tasks that were ever backed off. */
  order: number;
}

function byReadyAt(a: BackedOffTask, b: BackedOffTask): number {
  return a.readyAt - b.readyAt;
}

/** Which tasks of one job are ready, assigned to a machine, done or backed off. */
export class TaskStates {
  /** Number of tasks that may be placed now. */
  readyCount: number;
  /** Number of tasks that are done, durably or not. */
  doneCount = 0;
  /** Whether any task has ever been assigned or found done. */
  started = false;
  private readonly states: Uint8Array;
  /** The tasks from this index on have never been removed from the queue. */
  private nextUnpopped = 0;
  /** Stack of tasks that became ready again. Some may have changed state since. */
  private readonly requeued: number[] = [];
  /** The task whose delay ends first is at the top. */
  private readonly backedOff = new TinyQueue<BackedOffTask>([], byReadyAt);
  private backedOffSoFar = 0;

  constructor(private readonly size: number) {
    this.states = new Uint8Array(size);
    this.readyCount = size;
  }

  /** Whether all tasks are done, durably or not. */
  get isComplete(): boolean {
    return this.doneCount === this.size;
  }

  /** Number of tasks whose delay has not ended, including those that have changed state since. */
  get backedOffCount(): number {
    return this.backedOff.length;
  }

  /** Reports whether the task is done, durably or not. */
  isDone(index: number): boolean {
    return this.states[index] === DONE;
  }

  /** Removes the next ready task from the queue and returns its index, or null when there is none. The caller must assign it. */
  popReady(): number | null {
    while (this.requeued.length > 0) {
      const index = this.requeued.pop() as number;
      if (this.states[index] === READY) return index;
    }
    while (this.nextUnpopped < this.size) {
      const index = this.nextUnpopped++;
      if (this.states[index] === READY) return index;
    }
    return null;
  }

  /** Marks a task that is, or may be, on a machine. */
  markAssigned(index: number): void {
    if (this.states[index] === READY) this.readyCount--;
    this.states[index] = ASSIGNED;
    this.started = true;
  }

  /** Marks the task as done. Returns true when it was not known to be done before. */
  markDone(index: number): boolean {
    const previous = this.states[index];
    if (previous === undefined || previous === DONE) return false;
    if (previous === READY) this.readyCount--;
    this.states[index] = DONE;
    this.started = true;
    this.doneCount++;
    return true;
  }

  /** Makes a task whose attempt has ended ready again unless it is done, immediately (0) or at `readyAt`. */
  requeue(index: number, readyAt: number): void {
    if (this.states[index] !== ASSIGNED) return;
    if (readyAt > 0) {
      this.states[index] = BACKED_OFF;
      this.backedOff.push({ index, readyAt, order: this.backedOffSoFar++ });
    } else this.markReady(index);
  }

  /** Makes the tasks ready whose delay has ended; the one that was backed off first is placed first. */
  releaseBackedOff(now: number): void {
    const due: BackedOffTask[] = [];
    for (let next = this.backedOff.peek(); next; next = this.backedOff.peek()) {
      if (next.readyAt > now) break;
      due.push(next);
      this.backedOff.pop();
    }
    // The stack of requeued tasks returns the last one first.
    due.sort((a, b) => b.order - a.order);
    for (const { index } of due) if (this.states[index] === BACKED_OFF) this.markReady(index);
  }

  /** Returns the bitmap of the finished tasks in a chunk, the lowest task first. */
  chunkBits(chunk: number, tasksPerChunk: number): Uint8Array {
    const firstTask = chunk * tasksPerChunk;
    const size = Math.min(tasksPerChunk, this.size - firstTask);
    const bits = new Uint8Array(Math.ceil(size / 8));
    for (let i = 0; i < size; i++)
      if (this.isDone(firstTask + i)) bits[i >> 3] = (bits[i >> 3] as number) | (1 << (i & 7));
    return bits;
  }

  /** Marks as done the tasks in a bitmap that an earlier leader wrote. Its first bit represents `firstTask`. */
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
