import { isObject } from '../protocol/json-fields.js';
import { overForm, rememberForm } from './stored-form.js';

/**
 * Ids of upstream jobs beside the record of the job that needs them: in pages
 * written together with it, `upstream/<job>/<page>`, or in a list written
 * before it, with a header, `lists/<job>/<token>`, and pages,
 * `needs/<job>/<token>/<page>`. The node that accepts the job writes them,
 * the leader removes them. Versions before the lists know none of the latter.
 */

/** The header of a list. While it is being removed, no page may be added and no record may name it. */
export interface DependencyListHeader {
  pages: number;
  removing?: boolean;
}

/** The header as its key holds it; `removing` is absent until the list is being removed. */
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
  rememberForm(header, value, ['pages']);
  return header;
}

/** The header of a list of this many pages that is to be written. */
export function encodeDependencyListHeader(
  header: DependencyListHeader,
): StoredDependencyListHeader {
  return { pages: header.pages };
}

/** The same header once its list is being removed. */
export function encodeRemoval(header: DependencyListHeader): StoredDependencyListHeader {
  return overForm(header, { pages: header.pages, removing: true });
}

/** A page: ids of jobs, as it is stored and as it is used. */
export type StoredJobIds = string[];

export function encodeJobIds(ids: string[]): StoredJobIds {
  return ids;
}

/** A list of texts has no fields to map: it is taken as it stands. */
export function decodeJobIds(value: unknown): string[] {
  return value as StoredJobIds;
}
