import type { JobSpec } from '../model/model.js';
import { isObject } from '../protocol/wire.js';
import { mapObject, overForm, rememberForm } from './stored-form.js';

/**
 * The record of an accepted job, `live/<job>`. The node that accepts the job
 * writes it once; its end removes it. Every node reads it. The description of
 * the job in it stands in the records of expected work too.
 */

/** A job's description as it is stored. All versions write all fields. */
export interface StoredJobSpec {
  id: string;
  jobClass: string;
  team: string;
  /** Index into the names of priorities, the highest first. */
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  spread: boolean;
  spot: boolean;
  estimateS: number;
  checkpointS: number;
  saveS: number;
  deadlineS: number | null;
}

const JOB_SPEC_FIELDS: readonly (keyof StoredJobSpec)[] = [
  'id',
  'jobClass',
  'team',
  'rank',
  'tasks',
  'cpus',
  'gpus',
  'memoryGb',
  'image',
  'imageGb',
  'types',
  'zone',
  'oneZone',
  'spread',
  'spot',
  'estimateS',
  'checkpointS',
  'saveS',
  'deadlineS',
];

export function encodeJobSpec(spec: JobSpec): StoredJobSpec {
  return overForm(spec, {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    rank: spec.rank,
    tasks: spec.tasks,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    image: spec.image,
    imageGb: spec.imageGb,
    types: spec.types,
    zone: spec.zone,
    oneZone: spec.oneZone,
    spread: spec.spread,
    spot: spec.spot,
    estimateS: spec.estimateS,
    checkpointS: spec.checkpointS,
    saveS: spec.saveS,
    deadlineS: spec.deadlineS,
  });
}

/** Null: it is no object. */
export function decodeJobSpec(value: unknown): JobSpec | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredJobSpec;
  const spec: JobSpec = {
    id: stored.id,
    jobClass: stored.jobClass,
    team: stored.team,
    rank: stored.rank,
    tasks: stored.tasks,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
    image: stored.image,
    imageGb: stored.imageGb,
    types: stored.types,
    zone: stored.zone,
    oneZone: stored.oneZone,
    spread: stored.spread,
    spot: stored.spot,
    estimateS: stored.estimateS,
    checkpointS: stored.checkpointS,
    saveS: stored.saveS,
    deadlineS: stored.deadlineS,
  };
  rememberForm(spec, value, JOB_SPEC_FIELDS);
  return spec;
}

/** Where a job's record says that its list of upstream jobs stands. */
export interface UpstreamListRef {
  /** Names the content, so that a repeated submission of the same list continues the first one. */
  token: string;
  pages: number;
}

/** The same as it is stored. */
export interface StoredUpstreamListRef {
  token: string;
  pages: number;
}

function encodeListRef(ref: UpstreamListRef): StoredUpstreamListRef {
  return { token: ref.token, pages: ref.pages };
}

function decodeListRef(stored: StoredUpstreamListRef): UpstreamListRef {
  return { token: stored.token, pages: stored.pages };
}

/** An accepted job. */
export interface LiveRecord {
  spec: JobSpec;
  /** Time of day of its acceptance. */
  at: number;
  /** Jobs that it needs and that were not done when it was accepted. */
  upstream?: string[];
  /** Further ids of such jobs stand in this many pages, written together with the record. */
  upstreamPages?: number;
  /**
   * All ids of such jobs stand in a list that was written before the record.
   * `upstream` then holds a name that no job has: a version that does not know
   * of lists waits for it, so that it starts nothing too early.
   */
  upstreamList?: UpstreamListRef;
}

/**
 * An accepted job as its key holds it. Earlier versions write and read `spec`
 * and `at` alone; what a job does not need is absent.
 */
export interface StoredLiveJob {
  spec: StoredJobSpec;
  at: number;
  upstream?: string[];
  upstreamPages?: number;
  upstreamList?: StoredUpstreamListRef;
}

export function encodeLiveRecord(record: LiveRecord): StoredLiveJob {
  const stored: StoredLiveJob = { spec: encodeJobSpec(record.spec), at: record.at };
  if (record.upstream !== undefined) stored.upstream = record.upstream;
  if (record.upstreamPages !== undefined) stored.upstreamPages = record.upstreamPages;
  if (record.upstreamList !== undefined) stored.upstreamList = encodeListRef(record.upstreamList);
  return stored;
}

/** Null: it is no object. Whether it has a description is for the reader to see. */
export function decodeLiveRecord(value: unknown): LiveRecord | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredLiveJob;
  const record: LiveRecord = { spec: mapObject(stored.spec, decodeJobSpec), at: stored.at };
  if (stored.upstream !== undefined) record.upstream = stored.upstream;
  if (stored.upstreamPages !== undefined) record.upstreamPages = stored.upstreamPages;
  if (stored.upstreamList !== undefined)
    record.upstreamList = mapObject(stored.upstreamList, decodeListRef);
  return record;
}
