/**
 * The chunks of a job's bitmap of finished tasks: the tasks that each chunk covers
 * and the key under which it is stored. finished-tasks-record encodes the values.
 */

import { BITMAP_PREFIX } from './keys.js';

/** Digits to which a chunk's number is padded in its key. The earlier version pads it likewise. */
const CHUNK_NUMBER_DIGITS = 4;

/** The parts of a chunk's key. */
export interface ChunkKey {
  /** Id of the job. */
  job: string;
  /** Index of the task that the chunk's first bit represents, from 0. */
  firstTask: number;
  /**
   * Number of the chunk, from 0. Null for a key that is read but never written, because
   * it has the earlier form or belongs to another chunk size.
   */
  chunk: number | null;
}

/**
 * Maps the tasks of a job to the chunks of its bitmap, which has one bit for each
 * task, and the chunks to keys in the state service.
 *
 * An earlier version derived the chunk size from the limit on values and named the
 * keys `bits/<job>/<number>`, so that the first task of a chunk followed from its
 * number and the limit. But the limit may be lowered, and during an upgrade both
 * versions may lead in turn. A key therefore contains the first task of its chunk:
 * `bits/<job>/<number>/<first task>`.
 *
 * The earlier version reads these keys as well. It ignores the part after the number
 * and multiplies the number, which may be a fraction, by its own chunk size, which
 * gives the first task. Keys of the earlier form are read but never written.
 */
export class BitmapLayout {
  /**
   * `legacyTasksPerChunk` is the number of tasks in a chunk of the earlier form.
   * `tasksPerChunk` must be that number halved zero or more times: only then the
   * number in each key is an exact fraction for the earlier version.
   */
  constructor(
    private readonly legacyTasksPerChunk: number,
    readonly tasksPerChunk: number,
  ) {}

  /**
   * Returns the layout for the current limit on a value, `presentValueBytes`, and the lower
   * of that limit and the one that the settings announce, `minValueBytes`.
   */
  static forValueLimits(presentValueBytes: number, minValueBytes: number): BitmapLayout {
    const legacyTasksPerChunk = tasksPerValue(presentValueBytes);
    const maxTasks = tasksPerValue(minValueBytes);
    let tasksPerChunk = legacyTasksPerChunk;
    while (tasksPerChunk > maxTasks && tasksPerChunk % 2 === 0) tasksPerChunk /= 2;
    return new BitmapLayout(legacyTasksPerChunk, tasksPerChunk);
  }

  /** Returns the key of a job's chunk. */
  chunkKey(job: string, chunk: number): string {
    const firstTask = chunk * this.tasksPerChunk;
    const chunkNumber = String(firstTask / this.legacyTasksPerChunk).padStart(
      CHUNK_NUMBER_DIGITS,
      '0',
    );
    return `${BITMAP_PREFIX}${job}/${chunkNumber}/${firstTask}`;
  }

  /** Returns the number of the chunk that contains the task's bit. */
  chunkOf(task: number): number {
    return Math.floor(task / this.tasksPerChunk);
  }

  /** Parses a key of either form. Returns null when it is not the key of a bitmap chunk. */
  parseKey(key: string): ChunkKey | null {
    if (!key.startsWith(BITMAP_PREFIX)) return null;
    const [job, numberPart, firstTaskPart] = key.slice(BITMAP_PREFIX.length).split('/');
    if (!job || numberPart === undefined) return null;
    const firstTask =
      firstTaskPart === undefined
        ? Number(numberPart) * this.legacyTasksPerChunk
        : Number(firstTaskPart);
    if (!Number.isSafeInteger(firstTask) || firstTask < 0) return null;
    const chunk = firstTask / this.tasksPerChunk;
    const isCurrentForm = Number.isInteger(chunk) && this.chunkKey(job, chunk) === key;
    return { job, firstTask, chunk: isCurrentForm ? chunk : null };
  }
}

/**
 * Returns the number of tasks whose bits fill half of a value. The other half is room
 * for base64, which makes the bitmap a third larger, and for the JSON quotes.
 */
function tasksPerValue(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes * 0.5)) * 8;
}
