import { readKeys } from '../../clients/key-ranges.js';
import type { TransactionResult } from '../../clients/key-value-store.js';
import type { JobSpec } from '../../model/job.js';
import type { Change, Condition, Entry } from '../../protocol/key-value-protocol.js';
import { decodeJobIds, encodeJobIds } from '../../records/dependency-list-record.js';
import { decodeJobEnd, type EndedJobRecord, encodeJobEnd } from '../../records/job-end-record.js';
import { decodeLiveJob, encodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import {
  dependencyPageKey,
  ENDED_JOB_PREFIX,
  endedJobKey,
  LIVE_JOB_PREFIX,
  liveJobKey,
} from '../../records/keys.js';
import { mapObject } from '../../records/stored-form.js';
import { bytesOf, paged, TRANSACTION_BYTES, valueRoom } from '../../records/value-sizes.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencyLists } from './dependency-lists.js';

export type { LiveJobRecord } from '../../records/job-record.js';

export interface LiveJob {
  live: true;
  record: LiveJobRecord;
  version: number;
}

export interface EndedJob {
  live: false;
  record: EndedJobRecord;
  version: number;
}

export type StoredJob = LiveJob | EndedJob;

/** The job takes more room than the state service has for it. */
export class JobTooLargeError extends Error {}

export function hasDependencies(record: LiveJobRecord): boolean {
  return (record.dependencies?.length ?? 0) > 0 || (record.dependencyPages ?? 0) > 0;
}

/** Whether all that the job needs stands in its record. */
export function hasInlineDependencies(record: LiveJobRecord): boolean {
  return (record.dependencyPages ?? 0) === 0 && record.dependencyList === undefined;
}

/** A name that no job has, for versions that do not know of lists. */
function placeholder(id: string): string {
  return `${id}/list`;
}

/** Jobs in the state service: how they are found, accepted and cancelled. */
export class JobStore {
  private readonly dependencyLists: DependencyLists;

  constructor(private readonly ctx: Pick<ControllerContext, 'state' | 'limits'>) {
    this.dependencyLists = new DependencyLists(ctx);
  }

  /** The live key is looked up first: an end moves it, so a job can't slip between the two reads. */
  async find(
    id: string,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<StoredJob | null> {
    const live = await this.ctx.state.get(liveJobKey(id), priority, signal);
    if (live) return liveJob(live);
    return this.findEnd(id, priority, signal);
  }

  async findEnd(
    id: string,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<EndedJob | null> {
    const over = await this.ctx.state.get(endedJobKey(id), priority, signal);
    return over && endedJob(over);
  }

  /** Those of the jobs that were ever accepted, looked up like one. */
  async findMany(
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, StoredJob>> {
    const found = new Map<string, StoredJob>();
    const live = await this.entries(LIVE_JOB_PREFIX, ids, priority, signal);
    for (const [id, entry] of live) found.set(id, liveJob(entry));
    const rest = ids.filter((id) => !found.has(id));
    for (const [id, job] of await this.findEnds(rest, priority, signal)) found.set(id, job);
    return found;
  }

  /** Those of the jobs that have ended. */
  async findEnds(
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, EndedJob>> {
    const ends = await this.entries(ENDED_JOB_PREFIX, ids, priority, signal);
    return new Map([...ends].map(([id, entry]) => [id, endedJob(entry)]));
  }

  private async entries(
    prefix: string,
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, Entry>> {
    const keys = ids.map((id) => prefix + id);
    const found = await readKeys(this.ctx.state, prefix, keys, priority, signal);
    return new Map([...found].map(([key, entry]) => [key.slice(prefix.length), entry]));
  }

  /** All ids of jobs that it needs; null when a page has gone with its job. */
  async dependenciesOf(
    id: string,
    record: LiveJobRecord,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<string[] | null> {
    if (record.dependencyList)
      return this.dependencyLists.read(id, record.dependencyList, priority, signal);
    const ids = [...(record.dependencies ?? [])];
    for (let page = 0; page < (record.dependencyPages ?? 0); page++) {
      const entry = await this.ctx.state.get(dependencyPageKey(id, page), priority, signal);
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
    record: LiveJobRecord,
    pending: readonly string[],
    named: readonly string[],
    priority: RequestPriority,
  ): Promise<TransactionResult> {
    const { id } = record.spec;
    const creation = this.creation(record, pending);
    if (creation) return this.ctx.state.transact(absent(id), creation, priority);
    const { ref, condition } = await this.dependencyLists.write(id, named, RequestPriority.ends);
    const value: LiveJobRecord = {
      ...record,
      dependencies: [placeholder(id)],
      dependencyList: ref,
    };
    return this.ctx.state.transact(
      [...absent(id), condition],
      [{ op: 'put', key: liveJobKey(id), value: encodeLiveJob(value) }],
      priority,
    );
  }

  /** Accepts the job as already cancelled unless its id is known. */
  createCancelled(spec: JobSpec, priority: RequestPriority): Promise<TransactionResult> {
    const value = encodeJobEnd({ state: 'cancelled', at: null }, spec.tasks);
    return this.ctx.state.transact(
      absent(spec.id),
      [{ op: 'put', key: endedJobKey(spec.id), value }],
      priority,
    );
  }

  /** Cancels the job unless it has ended or changed meanwhile. */
  cancel(job: LiveJob, priority: RequestPriority): Promise<TransactionResult> {
    const { id, tasks } = job.record.spec;
    return this.ctx.state.transact(
      [
        { key: liveJobKey(id), version: job.version },
        { key: endedJobKey(id), version: 0 },
      ],
      [
        {
          op: 'put',
          key: endedJobKey(id),
          value: encodeJobEnd({ state: 'cancelled', at: null }, tasks),
        },
        { op: 'delete', key: liveJobKey(id) },
      ],
      priority,
    );
  }

  /** The record, and pages for the ids that it has no room for; null when one transaction has not. */
  private creation(record: LiveJobRecord, upstream: readonly string[]): Change[] | null {
    const { id } = record.spec;
    const { limits } = this.ctx;
    const room = valueRoom(limits);
    const base: LiveJobRecord =
      upstream.length === 0
        ? record
        : { ...record, dependencies: [placeholder(id)], dependencyPages: limits.changes };
    const baseBytes = bytesOf(encodeLiveJob(base));
    if (baseBytes > room) throw new JobTooLargeError('the description of the job is too large');
    const [first = [], ...further] = paged(upstream, room - baseBytes, room);
    if (further.length + 1 > limits.changes) return null;
    if (further.length * room > TRANSACTION_BYTES - room) return null;
    const value: LiveJobRecord = {
      ...record,
      ...(first.length > 0 ? { dependencies: first } : {}),
      ...(further.length > 0 ? { dependencyPages: further.length } : {}),
    };
    return [
      { op: 'put', key: liveJobKey(id), value: encodeLiveJob(value) },
      ...further.map(
        (ids, page): Change => ({
          op: 'put',
          key: dependencyPageKey(id, page),
          value: encodeJobIds(ids),
        }),
      ),
    ];
  }
}

function liveJob(entry: Entry): LiveJob {
  return { live: true, record: mapObject(entry.value, decodeLiveJob), version: entry.version };
}

function endedJob(entry: Entry): EndedJob {
  return { live: false, record: mapObject(entry.value, decodeJobEnd), version: entry.version };
}

function absent(id: string): Condition[] {
  return [
    { key: liveJobKey(id), version: 0 },
    { key: endedJobKey(id), version: 0 },
  ];
}
