/**
 * Ids of dependencies beside the record of the job that has them.
 *
 * Keys: either pages written together with the record, `upstream/<job>/<page>`;
 * or, for lists that are too long for one transaction, a list written before it:
 * a header, `lists/<job>/<token>`, and pages, `needs/<job>/<token>/<page>`. The
 * record (job-record) says which there are.
 * Written: by the controller that accepts the job. Read: by the leader, and by
 * controllers that look up a job. Removed: by the leader, once the job has ended,
 * or was not accepted.
 * Absent: `removing` in a header, until its list is being removed.
 * Versions: the earliest know neither form; those before the lists know only the
 * pages written with the record.
 */

import { isObject } from '../protocol/json-fields.js';
import { mergeIntoStoredForm, rememberStoredForm } from './stored-form.js';

/**
 * The header of a list. Its version guards the list: pages and the record are
 * written only over the version that was seen before, and removal changes it.
 */
export interface DependencyListHeader {
  /** Number of pages of the whole list. */
  pages: number;
  /** The list is being removed: no page may be added, and no record may name it. */
  removing?: boolean;
}

/** The header as it is stored. */
export interface StoredDependencyListHeader {
  pages: number;
  removing?: boolean;
}

/** Null: it is no object. */
export function decodeDependencyListHeader(value: unknown): DependencyListHeader | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredDependencyListHeader;
  const header: DependencyListHeader = { pages: stored.pages };
  if (stored.removing !== undefined) header.removing = stored.removing;
  rememberStoredForm(header, value, ['pages']);
  return header;
}

/** The header of a list that is about to be written. */
export function encodeDependencyListHeader(
  header: DependencyListHeader,
): StoredDependencyListHeader {
  return { pages: header.pages };
}

/** The same header once its list is being removed. */
export function encodeHeaderInRemoval(header: DependencyListHeader): StoredDependencyListHeader {
  return mergeIntoStoredForm(header, { pages: header.pages, removing: true });
}

/** A page: ids of jobs, in the order of the submission. */
export type StoredJobIds = string[];

/** A page of ids; it has no fields to map. */
export function encodeJobIds(ids: string[]): StoredJobIds {
  return ids;
}

/** A page of ids as it is stored; it has no fields to map. */
export function decodeJobIds(value: unknown): string[] {
  return value as StoredJobIds;
}
