import type { Priority } from '../clients/budget.js';
import type { Transaction } from '../clients/state.js';
import { type OverRecord, overRecord } from '../core/flush.js';
import { liveKey, overKey, upstreamKey } from '../core/keys.js';
import type { JobSpec } from '../core/model.js';
import type { Change } from '../protocol/store.js';
import type { Context } from './context.js';

/** A job as its live key holds it. Earlier versions read spec and time alone. */
export interface LiveRecord {
  spec: JobSpec;
  /** Time of day of its acceptance. */
  at: number;
  /** Jobs that it needs and that were not done when it was accepted. */
  upstream?: string[];
  /** Further ids of such jobs stand in this many pages of their own. */
  upstreamPages?: number;
}

export interface LiveJob {
  live: true;
  record: LiveRecord;
  version: number;
}

export interface EndedJob {
  live: false;
  record: OverRecord;
  version: number;
}

/** The job takes more room than the state service has for it. */
export class TooLarge extends Error {}

/** The part of a value that a record or page may fill. */
const VALUE_SHARE = 0.9;
/** All that one transaction may hold, with room for its frame (protocol). */
const TRANSACTION_BYTES = 56 * 1024;

export function needsOthers(record: LiveRecord): boolean {
  return (record.upstream?.length ?? 0) > 0 || (record.upstreamPages ?? 0) > 0;
}

/** Jobs in the state service: how they are found, accepted and cancelled. */
export class JobStore {
  constructor(private readonly ctx: Pick<Context, 'state' | 'limits'>) {}

  /** The live key is looked up first: an end moves it, so a job can't slip between the two reads. */
  async find(
    id: string,
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<LiveJob | EndedJob | null> {
    const live = await this.ctx.state.get(liveKey(id), priority, signal);
    if (live) return { live: true, record: live.value as LiveRecord, version: live.version };
    return this.findEnd(id, priority, signal);
  }

  async findEnd(id: string, priority: Priority, signal?: AbortSignal): Promise<EndedJob | null> {
    const over = await this.ctx.state.get(overKey(id), priority, signal);
    return over && { live: false, record: over.value as OverRecord, version: over.version };
  }

  /** All ids of jobs that it needs; null when a page has gone with its job. */
  async upstreamOf(
    id: string,
    record: LiveRecord,
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    const ids = [...(record.upstream ?? [])];
    for (let page = 0; page < (record.upstreamPages ?? 0); page++) {
      const entry = await this.ctx.state.get(upstreamKey(id, page), priority, signal);
      if (!entry) return null;
      ids.push(...(entry.value as string[]));
    }
    return ids;
  }

  /** Accepts the job unless its id is known. Throws TooLarge when it can't be stored. */
  create(record: LiveRecord, upstream: readonly string[], priority: Priority) {
    const { id } = record.spec;
    return this.ctx.state.transact(absent(id), this.creation(record, upstream), priority);
  }

  /** Accepts the job as already cancelled unless its id is known. */
  createCancelled(spec: JobSpec, priority: Priority): Promise<Transaction> {
    const value = overRecord({ state: 'cancelled', at: null }, spec.tasks);
    return this.ctx.state.transact(
      absent(spec.id),
      [{ op: 'put', key: overKey(spec.id), value }],
      priority,
    );
  }

  /** Cancels the job unless it has ended or changed meanwhile. */
  cancel(job: LiveJob, priority: Priority): Promise<Transaction> {
    const { id, tasks } = job.record.spec;
    return this.ctx.state.transact(
      [
        { key: liveKey(id), version: job.version },
        { key: overKey(id), version: 0 },
      ],
      [
        { op: 'put', key: overKey(id), value: overRecord({ state: 'cancelled', at: null }, tasks) },
        { op: 'delete', key: liveKey(id) },
      ],
      priority,
    );
  }

  /** The record, and pages for the ids that it has no room for. */
  private creation(record: LiveRecord, upstream: readonly string[]): Change[] {
    const { id } = record.spec;
    const { limits } = this.ctx;
    const room = limits.valueBytes * VALUE_SHARE;
    const base: LiveRecord =
      upstream.length === 0 ? record : { ...record, upstream: [], upstreamPages: limits.changes };
    const baseBytes = bytesOf(base);
    if (baseBytes > room) throw new TooLarge('the description of the job is too large');
    const [first = [], ...further] = paged(upstream, room - baseBytes, room);
    if (further.length + 1 > limits.changes || further.length * room > TRANSACTION_BYTES - room)
      throw new TooLarge('the job names more jobs than can be kept');
    const value: LiveRecord = {
      ...record,
      ...(first.length > 0 ? { upstream: first } : {}),
      ...(further.length > 0 ? { upstreamPages: further.length } : {}),
    };
    return [
      { op: 'put', key: liveKey(id), value },
      ...further.map(
        (ids, page): Change => ({ op: 'put', key: upstreamKey(id, page), value: ids }),
      ),
    ];
  }
}

function absent(id: string) {
  return [
    { key: liveKey(id), version: 0 },
    { key: overKey(id), version: 0 },
  ];
}

function bytesOf(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value));
}

/** The ids in order, in pages of which the first has less room. */
function paged(ids: readonly string[], firstRoom: number, room: number): string[][] {
  const pages: string[][] = [[]];
  let left = firstRoom;
  for (const id of ids) {
    const bytes = bytesOf(id) + 1;
    if (bytes > left) {
      pages.push([]);
      left = room - 2;
    }
    left -= bytes;
    pages.at(-1)?.push(id);
  }
  return pages;
}
