import type { JobSpec } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';
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
  rememberForm(spec, value, JOB_SPEC_FIELDS);
  return spec;
}

/** Where a job's record says that its list of upstream jobs stands. */
export interface DependencyListRef {
  /** Names the content, so that a repeated submission of the same list continues the first one. */
  token: string;
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
  /** Time of day of its acceptance. */
  acceptedAt: number;
  /** Jobs that it needs and that were not done when it was accepted. */
  dependencies?: string[];
  /** Further ids of such jobs stand in this many pages, written together with the record. */
  dependencyPages?: number;
  /**
   * All ids of such jobs stand in a list that was written before the record.
   * `upstream` then holds a name that no job has: a version that does not know
   * of lists waits for it, so that it starts nothing too early.
   */
  dependencyList?: DependencyListRef;
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
  upstreamList?: StoredDependencyListRef;
}

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
    spec: mapObject(stored.spec, decodeJobSpec),
    acceptedAt: stored.at,
  };
  if (stored.upstream !== undefined) record.dependencies = stored.upstream;
  if (stored.upstreamPages !== undefined) record.dependencyPages = stored.upstreamPages;
  if (stored.upstreamList !== undefined)
    record.dependencyList = mapObject(stored.upstreamList, decodeDependencyListRef);
  return record;
}
