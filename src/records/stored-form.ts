/**
 * Functions that the codecs of records share.
 *
 * A codec maps the stored form of a record to the type that the program uses and back,
 * field by field. The program's fields can thus be renamed while the stored names, which
 * other versions read, stay the same.
 *
 * Two versions run side by side during an upgrade, and the later one may write fields
 * that the earlier one does not know. An earlier version that reads a record and writes
 * it again must keep these fields, or it would silently undo a decision of the later
 * version. `retainStoredForm` therefore keeps the stored form of a decoded object, and
 * `mergeIntoRetainedForm` merges the new values into it.
 *
 * Most codecs do not validate fields: the caller has to check them. A field that is
 * missing in the stored form is undefined in the decoded object.
 */

import { isObject } from '../protocol/json-fields.js';

/**
 * Decodes or encodes an object with the function of a codec. A value that is not an
 * object is returned unchanged, so that the caller can check and reject it.
 */
export function mapIfObject<T>(value: unknown, map: (value: never) => T | null): T {
  return isObject(value) ? (map(value as never) as T) : (value as T);
}

/**
 * Stored forms by decoded object. Only forms whose fields or order of fields differ from
 * those that this version writes are kept: keeping the others would hold each record in
 * memory twice.
 */
const retainedForms = new WeakMap<object, object>();

/**
 * Keeps the stored form that a model was decoded from, for `mergeIntoRetainedForm`. Does
 * nothing when the form has exactly the fields that this version writes,
 * `currentFields`, in the same order.
 */
export function retainStoredForm(
  model: object,
  stored: object,
  currentFields: readonly string[],
): void {
  const fields = Object.keys(stored);
  const isCurrentForm =
    fields.length === currentFields.length &&
    fields.every((field, i) => field === currentFields[i]);
  if (!isCurrentForm) retainedForms.set(model, stored);
}

/**
 * Returns the stored form to write for a model: the fields that this version writes,
 * `stored`, merged into the retained form of the model. Unknown fields keep their values
 * and all fields keep their places. Returns `stored` when no form was retained, for
 * example because the model is a copy of the decoded object.
 */
export function mergeIntoRetainedForm<Stored extends object>(
  model: object,
  stored: Stored,
): Stored {
  const retained = retainedForms.get(model);
  return retained ? { ...retained, ...stored } : stored;
}
