/**
 * One chunk of the bitmap of a live job's finished tasks, in base64. Each task has one
 * bit; the lowest bit of the first byte represents the first task.
 *
 * - Keys: `bits/<job>/<number>/<first task>`. bitmap-layout maps tasks to keys.
 * - Access: The leader writes the chunks, and reads one back after a write without a
 *   response. The next leader reads all of them on failover. The leader removes them after
 *   the end of the job.
 * - Absence: A chunk in which no task has finished usually has no key.
 * - Versions: Earlier versions write `bits/<job>/<number>`, which this version reads.
 */

/** Returns the stored form of a bitmap in the format of `TaskStates.chunkBits`. */
export function encodeFinishedTasks(bits: Uint8Array): string {
  return Buffer.from(bits).toString('base64');
}

/** Returns null when the value is not a string. Characters that are not base64 are ignored. */
export function decodeFinishedTasks(value: unknown): Uint8Array | null {
  return typeof value === 'string' ? Buffer.from(value, 'base64') : null;
}
