/**
 * Dependency lists that are too long for one transaction. Their pages are
 * written before the job's record, which refers to the list.
 *
 * The version of the list's header isolates writing from removal. A page is
 * added, and the record is written, only while the header has the version that
 * the writer saw before it checked which pages exist. Removal first gives the
 * header a new version, and every deletion requires that version.
 *
 * So no record ever refers to a missing page, even when requests are applied
 * late, and pages never outlast their header.
 */
import { createHash } from 'node:crypto';
import { readPrefix } from '../../clients/key-ranges.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import {
  type DependencyListHeader,
  decodeDependencyListHeader,
  decodeJobIds,
  encodeDependencyListHeader,
  encodeHeaderInRemoval,
  encodeJobIds,
} from '../../records/dependency-list-record.js';
import type { DependencyListRef } from '../../records/job-record.js';
import {
  dependencyListHeaderKey,
  dependencyListPageKey,
  dependencyListPagesPrefix,
  liveJobKey,
} from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import {
  MAX_TRANSACTION_VALUE_BYTES,
  splitIntoPages,
  valueCapacityBytes,
} from '../../records/value-sizes.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

/** A list whose pages all exist as long as the condition holds. */
export interface StoredDependencyList {
  ref: DependencyListRef;
  condition: Condition;
}

/** A list with its header as it was read. */
export interface ObservedDependencyList {
  jobId: string;
  token: string;
  /** Version of the header's key. */
  version: number;
  header: DependencyListHeader;
}

/** The header of the list was changed concurrently, by another submission or a removal. */
export class DependencyListContendedError extends Error {
  constructor(jobId: string) {
    super(`dependency list of job ${jobId} was changed concurrently`);
  }
}

/** Hexadecimal digits of a token, which only has to distinguish the lists of one job. */
const TOKEN_HEX_DIGITS = 16;

/** Writes, reads and removes dependency lists. */
export class DependencyLists {
  constructor(private readonly ctx: Pick<ControllerContext, 'state' | 'limits'>) {}

  /**
   * Writes the missing pages of the list. The token is a hash of the content, so
   * an attempt continues what earlier ones on any node have written. Throws
   * DependencyListContendedError.
   */
  async write(
    jobId: string,
    ids: readonly string[],
    priority: RequestPriority,
  ): Promise<StoredDependencyList> {
    const { state, limits } = this.ctx;
    const capacityBytes = valueCapacityBytes(limits);
    const pages = splitIntoPages([...ids].sort(), capacityBytes, capacityBytes);
    const token = contentHash(pages);
    const condition = await this.ensureHeader(jobId, token, pages.length, priority);
    const existing = await readPrefix(state, dependencyListPagesPrefix(jobId, token), priority);
    const missing = missingPages(jobId, token, pages, existing);
    const pagesPerTransaction = Math.min(
      limits.changes,
      Math.max(1, Math.floor(MAX_TRANSACTION_VALUE_BYTES / capacityBytes)),
    );
    for (let start = 0; start < missing.length; start += pagesPerTransaction) {
      const batch = missing.slice(start, start + pagesPerTransaction);
      const result = await state.transact([condition], batch, priority);
      if (!result.ok) throw new DependencyListContendedError(jobId);
    }
    return { ref: { token, pages: pages.length }, condition };
  }

  /** Returns the ids of a list; null when it was removed after its job ended. */
  async read(
    jobId: string,
    ref: DependencyListRef,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    const prefix = dependencyListPagesPrefix(jobId, ref.token);
    const entries = await readPrefix(this.ctx.state, prefix, priority, signal);
    if (entries.length < ref.pages) return null;
    return entries.flatMap((entry) => decodeJobIds(entry.value));
  }

  /**
   * Removes a list whose job is not live: marks its header, then deletes the
   * pages and finally the header. Stops without an error when the header has
   * changed or the job is live. An interrupted removal is continued by the next
   * call.
   */
  async remove(
    list: ObservedDependencyList,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<void> {
    const { state, limits } = this.ctx;
    const { jobId, token, header } = list;
    const key = dependencyListHeaderKey(jobId, token);
    let { version } = list;
    if (!header.removing) {
      const marked = await state.transact(
        [
          { key, version },
          { key: liveJobKey(jobId), version: 0 },
        ],
        [{ op: 'put', key, value: encodeHeaderInRemoval(header) }],
        priority,
        signal,
      );
      if (!marked.ok) return;
      version = marked.revision;
    }
    const condition: Condition = { key, version };
    const pages = await readPrefix(
      state,
      dependencyListPagesPrefix(jobId, token),
      priority,
      signal,
    );
    for (let start = 0; start < pages.length; start += limits.changes) {
      const batch = pages.slice(start, start + limits.changes);
      const deletions = batch.map((entry): Change => ({ op: 'delete', key: entry.key }));
      const deleted = await state.transact([condition], deletions, priority, signal);
      if (!deleted.ok) return;
    }
    await state.transact([condition], [{ op: 'delete', key }], priority, signal);
  }

  /**
   * Ensures that the header exists and is not marked for removal. The returned
   * condition holds as long as the header stays unchanged.
   */
  private async ensureHeader(
    jobId: string,
    token: string,
    pages: number,
    priority: RequestPriority,
  ): Promise<Condition> {
    const { state } = this.ctx;
    const key = dependencyListHeaderKey(jobId, token);
    const found = await state.get(key, priority);
    if (found && !mapIfObject(found.value, decodeDependencyListHeader).removing)
      return { key, version: found.version };
    const value = encodeDependencyListHeader({ pages });
    const written = await state.transact(
      [{ key, version: found?.version ?? 0 }],
      [{ op: 'put', key, value }],
      priority,
    );
    if (!written.ok) throw new DependencyListContendedError(jobId);
    return { key, version: written.revision };
  }
}

/** Returns the changes that add the missing pages. */
function missingPages(
  jobId: string,
  token: string,
  pages: readonly string[][],
  existing: readonly { key: string }[],
): Change[] {
  const existingKeys = new Set(existing.map((entry) => entry.key));
  return pages
    .map((ids, page): Change => {
      const key = dependencyListPageKey(jobId, token, page);
      return { op: 'put', key, value: encodeJobIds(ids) };
    })
    .filter((change) => !existingKeys.has(change.key));
}

function contentHash(pages: readonly string[][]): string {
  return createHash('sha256')
    .update(JSON.stringify(pages))
    .digest('hex')
    .slice(0, TOKEN_HEX_DIGITS);
}
