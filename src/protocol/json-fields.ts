/**
 * Readers for single fields of JSON from outside. Each returns a value of the required
 * type or throws `MalformedMessageError`, with a message that contains the field's name
 * on the wire, since users read it.
 */

/** A JSON object whose fields have not been checked. */
export type JsonObject = Record<string, unknown>;

/** A message from outside violates the protocol. */
export class MalformedMessageError extends Error {}

/** Larger amounts are implausible for one task and would dominate every sum. */
const MAX_AMOUNT = 1e9;
const MAX_STRING_LENGTH = 200;

/** Reports whether the value is a JSON object, which excludes null and lists. */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Reports whether an optional field is absent. Null counts as absent. */
export function isAbsent(value: unknown): value is null | undefined {
  return value === null || value === undefined;
}

/**
 * Returns the value if it is an object; otherwise throws `MalformedMessageError` with
 * this message.
 */
export function requireObject(value: unknown, errorMessage = 'not an object'): JsonObject {
  if (!isObject(value)) throw new MalformedMessageError(errorMessage);
  return value;
}

/** Returns a finite number from 0 to `MAX_AMOUNT`. Rejects 0 if `positive` is true. */
export function readAmount(fields: JsonObject, field: string, positive = false): number {
  const value = fields[field];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0 || value > MAX_AMOUNT)
    throw new MalformedMessageError(`${field} must be a number of 0 or more`);
  if (positive && value <= 0) throw new MalformedMessageError(`${field} must be above 0`);
  return value;
}

/** Returns a string of 1 to `maxLength` characters. */
export function readString(
  fields: JsonObject,
  field: string,
  maxLength = MAX_STRING_LENGTH,
): string {
  const value = fields[field];
  if (typeof value !== 'string' || value.length === 0 || value.length > maxLength)
    throw new MalformedMessageError(`${field} must be a text of 1 to ${maxLength} characters`);
  return value;
}

/** Returns a boolean. Other types are not converted. */
export function readBoolean(fields: JsonObject, field: string): boolean {
  const value = fields[field];
  if (typeof value !== 'boolean') throw new MalformedMessageError(`${field} must be true or false`);
  return value;
}

/** Returns an integer from `min` to `max`. */
export function readInteger(
  fields: JsonObject,
  field: string,
  min = 0,
  max = Number.MAX_SAFE_INTEGER,
): number {
  const value = fields[field];
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < min || value > max)
    throw new MalformedMessageError(`${field} must be an integer from ${min} to ${max}`);
  return value;
}

/** Returns a list whose items have not been checked. */
export function readArray(body: unknown, field: string): unknown[] {
  const value = isObject(body) ? body[field] : undefined;
  if (!Array.isArray(value)) throw new MalformedMessageError(`${field} must be a list`);
  return value;
}
