/**
 * An accepted job that has not ended.
 *
 * Keys: `live/<job>`; the version of the key is the job's place in the order of
 * arrival.
 * Written: once, by the controller that accepts the job. Read: by every
 * controller; the leader keeps all of them. Removed: in the transaction that
 * writes the job's end.
 * Absent: what a job without dependencies does not need.
 * Versions: the earliest write and read `spec` and `at` alone; those before long
 * lists do not know `upstreamList`.
 *
 * The job's description in it is stored in demand forecasts too.
 */

import type { JobSpec } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';
import { mapIfObject, mergeIntoStoredForm, rememberStoredForm } from './stored-form.js';

/** A job's description as it is stored. All versions write all fields. */
export interface StoredJobSpec {
  id: string;
  jobClass: string;
  team: string;
  /** The priority: index into the names of priorities, the highest first. */
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

/** The description as it is stored, with fields of other versions that it was read with. */
export function encodeJobSpec(spec: JobSpec): StoredJobSpec {
  return mergeIntoStoredForm(spec, {
    id: spec.id,
    jobClass: spec.jobClass,
    team: spec.team,
    rank: spec.priority,
    tasks: spec.tasks,
    cpus: spec.cpus,
    gpus: spec.gpus,
    memoryGb: spec.memoryGb,
    image: spec.image,
    imageGb: spec.imageGb,
    types: spec.machineTypes,
    zone: spec.zone,
    oneZone: spec.singleZone,
    spread: spec.zoneAntiAffinity,
    spot: spec.allowsSpot,
    estimateS: spec.estimatedDurationS,
    checkpointS: spec.checkpointIntervalS,
    saveS: spec.checkpointCostS,
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
    priority: stored.rank,
    tasks: stored.tasks,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
    image: stored.image,
    imageGb: stored.imageGb,
    machineTypes: stored.types,
    zone: stored.zone,
    singleZone: stored.oneZone,
    zoneAntiAffinity: stored.spread,
    allowsSpot: stored.spot,
    estimatedDurationS: stored.estimateS,
    checkpointIntervalS: stored.checkpointS,
    checkpointCostS: stored.saveS,
    deadlineS: stored.deadlineS,
  };
  rememberStoredForm(spec, value, JOB_SPEC_FIELDS);
  return spec;
}

/** Names the list of a job's dependencies in its record (dependency-list-record). */
export interface DependencyListRef {
  /** Names the content, so that a repeated submission of the same list continues the first one. */
  token: string;
  /** Number of pages of the list. */
  pages: number;
}

/** The same as it is stored. */
export interface StoredDependencyListRef {
  token: string;
  pages: number;
}

function encodeDependencyListRef(ref: DependencyListRef): StoredDependencyListRef {
  return { token: ref.token, pages: ref.pages };
}

function decodeDependencyListRef(stored: StoredDependencyListRef): DependencyListRef {
  return { token: stored.token, pages: stored.pages };
}

/** An accepted job. */
export interface LiveJobRecord {
  spec: JobSpec;
  /** Time of day of its acceptance, in milliseconds. */
  acceptedAt: number;
  /** Ids of its dependencies that were not done when it was accepted, as far as the record has room for them. */
  dependencies?: string[];
  /** Further such ids are in this many pages, written together with the record. */
  dependencyPages?: number;
  /**
   * All such ids are in a list that was written before the record.
   * `dependencies` then holds one id that no job has: a version that does not
   * know lists waits for that job, so that it starts nothing too early.
   */
  dependencyList?: DependencyListRef;
}

/** An accepted job as it is stored. */
export interface StoredLiveJob {
  spec: StoredJobSpec;
  at: number;
  upstream?: string[];
  upstreamPages?: number;
  upstreamList?: StoredDependencyListRef;
}

/** The record of a job that is being accepted. */
export function encodeLiveJob(record: LiveJobRecord): StoredLiveJob {
  const stored: StoredLiveJob = { spec: encodeJobSpec(record.spec), at: record.acceptedAt };
  if (record.dependencies !== undefined) stored.upstream = record.dependencies;
  if (record.dependencyPages !== undefined) stored.upstreamPages = record.dependencyPages;
  if (record.dependencyList !== undefined)
    stored.upstreamList = encodeDependencyListRef(record.dependencyList);
  return stored;
}

/** Null: it is no object. Whether it has a description is for the reader to see. */
export function decodeLiveJob(value: unknown): LiveJobRecord | null {
  if (!isObject(value)) return null;
  const stored = value as unknown as StoredLiveJob;
  const record: LiveJobRecord = {
    spec: mapIfObject(stored.spec, decodeJobSpec),
    acceptedAt: stored.at,
  };
  if (stored.upstream !== undefined) record.dependencies = stored.upstream;
  if (stored.upstreamPages !== undefined) record.dependencyPages = stored.upstreamPages;
  if (stored.upstreamList !== undefined)
    record.dependencyList = mapIfObject(stored.upstreamList, decodeDependencyListRef);
  return record;
}
