/**
 * The end of a job.
 *
 * Keys: `over/<job>`.
 * Written: once, in the transaction that removes the live record, or that
 * accepts the job as already cancelled, by whichever controller ends it. It is
 * never written again or removed. Read: by every controller that is asked for
 * the job, and by a leader for jobs that depend on it.
 * Absent: `at`, for cancellations and in records of earlier versions.
 * Versions: earlier ones write and read `state` and `tasks` alone.
 */

import type { JobEnd } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';

/** An ended job. */
export interface EndedJobRecord {
  state: JobEnd['state'];
  /** Number of its tasks. */
  tasks: number;
  /** Time of day of the end, in milliseconds. */
  at?: number;
}

/** An ended job as it is stored. */
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
