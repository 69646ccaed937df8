/**
 * Lists of dependencies that are too long for one transaction: pages that are
 * written before the record of the job, which then names them.
 *
 * The version of the list's header keeps writing and removal apart. A page is
 * added, and the record is written, only while the header has the version that
 * the writer saw before it looked which pages exist. Removal first gives the
 * header another version, and every deletion requires that one. So no record
 * ever names a page that is missing, whatever is carried out late, and pages
 * never outlast their header.
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
import { listHeaderKey, listPageKey, listPagesPrefix, liveJobKey } from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import {
  splitIntoPages,
  TRANSACTION_BYTES,
  valueCapacityBytes,
} from '../../records/value-sizes.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

/** A list whose pages all exist for as long as the condition is met. */
export interface StoredDependencyList {
  ref: DependencyListRef;
  condition: Condition;
}

/** A list as its header was read. */
export interface ObservedDependencyList {
  jobId: string;
  token: string;
  /** Version of the header's key. */
  version: number;
  header: DependencyListHeader;
}

/** Another node writes or removes the same list at the same time. */
export class DependencyListContendedError extends Error {
  constructor(jobId: string) {
    super(`the dependency list of job ${jobId} is changed by another node`);
  }
}

/** Hexadecimal digits of a token, which need tell apart no more than the lists of one job. */
const TOKEN_LENGTH = 16;

/** Writes, reads and removes dependency lists. */
export class DependencyLists {
  constructor(private readonly ctx: Pick<ControllerContext, 'state' | 'limits'>) {}

  /**
   * Writes what is missing of the list. The token is a hash of the content, so
   * an attempt continues what earlier ones at any node have written. Throws
   * DependencyListContendedError.
   */
  async write(
    jobId: string,
    ids: readonly string[],
    priority: RequestPriority,
  ): Promise<StoredDependencyList> {
    const { state, limits } = this.ctx;
    const room = valueCapacityBytes(limits);
    const pages = splitIntoPages([...ids].sort(), room, room);
    const token = contentHash(pages);
    const condition = await this.openHeader(jobId, token, pages.length, priority);
    const written = await readPrefix(state, listPagesPrefix(jobId, token), priority);
    const missing = missingPages(jobId, token, pages, written);
    const perTransaction = Math.min(
      limits.changes,
      Math.max(1, Math.floor(TRANSACTION_BYTES / room)),
    );
    for (let from = 0; from < missing.length; from += perTransaction) {
      const part = missing.slice(from, from + perTransaction);
      const result = await state.transact([condition], part, priority);
      if (!result.ok) throw new DependencyListContendedError(jobId);
    }
    return { ref: { token, pages: pages.length }, condition };
  }

  /** The ids of a list; null when it was removed with its ended job. */
  async read(
    jobId: string,
    ref: DependencyListRef,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    const prefix = listPagesPrefix(jobId, ref.token);
    const entries = await readPrefix(this.ctx.state, prefix, priority, signal);
    if (entries.length < ref.pages) return null;
    return entries.flatMap((entry) => decodeJobIds(entry.value));
  }

  /**
   * Removes a list whose job is not live: marks its header, then deletes the
   * pages and at last the header. Stops without an error when the header has
   * another version by now or the job is live; a removal that was interrupted
   * is continued by the next one.
   */
  async remove(
    list: ObservedDependencyList,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<void> {
    const { state, limits } = this.ctx;
    const { jobId, token, header } = list;
    const key = listHeaderKey(jobId, token);
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
    const pages = await readPrefix(state, listPagesPrefix(jobId, token), priority, signal);
    for (let from = 0; from < pages.length; from += limits.changes) {
      const part = pages.slice(from, from + limits.changes);
      const deletions = part.map((entry): Change => ({ op: 'delete', key: entry.key }));
      const deleted = await state.transact([condition], deletions, priority, signal);
      if (!deleted.ok) return;
    }
    await state.transact([condition], [{ op: 'delete', key }], priority, signal);
  }

  /** Makes sure that the header exists and is not being removed; the condition holds while it stays so. */
  private async openHeader(
    jobId: string,
    token: string,
    pages: number,
    priority: RequestPriority,
  ): Promise<Condition> {
    const { state } = this.ctx;
    const key = listHeaderKey(jobId, token);
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

/** The changes that add the pages which do not exist yet. */
function missingPages(
  jobId: string,
  token: string,
  pages: readonly string[][],
  written: readonly { key: string }[],
): Change[] {
  const writtenKeys = new Set(written.map((entry) => entry.key));
  return pages
    .map((ids, page): Change => {
      const key = listPageKey(jobId, token, page);
      return { op: 'put', key, value: encodeJobIds(ids) };
    })
    .filter((change) => !writtenKeys.has(change.key));
}

function contentHash(pages: readonly string[][]): string {
  return createHash('sha256').update(JSON.stringify(pages)).digest('hex').slice(0, TOKEN_LENGTH);
}
