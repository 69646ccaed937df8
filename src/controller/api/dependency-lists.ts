import { createHash } from 'node:crypto';
import { readPrefix } from '../../clients/key-ranges.js';
import type { Change, Condition } from '../../protocol/key-value-protocol.js';
import {
  type DependencyListHeader,
  decodeDependencyListHeader,
  decodeJobIds,
  encodeDependencyListHeader,
  encodeJobIds,
  encodeRemoval,
} from '../../records/dependency-list-record.js';
import type { DependencyListRef } from '../../records/job-record.js';
import { listHeaderKey, listPageKey, listPagesPrefix } from '../../records/keys.js';
import { mapObject } from '../../records/stored-form.js';
import { paged, TRANSACTION_BYTES, valueRoom } from '../../records/value-sizes.js';
import type { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';

/** A list of which every page stands, for as long as the condition holds. */
export interface StoredDependencyList {
  ref: DependencyListRef;
  condition: Condition;
}

/** The list is being written or removed by another node at the same time. */
export class DependencyListContendedError extends Error {}

/** Hexadecimal digits of a token: lists of one job are told apart by it, nothing else. */
const TOKEN_LENGTH = 16;

/**
 * Lists of upstream jobs that are too long for one transaction: pages that are
 * written before the job's record, which names them.
 *
 * The header's version is what keeps writing and removal apart. A page is
 * added, and the record is written, only while the header has the version that
 * the writer saw before it looked which pages stand. Removal first gives the
 * header another version, and every deletion requires that one. So a record
 * never names a page that is missing, whatever is carried out late, and pages
 * never outlive their header.
 */
export class DependencyLists {
  constructor(private readonly ctx: Pick<ControllerContext, 'state' | 'limits'>) {}

  /** Writes what is missing of the list. What earlier attempts at any node have written counts. */
  async write(
    job: string,
    ids: readonly string[],
    priority: RequestPriority,
  ): Promise<StoredDependencyList> {
    const room = valueRoom(this.ctx.limits);
    const pages = paged([...ids].sort(), room, room);
    const token = contentHash(pages);
    const condition = await this.openHeader(job, token, pages.length, priority);
    const prefix = listPagesPrefix(job, token);
    const standing = new Set(
      (await readPrefix(this.ctx.state, prefix, priority)).map((entry) => entry.key),
    );
    const missing = pages
      .map((page, number): Change => {
        const key = listPageKey(job, token, number);
        return { op: 'put', key, value: encodeJobIds(page) };
      })
      .filter((change) => !standing.has(change.key));
    const perTransaction = Math.min(
      this.ctx.limits.changes,
      Math.max(1, Math.floor(TRANSACTION_BYTES / room)),
    );
    for (let from = 0; from < missing.length; from += perTransaction) {
      const part = missing.slice(from, from + perTransaction);
      const written = await this.ctx.state.transact([condition], part, priority);
      if (!written.ok) throw new DependencyListContendedError(job);
    }
    return { ref: { token, pages: pages.length }, condition };
  }

  /** The ids of a list; null when it has gone with its job. */
  async read(
    job: string,
    ref: DependencyListRef,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    const prefix = listPagesPrefix(job, ref.token);
    const entries = await readPrefix(this.ctx.state, prefix, priority, signal);
    if (entries.length < ref.pages) return null;
    return entries.flatMap((entry) => decodeJobIds(entry.value));
  }

  /** Removes a list whose job is not live, as far as the header still has this version. */
  async remove(
    job: string,
    token: string,
    header: { version: number; value: DependencyListHeader },
    liveKey: string,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<void> {
    const { state, limits } = this.ctx;
    const key = listHeaderKey(job, token);
    let { version } = header;
    if (!header.value.removing) {
      const value = encodeRemoval(header.value);
      const marked = await state.transact(
        [
          { key, version },
          { key: liveKey, version: 0 },
        ],
        [{ op: 'put', key, value }],
        priority,
        signal,
      );
      if (!marked.ok) return;
      version = marked.revision;
    }
    const condition: Condition = { key, version };
    const pages = await readPrefix(state, listPagesPrefix(job, token), priority, signal);
    for (let from = 0; from < pages.length; from += limits.changes) {
      const part = pages.slice(from, from + limits.changes);
      const deletions = part.map((entry): Change => ({ op: 'delete', key: entry.key }));
      const deleted = await state.transact([condition], deletions, priority, signal);
      if (!deleted.ok) return;
    }
    await state.transact([condition], [{ op: 'delete', key }], priority, signal);
  }

  /** Makes sure that the header stands and is not being removed. */
  private async openHeader(
    job: string,
    token: string,
    pages: number,
    priority: RequestPriority,
  ): Promise<Condition> {
    const { state } = this.ctx;
    const key = listHeaderKey(job, token);
    const found = await state.get(key, priority);
    if (found && !mapObject(found.value, decodeDependencyListHeader).removing)
      return { key, version: found.version };
    const value = encodeDependencyListHeader({ pages });
    const written = await state.transact(
      [{ key, version: found?.version ?? 0 }],
      [{ op: 'put', key, value }],
      priority,
    );
    if (!written.ok) throw new DependencyListContendedError(job);
    return { key, version: written.revision };
  }
}

function contentHash(pages: readonly string[][]): string {
  return createHash('sha256').update(JSON.stringify(pages)).digest('hex').slice(0, TOKEN_LENGTH);
}
