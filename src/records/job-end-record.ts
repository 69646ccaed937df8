/**
 * The end of a job.
 *
 * - Keys: `over/<job>`.
 * - Access: Any controller writes it once, in the transaction that removes the live record
 *   or that accepts the job as already cancelled. It is never rewritten or removed. Every
 *   controller that looks up the job reads it, and so does a leader for jobs that depend
 *   on the job.
 * - Absence: `at` is absent for cancelled jobs and in records of earlier versions.
 * - Versions: Earlier versions read and write only `state` and `tasks`.
 */

import type { JobEnd } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';

/** The record of an ended job. */
export interface EndedJobRecord {
  state: JobEnd['state'];
  /** Number of tasks in the job, at least 1. */
  tasks: number;
  /** Wall-clock time of the end, in milliseconds since the epoch. Absent when not recorded. */
  at?: number;
}

/** The stored form of `EndedJobRecord`, with the same fields. */
export interface StoredJobEnd {
  state: 'done' | 'cancelled';
  tasks: number;
  at?: number;
}

/** Returns the stored form of the end of a job with `tasks` tasks. */
export function encodeJobEnd(end: JobEnd, tasks: number): StoredJobEnd {
  const stored: StoredJobEnd = { state: end.state, tasks };
  if (end.at !== null) stored.at = end.at;
  return stored;
}

/** Returns null when the value is not an object. A missing field is undefined in the record. */
export function decodeJobEnd(value: unknown): EndedJobRecord | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredJobEnd;
  const record: EndedJobRecord = { state: stored.state, tasks: stored.tasks };
  if (stored.at !== undefined) record.at = stored.at;
  return record;
}
