/**
 * A chunk of a live job's finished tasks, `bits/<job>/<number>/<first task>`
 * (earlier versions: `bits/<job>/<number>`): a bit for each task, the lowest
 * task first, in base64. The leader writes and reads it. Which tasks a key
 * stands for is told by core/bitmap-layout.
 */

export function encodeFinishedTasks(bits: Uint8Array): string {
  return Buffer.from(bits).toString('base64');
}

/** Null: it is no bitmap. */
export function decodeFinishedTasks(value: unknown): Uint8Array | null {
  return typeof value === 'string' ? Buffer.from(value, 'base64') : null;
}
