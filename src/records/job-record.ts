/**
 * A live job: one that was accepted and has not ended.
 *
 * - Keys: `live/<job>`. The order of the keys' versions is the order of arrival.
 * - Access: The controller that accepts the job writes the record once. Every controller
 *   reads it, and the leader keeps all live jobs in memory. The transaction that writes
 *   the end of the job removes the record.
 * - Absence: A job without dependencies has none of the three `upstream` fields.
 * - Versions: The earliest versions read and write only `spec` and `at`. Versions without
 *   dependency lists do not know `upstreamList`.
 *
 * The job specification in the record is also part of a demand forecast (demand-record).
 */

import type { JobSpec } from '../model/job.js';
import { isObject } from '../protocol/json-fields.js';
import { mapIfObject, mergeIntoRetainedForm, retainStoredForm } from './stored-form.js';

/**
 * The stored form of `JobSpec`, with the fields in the same order and with the same units
 * and ranges. All versions write all fields.
 */
export interface StoredJobSpec {
  id: string;
  jobClass: string;
  team: string;
  /** The priority, an index into `PRIORITIES`: 0 is the highest. */
  rank: number;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  image: string;
  imageGb: number;
  /** `machineTypes`. Null when the tasks may run on all types. */
  types: string[] | null;
  /** Null when the tasks may run in all zones. */
  zone: string | null;
  /** `singleZone`. */
  oneZone: boolean;
  /** `zoneAntiAffinity`. */
  spread: boolean;
  /** `allowsSpot`. */
  spot: boolean;
  /** `estimatedDurationS`, in seconds. */
  estimateS: number;
  /** `checkpointIntervalS`, in seconds. 0 when the tasks save no checkpoints. */
  checkpointS: number;
  /** `checkpointCostS`, in seconds. */
  saveS: number;
  /** Null when the job has no deadline. */
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

/**
 * Returns the stored form of a specification, including the unknown fields that it was
 * decoded with.
 */
export function encodeJobSpec(spec: JobSpec): StoredJobSpec {
  return mergeIntoRetainedForm(spec, {
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

/**
 * Returns null when the value is not an object. A missing field is undefined in the
 * specification.
 */
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
  retainStoredForm(spec, value, JOB_SPEC_FIELDS);
  return spec;
}

/** A job record's reference to the job's dependency list (dependency-list-record). */
export interface DependencyListRef {
  /**
   * Identifies the list by its content, so that a repeated submission continues the list
   * that the first one began to write.
   */
  token: string;
  /** Number of pages of the list, at least 1. */
  pages: number;
}

/** The stored form of `DependencyListRef`, with the same fields. */
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

/** The record of a live job. */
export interface LiveJobRecord {
  spec: JobSpec;
  /** Wall-clock time at which the job was accepted, in milliseconds since the epoch. */
  acceptedAt: number;
  /**
   * Ids of the dependencies that were not done when the job was accepted, as many as fit
   * into the record. Absent when there are none.
   */
  dependencies?: string[];
  /**
   * Number of pages with further such ids, which are written together with the record.
   * Absent, which means 0, when all ids fit into the record.
   */
  dependencyPages?: number;
  /**
   * The list that holds all dependencies and was written before the record. Absent when
   * the ids are in the record and its pages. When it is present, `dependencies` holds
   * only an id that no job has: a version that does not know lists waits for that job
   * and so never starts the dependent job too early.
   */
  dependencyList?: DependencyListRef;
}

/** The stored form of `LiveJobRecord`. */
export interface StoredLiveJob {
  spec: StoredJobSpec;
  /** `acceptedAt`, in milliseconds since the epoch. */
  at: number;
  /** `dependencies`. */
  upstream?: string[];
  /** `dependencyPages`. */
  upstreamPages?: number;
  /** `dependencyList`. */
  upstreamList?: StoredDependencyListRef;
}

/** Returns the stored form of the record of a job that is being accepted. */
export function encodeLiveJob(record: LiveJobRecord): StoredLiveJob {
  const stored: StoredLiveJob = { spec: encodeJobSpec(record.spec), at: record.acceptedAt };
  if (record.dependencies !== undefined) stored.upstream = record.dependencies;
  if (record.dependencyPages !== undefined) stored.upstreamPages = record.dependencyPages;
  if (record.dependencyList !== undefined)
    stored.upstreamList = encodeDependencyListRef(record.dependencyList);
  return stored;
}

/**
 * Returns null when the value is not an object. A missing field is undefined in the
 * record, and a `spec` that is not an object is returned unchanged: the caller has to
 * check it.
 */
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
