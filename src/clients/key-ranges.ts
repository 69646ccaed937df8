/** Reading of many keys of the state service: all under a prefix, or a chosen set. */
import type { Entry, EntryPage } from '../protocol/key-value-protocol.js';
import type { RequestPriority } from '../runtime/request-budget.js';
import type { KeyValueStore } from './key-value-store.js';

/** Up to this many keys are read one by one, at the same time; more of them in ranges. */
export const SINGLE_READS = 8;

/** All entries under the prefix, in the order of keys; what changes meanwhile may or may not show. */
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
 * Entries by key, of those keys that exist; all of them have the prefix. Many
 * are read in pages of the range that they lie in, which takes a request for
 * each page instead of one for each key.
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
  let next = 0;
  let after = '';
  while (next < sorted.length) {
    const from = pageStart(sorted[next] as string, after);
    const page = await state.listPage(prefix, from, signal, priority);
    for (const entry of page.entries) if (wanted.has(entry.key)) found.set(entry.key, entry);
    const last = page.entries.at(-1);
    if (!page.more || !last) return found;
    after = last.key;
    next = indexAfter(sorted, next, after);
  }
  return found;
}

/** The key after which a page has to begin to show this one, and nothing up to `after` again. */
function pageStart(key: string, after: string): string {
  // A key without its last character sorts before the key itself, and few others lie between the two.
  const before = key.slice(0, -1);
  return before > after ? before : after;
}

/** The index, from `from` on, of the first of the sorted keys that comes after the given one. */
function indexAfter(sorted: readonly string[], from: number, after: string): number {
  let next = from;
  while (next < sorted.length && (sorted[next] as string) <= after) next++;
  return next;
}
