/**
 * The finished tasks of a live job, one chunk of them: a bit for each task, the
 * lowest task first, in base64.
 *
 * Keys: `bits/<job>/<number>/<first task>`; bitmap-layout says which tasks a key
 * stands for.
 * Written and read: by the leader; read again by the next one, on failover.
 * Removed: by the leader, after the end of the job.
 * Absent: chunks without finished tasks, mostly.
 * Versions: earlier ones write `bits/<job>/<number>`, which this one reads.
 */

/** `bits`: as `TaskStates.chunkBits` gives them. */
export function encodeFinishedTasks(bits: Uint8Array): string {
  return Buffer.from(bits).toString('base64');
}

/** Null: it is no bitmap. */
export function decodeFinishedTasks(value: unknown): Uint8Array | null {
  return typeof value === 'string' ? Buffer.from(value, 'base64') : null;
}
