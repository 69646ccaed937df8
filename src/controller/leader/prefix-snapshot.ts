/**
 * Reads all keys below a prefix for a leader, page by page, and retries each page
 * until the read succeeds.
 */
import type { Entry } from '../../protocol/key-value-protocol.js';
import type { ControllerContext } from '../context.js';
import { retry } from '../retry.js';

/** All entries below a prefix. */
export interface PrefixSnapshot {
  entries: Entry[];
  /**
   * Revision of the first page. Later pages may already show later changes; a watch
   * from this revision reports these changes again and misses none.
   */
  revision: number;
}

type Page = Awaited<ReturnType<ControllerContext['state']['listPage']>>;

/**
 * Returns all entries below the prefix, in key order. Throws `AbortedError` once
 * the signal is aborted.
 */
export async function readPrefixSnapshot(
  ctx: ControllerContext,
  prefix: string,
  signal: AbortSignal,
): Promise<PrefixSnapshot> {
  const entries: Entry[] = [];
  let after: string | null = null;
  let revision: number | null = null;
  for (;;) {
    const startAfter: string | null = after;
    const page: Page = await retry(ctx, signal, (callSignal) =>
      ctx.state.listPage(prefix, startAfter, callSignal),
    );
    revision ??= page.revision;
    entries.push(...page.entries);
    const last = page.entries.at(-1);
    if (!page.more || !last) return { entries, revision };
    after = last.key;
  }
}
