/**
 * Builds the transaction that accepts a job: its record and, when the record
 * can't hold the ids of all dependencies, pages with the remaining ones.
 */
import type { StateLimits } from '../../config/state-limits.js';
import type { Change } from '../../protocol/key-value-protocol.js';
import { encodeJobIds } from '../../records/dependency-list-record.js';
import { encodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import { dependencyPageKey, liveJobKey } from '../../records/keys.js';
import {
  MAX_TRANSACTION_VALUE_BYTES,
  splitIntoPages,
  storedBytes,
  valueCapacityBytes,
} from '../../records/value-sizes.js';

/** The job's record is larger than a value of the state service may be. */
export class JobTooLargeError extends Error {}

/** The dependencies of a submission. */
export interface SubmittedDependencies {
  /** Dependencies that were live when they were looked up; the job waits for these. */
  pending: readonly string[];
  /** All dependencies in the order of the submission; the same in each repetition of it. */
  all: readonly string[];
}

/**
 * Returns the only dependency in a record whose dependencies are in a list. No
 * job has such an id, so a version without support for lists waits for it
 * forever and does not start the job too early.
 */
export function dependencyListPlaceholder(id: string): string {
  return `${id}/list`;
}

/**
 * Returns the changes that accept the job with these pending dependencies; null
 * when one transaction can't hold them. Throws JobTooLargeError.
 */
export function creationChanges(
  record: LiveJobRecord,
  pending: readonly string[],
  limits: Pick<StateLimits, 'valueBytes' | 'changes'>,
): Change[] | null {
  const { id } = record.spec;
  const capacityBytes = valueCapacityBytes(limits);
  // The record with the largest page count, before the ids of its dependencies are added.
  const base: LiveJobRecord =
    pending.length === 0
      ? record
      : {
          ...record,
          dependencies: [dependencyListPlaceholder(id)],
          dependencyPages: limits.changes,
        };
  const baseBytes = storedBytes(encodeLiveJob(base));
  if (baseBytes > capacityBytes)
    throw new JobTooLargeError(
      `record of job ${id} takes ${baseBytes} bytes; the limit is ${Math.floor(capacityBytes)} bytes`,
    );
  const [inline = [], ...pages] = splitIntoPages(pending, capacityBytes - baseBytes, capacityBytes);
  if (pages.length + 1 > limits.changes) return null;
  if (pages.length * capacityBytes > MAX_TRANSACTION_VALUE_BYTES - capacityBytes) return null;
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
