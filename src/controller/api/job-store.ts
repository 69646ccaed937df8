/**
 * Jobs in the state service: lookup, acceptance and cancellation.
 *
 * A job has one of two keys: `live/<id>` from its acceptance, `over/<id>` from
 * its end. Each transaction is a compare-and-swap over both keys, so a repeated
 * request, or one that the state service applies late, changes nothing:
 *
 * | transaction | condition | repeated or late |
 * | --- | --- | --- |
 * | accept | both keys absent | fails: the id is in use, live or ended |
 * | accept as cancelled | both keys absent | the same |
 * | cancel | the live key at the version that was read, no ended key | fails: the job has ended |
 *
 * The end of a job is never rewritten, and ids are never reused. The leader also
 * ends jobs on the condition that the live key has the version that was read, so
 * of two concurrent ends only one is written.
 */
import { readKeys } from '../../clients/key-ranges.js';
import type { TransactionResult } from '../../clients/key-value-store.js';
import type { JobSpec } from '../../model/job.js';
import type { Condition, Entry } from '../../protocol/key-value-protocol.js';
import { decodeJobIds } from '../../records/dependency-list-record.js';
import { decodeJobEnd, type EndedJobRecord, encodeJobEnd } from '../../records/job-end-record.js';
import { decodeLiveJob, encodeLiveJob, type LiveJobRecord } from '../../records/job-record.js';
import {
  dependencyPageKey,
  ENDED_JOB_PREFIX,
  endedJobKey,
  LIVE_JOB_PREFIX,
  liveJobKey,
} from '../../records/keys.js';
import { mapIfObject } from '../../records/stored-form.js';
import { RequestPriority } from '../../runtime/request-budget.js';
import type { ControllerContext } from '../context.js';
import { DependencyLists } from './dependency-lists.js';
import {
  creationChanges,
  dependencyListPlaceholder,
  type SubmittedDependencies,
} from './job-creation.js';

/** An accepted job that has not ended. */
export interface LiveJob {
  live: true;
  record: LiveJobRecord;
  /** Version of its live key. */
  version: number;
}

/** A job that is done or cancelled; both states are final. */
export interface EndedJob {
  live: false;
  record: EndedJobRecord;
  /** Version of its ended key: the revision at which it ended. */
  version: number;
}

/** A job as stored under one of its keys. */
export type StoredJob = LiveJob | EndedJob;

/** A job that was live has neither key, so the state service has lost its end. */
export class MissingJobEndError extends Error {
  constructor(id: string) {
    super(`job ${id} is neither live nor ended`);
  }
}

/** Reports whether the job had pending dependencies when it was accepted. */
export function hasDependencies(record: LiveJobRecord): boolean {
  return (record.dependencies?.length ?? 0) > 0 || (record.dependencyPages ?? 0) > 0;
}

/** Reports whether the record itself holds all of the job's dependencies. */
export function hasInlineDependencies(record: LiveJobRecord): boolean {
  return (record.dependencyPages ?? 0) === 0 && record.dependencyList === undefined;
}

/** Reads and writes jobs on any node. Caches nothing. */
export class JobStore {
  private readonly dependencyLists: DependencyLists;

  constructor(private readonly ctx: Pick<ControllerContext, 'state' | 'limits'>) {
    this.dependencyLists = new DependencyLists(ctx);
  }

  /**
   * Returns the job; null when it was never accepted. The live key is read
   * first: an end moves the job from the live to the ended key, so the job can't
   * be missed between the two reads.
   */
  async find(
    id: string,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<StoredJob | null> {
    const live = await this.ctx.state.get(liveJobKey(id), priority, signal);
    if (live) return liveJob(live);
    return this.findEnded(id, priority, signal);
  }

  /** Returns the ended job; null while it has not ended. */
  async findEnded(
    id: string,
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<EndedJob | null> {
    const ended = await this.ctx.state.get(endedJobKey(id), priority, signal);
    return ended && endedJob(ended);
  }

  /** Returns those of the jobs that were ever accepted, by id. Reads live keys first, as `find`. */
  async findMany(
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, StoredJob>> {
    const found = new Map<string, StoredJob>();
    const live = await this.readEntries(LIVE_JOB_PREFIX, ids, priority, signal);
    for (const [id, entry] of live) found.set(id, liveJob(entry));
    const notLive = ids.filter((id) => !found.has(id));
    for (const [id, job] of await this.findManyEnded(notLive, priority, signal)) found.set(id, job);
    return found;
  }

  /** Returns those of the jobs that have ended, by id. */
  async findManyEnded(
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, EndedJob>> {
    const ends = await this.readEntries(ENDED_JOB_PREFIX, ids, priority, signal);
    return new Map([...ends].map(([id, entry]) => [id, endedJob(entry)]));
  }

  /**
   * Returns the ids of all dependencies of a live job; null when the job has
   * ended and a page or list was removed.
   */
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
   * Accepts the job with its pending dependencies unless its id is in use. When
   * one transaction can't hold them, all dependencies of the submission are
   * first written to a list. Unlike the pending ones, these are the same in each
   * repetition of the submission, so a repetition continues what an earlier
   * attempt has written. Throws JobTooLargeError and
   * DependencyListContendedError.
   */
  async create(
    record: LiveJobRecord,
    { pending, all }: SubmittedDependencies,
    priority: RequestPriority,
  ): Promise<TransactionResult> {
    const { id } = record.spec;
    const changes = creationChanges(record, pending, this.ctx.limits);
    if (changes) return this.ctx.state.transact(idUnusedConditions(id), changes, priority);
    const { ref, condition } = await this.dependencyLists.write(
      id,
      all,
      RequestPriority.completions,
    );
    const value: LiveJobRecord = {
      ...record,
      dependencies: [dependencyListPlaceholder(id)],
      dependencyList: ref,
    };
    return this.ctx.state.transact(
      [...idUnusedConditions(id), condition],
      [{ op: 'put', key: liveJobKey(id), value: encodeLiveJob(value) }],
      priority,
    );
  }

  /** Accepts the job as already cancelled unless its id is in use. */
  createCancelled(spec: JobSpec, priority: RequestPriority): Promise<TransactionResult> {
    const value = encodeJobEnd({ state: 'cancelled', at: null }, spec.tasks);
    return this.ctx.state.transact(
      idUnusedConditions(spec.id),
      [{ op: 'put', key: endedJobKey(spec.id), value }],
      priority,
    );
  }

  /** Cancels the job unless it has ended in the meantime. */
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

  private async readEntries(
    prefix: string,
    ids: readonly string[],
    priority: RequestPriority,
    signal?: AbortSignal,
  ): Promise<Map<string, Entry>> {
    const keys = ids.map((id) => prefix + id);
    const found = await readKeys(this.ctx.state, prefix, keys, priority, signal);
    return new Map([...found].map(([key, entry]) => [key.slice(prefix.length), entry]));
  }
}

function liveJob(entry: Entry): LiveJob {
  return { live: true, record: mapIfObject(entry.value, decodeLiveJob), version: entry.version };
}

function endedJob(entry: Entry): EndedJob {
  return { live: false, record: mapIfObject(entry.value, decodeJobEnd), version: entry.version };
}

/** Returns the conditions that hold while no job with this id was ever accepted. */
function idUnusedConditions(id: string): Condition[] {
  return [
    { key: liveJobKey(id), version: 0 },
    { key: endedJobKey(id), version: 0 },
  ];
}
