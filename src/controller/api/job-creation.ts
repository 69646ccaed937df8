/**
 * What one transaction writes to accept a job: its record and, where a value
 * has no room for all ids of its dependencies, pages with the further ones.
 */
import type { StateLimits } from '../../config/state-limits.js';
import type { Change } from '../../protocol/key-value-protocol.js';
import { encodeJobIds } from '../../records/dependency-list-record.js';
import { encodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { dependencyPageKey, liveJobKey } from '../../records/keys.js';
import {
  splitIntoPages,
  storedBytes,
  TRANSACTION_BYTES,
  valueCapacityBytes,
} from '../../records/value-sizes.js';

/** A value of the state service can't hold the job's description. */
export class JobTooLargeError extends Error {}

/** The dependencies of a submission. */
export interface SubmittedDependencies {
  /** Those that were live when they were looked up: the job waits for these. */
  pending: readonly string[];
  /** All that the submission names, in its own order, the same in each repetition of it. */
  named: readonly string[];
}

/**
 * The only dependency in a record whose list stands elsewhere. No job has such
 * an id, so a version that does not know of lists waits for it for ever and
 * starts nothing too early.
 */
export function dependencyListPlaceholder(id: string): string {
  return `${id}/list`;
}

/**
 * The changes that accept the job with these pending dependencies; null when
 * they are more than one transaction holds. Throws JobTooLargeError.
 */
export function creationChanges(
  record: LiveJobRecord,
  pending: readonly string[],
  limits: Pick<StateLimits, 'valueBytes' | 'changes'>,
): Change[] | null {
  const { id } = record.spec;
  const room = valueCapacityBytes(limits);
  // The largest form of the record besides the ids themselves.
  const base: LiveJobRecord =
    pending.length === 0
      ? record
      : {
          ...record,
          dependencies: [dependencyListPlaceholder(id)],
          dependencyPages: limits.changes,
        };
  const baseBytes = storedBytes(encodeLiveJob(base));
  if (baseBytes > room)
    throw new JobTooLargeError(`job ${id} takes ${baseBytes} of ${Math.floor(room)} bytes`);
  const [inline = [], ...pages] = splitIntoPages(pending, room - baseBytes, room);
  if (pages.length + 1 > limits.changes) return null;
  if (pages.length * room > TRANSACTION_BYTES - room) return null;
  const value: LiveJobRecord = {
    ...record,
    ...(inline.length > 0 ? { dependencies: inline } : {}),
    ...(pages.length > 0 ? { dependencyPages: pages.length } : {}),
  };
  return [
    { op: 'put', key: liveJobKey(id), value: encodeLiveJob(value) },
    ...pages.map(
      (ids, page): Change => ({
        op: 'put',
        key: dependencyPageKey(id, page),
        value: encodeJobIds(ids),
      }),
    ),
  ];
}
