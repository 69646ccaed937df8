/**
 * What all codecs of records share.
 *
 * A codec maps the stored form of a record to the program's own type and back,
 * field by field: a field of the latter may be renamed, and other versions still
 * read what they know.
 *
 * Two versions serve side by side during an upgrade, and the later one may write
 * fields that the earlier one does not know. Where a record is read and written
 * again, the earlier version must not drop these fields: it would silently take
 * back what the later one decided. So such a record's stored form is remembered
 * beside the decoded object and merged into what is written anew
 * (`rememberStoredForm`, `mergeIntoStoredForm`).
 *
 * Codecs don't judge: whoever reads a record decides what is believed. A field
 * that is missing in the stored form is `undefined` in the decoded object, as it
 * would be without a codec.
 */

import { isObject } from '../protocol/json-fields.js';

/**
 * Maps an object with a codec's function. What is no object has no fields to
 * map and is passed on as it is, so that the reader sees, and refuses, what
 * was written.
 */
export function mapIfObject<T>(value: unknown, map: (value: never) => T | null): T {
  return isObject(value) ? (map(value as never) as T) : (value as T);
}

/**
 * By decoded object: its stored form, where that has other fields, or another
 * order of fields, than this version writes. The usual form is not kept: it
 * would be in memory twice.
 */
const unusualForms = new WeakMap<object, object>();

/**
 * For records that are read and written again: remembers the stored form that
 * the model was decoded from, unless it has just the fields that this version
 * writes, in their order (`usualFields`).
 */
export function rememberStoredForm(
  model: object,
  stored: object,
  usualFields: readonly string[],
): void {
  const fields = Object.keys(stored);
  const isUsual =
    fields.length === usualFields.length && fields.every((field, i) => field === usualFields[i]);
  if (!isUsual) unusualForms.set(model, stored);
}

/**
 * The stored form to write for a model: `stored`, which this version writes,
 * with the fields of other versions that the record had when it was decoded,
 * each at its place. A model that was not decoded, or was copied since, has none.
 */
export function mergeIntoStoredForm<Stored extends object>(model: object, stored: Stored): Stored {
  const before = unusualForms.get(model);
  return before ? { ...before, ...stored } : stored;
}
