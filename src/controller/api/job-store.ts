import { readKeys } from '../../clients/key-ranges.js';
import type { Transaction } from '../../clients/state-client.js';
import type { JobSpec } from '../../model/model.js';
import type { Change, Condition, Entry } from '../../protocol/store.js';
import { decodeJobIds, encodeJobIds } from '../../records/dependency-list-record.js';
import { decodeJobEnd, encodeJobEnd, type OverRecord } from '../../records/job-end-record.js';
import { decodeLiveRecord, encodeLiveRecord, type LiveRecord } from '../../records/job-record.js';
import { LIVE_PREFIX, liveKey, OVER_PREFIX, overKey, upstreamKey } from '../../records/keys.js';
import { mapObject } from '../../records/stored-form.js';
import { bytesOf, paged, TRANSACTION_BYTES, valueRoom } from '../../records/value-sizes.js';
import { Priority } from '../../runtime/request-budget.js';
import type { Context } from '../context.js';
import { UpstreamLists } from './dependency-lists.js';

export type { LiveRecord } from '../../records/job-record.js';

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

export type StoredJob = LiveJob | EndedJob;

/** The job takes more room than the state service has for it. */
export class TooLarge extends Error {}

export function needsOthers(record: LiveRecord): boolean {
  return (record.upstream?.length ?? 0) > 0 || (record.upstreamPages ?? 0) > 0;
}

/** Whether all that the job needs stands in its record. */
export function isListedInRecord(record: LiveRecord): boolean {
  return (record.upstreamPages ?? 0) === 0 && record.upstreamList === undefined;
}

/** A name that no job has, for versions that do not know of lists. */
function placeholder(id: string): string {
  return `${id}/list`;
}

/** Jobs in the state service: how they are found, accepted and cancelled. */
export class JobStore {
  private readonly lists: UpstreamLists;

  constructor(private readonly ctx: Pick<Context, 'state' | 'limits'>) {
    this.lists = new UpstreamLists(ctx);
  }

  /** The live key is looked up first: an end moves it, so a job can't slip between the two reads. */
  async find(id: string, priority: Priority, signal?: AbortSignal): Promise<StoredJob | null> {
    const live = await this.ctx.state.get(liveKey(id), priority, signal);
    if (live) return liveJob(live);
    return this.findEnd(id, priority, signal);
  }

  async findEnd(id: string, priority: Priority, signal?: AbortSignal): Promise<EndedJob | null> {
    const over = await this.ctx.state.get(overKey(id), priority, signal);
    return over && endedJob(over);
  }

  /** Those of the jobs that were ever accepted, looked up like one. */
  async findMany(
    ids: readonly string[],
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<Map<string, StoredJob>> {
    const found = new Map<string, StoredJob>();
    const live = await this.entries(LIVE_PREFIX, ids, priority, signal);
    for (const [id, entry] of live) found.set(id, liveJob(entry));
    const rest = ids.filter((id) => !found.has(id));
    for (const [id, job] of await this.findEnds(rest, priority, signal)) found.set(id, job);
    return found;
  }

  /** Those of the jobs that have ended. */
  async findEnds(
    ids: readonly string[],
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<Map<string, EndedJob>> {
    const ends = await this.entries(OVER_PREFIX, ids, priority, signal);
    return new Map([...ends].map(([id, entry]) => [id, endedJob(entry)]));
  }

  private async entries(
    prefix: string,
    ids: readonly string[],
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<Map<string, Entry>> {
    const keys = ids.map((id) => prefix + id);
    const found = await readKeys(this.ctx.state, prefix, keys, priority, signal);
    return new Map([...found].map(([key, entry]) => [key.slice(prefix.length), entry]));
  }

  /** All ids of jobs that it needs; null when a page has gone with its job. */
  async upstreamOf(
    id: string,
    record: LiveRecord,
    priority: Priority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    if (record.upstreamList) return this.lists.read(id, record.upstreamList, priority, signal);
    const ids = [...(record.upstream ?? [])];
    for (let page = 0; page < (record.upstreamPages ?? 0); page++) {
      const entry = await this.ctx.state.get(upstreamKey(id, page), priority, signal);
      if (!entry) return null;
      ids.push(...decodeJobIds(entry.value));
    }
    return ids;
  }

  /**
   * Accepts the job unless its id is known, with those of the jobs that it
   * names that were not done. When one transaction has no room for these, all
   * that it names is written to a list first: unlike what is pending, that is
   * the same in each repetition, which so continues what is written already.
   * Throws TooLarge when the job's description can't be stored.
   */
  async create(
    record: LiveRecord,
    pending: readonly string[],
    named: readonly string[],
    priority: Priority,
  ): Promise<Transaction> {
    const { id } = record.spec;
    const creation = this.creation(record, pending);
    if (creation) return this.ctx.state.transact(absent(id), creation, priority);
    const { ref, condition } = await this.lists.write(id, named, Priority.ends);
    const value: LiveRecord = { ...record, upstream: [placeholder(id)], upstreamList: ref };
    return this.ctx.state.transact(
      [...absent(id), condition],
      [{ op: 'put', key: liveKey(id), value: encodeLiveRecord(value) }],
      priority,
    );
  }

  /** Accepts the job as already cancelled unless its id is known. */
  createCancelled(spec: JobSpec, priority: Priority): Promise<Transaction> {
    const value = encodeJobEnd({ state: 'cancelled', at: null }, spec.tasks);
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
        {
          op: 'put',
          key: overKey(id),
          value: encodeJobEnd({ state: 'cancelled', at: null }, tasks),
        },
        { op: 'delete', key: liveKey(id) },
      ],
      priority,
    );
  }

  /** The record, and pages for the ids that it has no room for; null when one transaction has not. */
  private creation(record: LiveRecord, upstream: readonly string[]): Change[] | null {
    const { id } = record.spec;
    const { limits } = this.ctx;
    const room = valueRoom(limits);
    const base: LiveRecord =
      upstream.length === 0
        ? record
        : { ...record, upstream: [placeholder(id)], upstreamPages: limits.changes };
    const baseBytes = bytesOf(encodeLiveRecord(base));
    if (baseBytes > room) throw new TooLarge('the description of the job is too large');
    const [first = [], ...further] = paged(upstream, room - baseBytes, room);
    if (further.length + 1 > limits.changes) return null;
    if (further.length * room > TRANSACTION_BYTES - room) return null;
    const value: LiveRecord = {
      ...record,
      ...(first.length > 0 ? { upstream: first } : {}),
      ...(further.length > 0 ? { upstreamPages: further.length } : {}),
    };
    return [
      { op: 'put', key: liveKey(id), value: encodeLiveRecord(value) },
      ...further.map(
        (ids, page): Change => ({
          op: 'put',
          key: upstreamKey(id, page),
          value: encodeJobIds(ids),
        }),
      ),
    ];
  }
}

function liveJob(entry: Entry): LiveJob {
  return { live: true, record: mapObject(entry.value, decodeLiveRecord), version: entry.version };
}

function endedJob(entry: Entry): EndedJob {
  return { live: false, record: mapObject(entry.value, decodeJobEnd), version: entry.version };
}

function absent(id: string): Condition[] {
  return [
    { key: liveKey(id), version: 0 },
    { key: overKey(id), version: 0 },
  ];
}
