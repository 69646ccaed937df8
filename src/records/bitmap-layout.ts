/**
 * Which tasks each chunk of a job's bitmap of finished tasks stands for, and
 * under which key it is stored. The value of a chunk is in finished-tasks-record.
 */

import { BITMAP_PREFIX } from './keys.js';

/** Digits to which a chunk's number is padded in its key, as by the earlier version. */
const NUMBER_WIDTH = 4;

/** What the key of a chunk says. */
export interface ChunkKey {
  /** Id of the job. */
  job: string;
  /** Index of the task that the first bit stands for. */
  firstTask: number;
  /** The chunk that is written under this key; null: it is of the earlier form and only read. */
  chunk: number | null;
}

/**
 * Where a job's finished tasks stand in the state service: a bit for each
 * task, in chunks under keys of their own.
 *
 * An earlier version sized its chunks by the limit on values and named them
 * `bits/<job>/<number>`, so that the first task followed from number and limit.
 * The limit may fall, and both versions may lead in turn. A chunk now names
 * its first task, `bits/<job>/<number>/<first task>`, and its number is what
 * the earlier version reads it by: that version ignores what follows the
 * number, and a fraction of one of its own chunks begins where it should.
 * Chunks of the earlier form are read and never written again.
 */
export class BitmapLayout {
  /**
   * `earlierChunk` is the number of tasks in a chunk of the earlier form.
   * `tasksPerChunk` is that number, halved as often as it takes: only then the
   * first task of every chunk is an exact fraction for the earlier version.
   */
  constructor(
    private readonly earlierChunk: number,
    readonly tasksPerChunk: number,
  ) {}

  /** The layout for these limits on the bytes of a value: the present one and the lowest that may come. */
  static forValues(presentBytes: number, lowestBytes: number): BitmapLayout {
    const earlier = tasksIn(presentBytes);
    const most = tasksIn(lowestBytes);
    let tasks = earlier;
    while (tasks > most && tasks % 2 === 0) tasks /= 2;
    return new BitmapLayout(earlier, tasks);
  }

  /** The key of a job's chunk. */
  key(job: string, chunk: number): string {
    const first = chunk * this.tasksPerChunk;
    const number = String(first / this.earlierChunk).padStart(NUMBER_WIDTH, '0');
    return `${BITMAP_PREFIX}${job}/${number}/${first}`;
  }

  /** The chunk with the task's bit. */
  chunkOf(task: number): number {
    return Math.floor(task / this.tasksPerChunk);
  }

  /** What a key says; null: it is no key of a bitmap. */
  parse(key: string): ChunkKey | null {
    if (!key.startsWith(BITMAP_PREFIX)) return null;
    const [job, number, first] = key.slice(BITMAP_PREFIX.length).split('/');
    if (!job || number === undefined) return null;
    const firstTask = first === undefined ? Number(number) * this.earlierChunk : Number(first);
    if (!Number.isSafeInteger(firstTask) || firstTask < 0) return null;
    const chunk = firstTask / this.tasksPerChunk;
    const own = Number.isInteger(chunk) && this.key(job, chunk) === key;
    return { job, firstTask, chunk: own ? chunk : null };
  }
}

/** Tasks whose bits fit half a value: base64 adds a third, and the frame a little. */
function tasksIn(valueBytes: number): number {
  return Math.max(1, Math.floor(valueBytes * 0.5)) * 8;
}
