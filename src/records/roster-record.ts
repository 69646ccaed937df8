import type { RosterEntry } from '../model/machine.js';
import { isObject } from '../protocol/json-fields.js';

/**
 * A page of machines that may have been given tasks, `roster/<page>`. The
 * leader writes it, the next leader reads it.
 */

/** A machine in such a page. */
export interface StoredRosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

/**
 * The page as its key holds it. The earliest versions kept one machine under
 * its own name, `roster/<machine>`: an entry without id and, earlier still,
 * without address.
 */
export interface StoredRosterPage {
  machines: StoredRosterEntry[];
}

export function encodeRosterEntry(entry: RosterEntry): StoredRosterEntry {
  return {
    id: entry.id,
    type: entry.type,
    zone: entry.zone,
    spot: entry.spot,
    address: entry.address,
  };
}

export function encodeRosterPage(entries: readonly RosterEntry[]): StoredRosterPage {
  return { machines: entries.map(encodeRosterEntry) };
}

/** Null: it is no object. What is missing or of another type is made a text, or false. */
export function decodeRosterEntry(value: unknown): RosterEntry | null {
  if (!isObject(value)) return null;
  return {
    id: String(value.id),
    type: String(value.type),
    zone: String(value.zone),
    spot: value.spot === true,
    address: typeof value.address === 'string' ? value.address : '',
  };
}

/**
 * The machines of a page; `page` is what follows the prefix in its key. A
 * value of any other form counts as one machine of that name: a machine that
 * may have tasks must not be forgotten.
 */
export function decodeRosterPage(page: string, value: unknown): RosterEntry[] {
  const stored = isObject(value) ? value : {};
  const list: unknown[] = Array.isArray(stored.machines)
    ? stored.machines
    : [{ ...stored, id: page }];
  return list.map(decodeRosterEntry).filter((entry) => entry !== null);
}
