import type { JobEnd } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';

/**
 * The record of an ended job, `over/<job>`: created in the transaction that
 * removes its live record, or that accepts it as already cancelled, by
 * whichever node ends it, and never written again.
 */

/** An ended job. */
export interface EndedJobRecord {
  state: JobEnd['state'];
  tasks: number;
  /** Time of day of the end. Cancellations have none, and ends of earlier versions neither. */
  at?: number;
}

/** An ended job as its key holds it. Earlier versions write and read no more than state and tasks. */
export interface StoredJobEnd {
  state: 'done' | 'cancelled';
  tasks: number;
  at?: number;
}

/** The end of a job with this many tasks. */
export function encodeJobEnd(end: JobEnd, tasks: number): StoredJobEnd {
  const stored: StoredJobEnd = { state: end.state, tasks };
  if (end.at !== null) stored.at = end.at;
  return stored;
}

/** Null: it is no object. */
export function decodeJobEnd(value: unknown): EndedJobRecord | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredJobEnd;
  const record: EndedJobRecord = { state: stored.state, tasks: stored.tasks };
  if (stored.at !== undefined) record.at = stored.at;
  return record;
}
