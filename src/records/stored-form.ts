import { isObject } from '../protocol/json-fields.js';

/**
 * What all codecs share. A codec has the stored form of a record on one side
 * and the model of the program on the other, field by field, so that a field
 * of the model can be renamed and what other versions read stays as it is.
 *
 * Codecs don't judge: whoever reads a record decides what is believed. A field
 * that is missing in the stored form is `undefined` in the model, as it would
 * be without a codec.
 */

/**
 * Maps an object with a codec's function. What is no object has no fields to
 * map and is passed on as it stands: its reader meets what was written.
 */
export function mapObject<T>(value: unknown, map: (value: never) => T | null): T {
  return isObject(value) ? (map(value as never) as T) : (value as T);
}

/** Stored forms of records that have other fields, or another order of fields, than this version writes. */
const unusualForms = new WeakMap<object, object>();

/**
 * For records that are read and written again: remembers the stored form from
 * which the model came when this version would not write it so. Fields of
 * later versions then go on in what is written, at their place.
 */
export function rememberForm(model: object, stored: object, usualFields: readonly string[]): void {
  const fields = Object.keys(stored);
  const isUsual =
    fields.length === usualFields.length && fields.every((field, i) => field === usualFields[i]);
  if (!isUsual) unusualForms.set(model, stored);
}

/** The stored form of a model, with the fields that the record had beside these when it was read. */
export function overForm<Stored extends object>(model: object, stored: Stored): Stored {
  const before = unusualForms.get(model);
  return before ? { ...before, ...stored } : stored;
}
