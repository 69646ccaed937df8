/** Reads many keys of the state service: all under a prefix, or a given set. */
import type { Entry, EntryPage } from '../protocol/key-value-protocol.js';
import type { RequestPriority } from '../runtime/request-budget.js';
import type { KeyValueStore } from './key-value-store.js';

/** Up to this many keys are read concurrently with one request for each key; more are read in pages. */
export const SINGLE_READS = 8;

/** Returns all entries under the prefix, in key order. Changes made during the read may or may not be included. */
export async function readPrefix(
  state: Pick<KeyValueStore, 'listPage'>,
  prefix: string,
  priority: RequestPriority,
  signal?: AbortSignal,
): Promise<Entry[]> {
  const entries: Entry[] = [];
  let after: string | null = null;
  for (;;) {
    const page: EntryPage = await state.listPage(prefix, after, signal, priority);
    entries.push(...page.entries);
    const last = page.entries.at(-1);
    if (!page.more || !last) return entries;
    after = last.key;
  }
}

/**
 * Returns the entries of those keys that exist, by key. All keys must have the
 * prefix. More than `SINGLE_READS` keys are read in pages of the key range that
 * contains them, which takes one request for each page instead of each key.
 */
export async function readKeys(
  state: Pick<KeyValueStore, 'get' | 'listPage'>,
  prefix: string,
  keys: readonly string[],
  priority: RequestPriority,
  signal?: AbortSignal,
): Promise<Map<string, Entry>> {
  const found = new Map<string, Entry>();
  if (keys.length <= SINGLE_READS) {
    const entries = await Promise.all(keys.map((key) => state.get(key, priority, signal)));
    for (const entry of entries) if (entry) found.set(entry.key, entry);
    return found;
  }
  const wanted = new Set(keys);
  const sorted = [...wanted].sort();
  let nextIndex = 0;
  let after = '';
  while (nextIndex < sorted.length) {
    const pageAfter = pageStart(sorted[nextIndex] as string, after);
    const page = await state.listPage(prefix, pageAfter, signal, priority);
    for (const entry of page.entries) if (wanted.has(entry.key)) found.set(entry.key, entry);
    const last = page.entries.at(-1);
    if (!page.more || !last) return found;
    after = last.key;
    nextIndex = indexAfter(sorted, nextIndex, after);
  }
  return found;
}

/** Returns the key after which a page must begin to include `key` but no entry up to `after`. */
function pageStart(key: string, after: string): string {
  // A key without its last character sorts before the key itself, and few others lie between the two.
  const keyBefore = key.slice(0, -1);
  return keyBefore > after ? keyBefore : after;
}

/** Returns the index, at or beyond `from`, of the first key that sorts after `after`, or the array's length. */
function indexAfter(sorted: readonly string[], from: number, after: string): number {
  let index = from;
  while (index < sorted.length && (sorted[index] as string) <= after) index++;
  return index;
}
