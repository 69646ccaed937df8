/**
 * Reading of single fields out of JSON that came from outside. Each reader
 * returns a value of the wanted type or throws `MalformedMessageError` with a
 * text that names the field in the sender's own words, since users read it.
 */

/** An object of JSON whose fields have not been checked yet. */
export type JsonObject = Record<string, unknown>;

/** A message from outside is not in the form that the protocol demands. */
export class MalformedMessageError extends Error {}

/** Larger amounts than this are absurd for one task and would drown sums. */
const MAX_AMOUNT = 1e9;
const MAX_TEXT_LENGTH = 200;

/** Whether the value is a JSON object: neither null nor a list. */
export function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether an optional field was left out; null counts as left out. */
export function isAbsent(value: unknown): value is null | undefined {
  return value === null || value === undefined;
}

/** The value as an object; throws `MalformedMessageError` with the given text when it is none. */
export function requireObject(value: unknown, complaint = 'not an object'): JsonObject {
  if (!isObject(value)) throw new MalformedMessageError(complaint);
  return value;
}

/** A finite number of 0 or more, or above 0, up to `MAX_AMOUNT`. */
export function amount(fields: JsonObject, field: string, positive = false): number {
  const value = fields[field];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0 || value > MAX_AMOUNT)
    throw new MalformedMessageError(`${field} must be a number of 0 or more`);
  if (positive && value <= 0) throw new MalformedMessageError(`${field} must be above 0`);
  return value;
}

/** A text that is neither empty nor longer than `maxLength` characters. */
export function text(fields: JsonObject, field: string, maxLength = MAX_TEXT_LENGTH): string {
  const value = fields[field];
  if (typeof value !== 'string' || value.length === 0 || value.length > maxLength)
    throw new MalformedMessageError(`${field} must be a text of 1 to ${maxLength} characters`);
  return value;
}

/** True or false; nothing else is converted to it. */
export function flag(fields: JsonObject, field: string): boolean {
  const value = fields[field];
  if (typeof value !== 'boolean') throw new MalformedMessageError(`${field} must be true or false`);
  return value;
}

/** An integer from `min` to `max`. */
export function count(
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

/** A list; its items have not been checked yet. */
export function list(body: unknown, field: string): unknown[] {
  const value = isObject(body) ? body[field] : undefined;
  if (!Array.isArray(value)) throw new MalformedMessageError(`${field} must be a list`);
  return value;
}
