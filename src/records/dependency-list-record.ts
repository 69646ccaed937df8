/**
 * Dependencies of a job that are stored outside the job's record.
 *
 * - Keys: There are two forms, and the record (job-record) says which one is used. Pages
 *   `upstream/<job>/<page>` are written in one transaction with the record. A list that is
 *   too long for one transaction is written before the record: a header
 *   `lists/<job>/<token>` and pages `needs/<job>/<token>/<page>`.
 * - Access: The controller that accepts the job writes them. The leader and controllers
 *   that look up the job read them. The leader removes them when the job has ended or was
 *   never accepted.
 * - Absence: `removing` is absent from a header until the list is being removed.
 * - Versions: The earliest versions know neither form. Later versions without lists know
 *   only the pages that are written with the record.
 */

import { isObject } from '../protocol/json-fields.js';
import { mergeIntoRetainedForm, retainStoredForm } from './stored-form.js';

/**
 * The header of a dependency list. Pages and the record are written only on the
 * condition that the header still has the version that was read before, and a removal
 * changes this version first.
 */
export interface DependencyListHeader {
  /** Number of pages of the complete list, some of which may not be written yet. */
  pages: number;
  /**
   * Whether the list is being removed. No page may then be added, and no job record may
   * refer to the list. Absent means false.
   */
  removing?: boolean;
}

/** The stored form of `DependencyListHeader`, with the same fields. */
export interface StoredDependencyListHeader {
  pages: number;
  removing?: boolean;
}

/** Returns null when the value is not an object. A missing `pages` is undefined in the header. */
export function decodeDependencyListHeader(value: unknown): DependencyListHeader | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredDependencyListHeader;
  const header: DependencyListHeader = { pages: stored.pages };
  if (stored.removing !== undefined) header.removing = stored.removing;
  retainStoredForm(header, value, ['pages']);
  return header;
}

/** Returns the stored form of the header of a list that is about to be written. */
export function encodeDependencyListHeader(
  header: DependencyListHeader,
): StoredDependencyListHeader {
  return { pages: header.pages };
}

/** Returns the stored form of the header with the mark that its list is being removed. */
export function encodeHeaderInRemoval(header: DependencyListHeader): StoredDependencyListHeader {
  return mergeIntoRetainedForm(header, { pages: header.pages, removing: true });
}

/** A page of either form: ids of jobs. */
export type StoredJobIds = string[];

/** Returns the stored form of a page, which is the list of ids itself. */
export function encodeJobIds(ids: string[]): StoredJobIds {
  return ids;
}

/** Returns the ids of a page. The value is not checked: a malformed one is returned unchanged. */
export function decodeJobIds(value: unknown): string[] {
  return value as StoredJobIds;
}
