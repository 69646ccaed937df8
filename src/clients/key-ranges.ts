import type { Entry } from '../protocol/key-value-protocol.js';
import type { RequestPriority } from '../runtime/request-budget.js';
import type { KeyValueStore } from './key-value-store.js';

/** Up to this many keys are read one by one, at the same time; more of them in ranges. */
export const SINGLE_READS = 8;

/** All keys with the prefix, in their order; what changes meanwhile may or may not show. */
export async function readPrefix(
  state: Pick<KeyValueStore, 'listPage'>,
  prefix: string,
  priority: RequestPriority,
  signal?: AbortSignal,
): Promise<Entry[]> {
  const entries: Entry[] = [];
  let after: string | null = null;
  for (;;) {
    const page: Awaited<ReturnType<KeyValueStore['listPage']>> = await state.listPage(
      prefix,
      after,
      signal,
      priority,
    );
    entries.push(...page.entries);
    const last = page.entries.at(-1);
    if (!page.more || !last) return entries;
    after = last.key;
  }
}

/**
 * Those of the keys that stand. Many are read in pages of the range that they
 * lie in, which takes a request for each page instead of one for each key.
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
    const from = startOf(sorted[next] as string, after);
    const page = await state.listPage(prefix, from, signal, priority);
    for (const entry of page.entries) if (wanted.has(entry.key)) found.set(entry.key, entry);
    const last = page.entries.at(-1);
    if (!page.more || !last) return found;
    after = last.key;
    next = firstAfter(sorted, next, after);
  }
  return found;
}

/** After which key a page begins that is to show this one, and nothing up to `after` again. */
function startOf(key: string, after: string): string {
  // Without its last character a key stands before itself, and few others stand between the two.
  const before = key.slice(0, -1);
  return before > after ? before : after;
}

/** Where in the sorted keys the first one stands, at `from` or later, that comes after the given one. */
function firstAfter(sorted: readonly string[], from: number, after: string): number {
  let next = from;
  while (next < sorted.length && (sorted[next] as string) <= after) next++;
  return next;
}
