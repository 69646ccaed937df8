/**
 * A page of the roster, the machines that tasks may have been assigned to.
 *
 * - Keys: `roster/<page>`. This version names its pages `<term>-<number>`.
 * - Access: The leader writes and removes pages. The next leader reads them on failover,
 *   since it has to contact these machines before it assigns their tasks to others.
 * - Absence: An entry has all fields. A key is absent once all machines of the page are
 *   terminated.
 * - Versions: The earliest versions stored each machine under `roster/<machine>`, as an
 *   entry without `id` and, in the first of them, without `address`.
 */

import type { RosterEntry } from '../model/machine.js';
import { isObject } from '../protocol/json-fields.js';

/** The stored form of `RosterEntry`, with the same fields. */
export interface StoredRosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

/** The stored form of a page. */
export interface StoredRosterPage {
  machines: StoredRosterEntry[];
}

/** Returns the stored form of one machine. */
export function encodeRosterEntry(entry: RosterEntry): StoredRosterEntry {
  return {
    id: entry.id,
    type: entry.type,
    zone: entry.zone,
    spot: entry.spot,
    address: entry.address,
  };
}

/** Returns the stored form of a page with these machines. */
export function encodeRosterPage(entries: readonly RosterEntry[]): StoredRosterPage {
  return { machines: entries.map(encodeRosterEntry) };
}

/**
 * Returns null when the value is not an object. So that no machine is lost, malformed
 * fields are replaced: `id`, `type` and `zone` are converted to strings, `spot` becomes
 * false and `address` becomes empty.
 */
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
 * Returns the machines of a page. `page` is the part of the key after the prefix. A
 * value without a list `machines` is decoded as one machine with the id `page`, because
 * a machine that may have tasks must not be lost. Items of the list that are not objects
 * are dropped.
 */
export function decodeRosterPage(page: string, value: unknown): RosterEntry[] {
  const stored = isObject(value) ? value : {};
  const storedEntries: unknown[] = Array.isArray(stored.machines)
    ? stored.machines
    : [{ ...stored, id: page }];
  return storedEntries.map(decodeRosterEntry).filter((entry) => entry !== null);
}
