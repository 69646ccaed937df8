/**
 * Mapping of job submissions and job states between the users' wire format and the
 * model. Only this file contains the field names on the wire.
 */
import { type JobSpec, PRIORITIES } from '../model/job.js';
import {
  isAbsent,
  isObject,
  type JsonObject,
  MalformedMessageError,
  readAmount,
  readBoolean,
  readInteger,
  readString,
  requireObject,
} from './json-fields.js';

/**
 * The form of a job id. Ids become parts of keys in the state service, so no other form
 * is accepted.
 */
export const JOB_ID_PATTERN = /^req-[0-9]{1,60}$/;
const MAX_TASKS = 100_000;
const MAX_TYPE_NAME_LENGTH = 200;

/**
 * Returns the job id of a submission without checking its other fields. Throws
 * `MalformedMessageError`.
 */
export function parseJobId(body: unknown): string {
  const id = readString(requireObject(body), 'id');
  if (!JOB_ID_PATTERN.test(id)) throw new MalformedMessageError('id is not in the form req-000412');
  return id;
}

/** Parses a submission; unknown fields are ignored. Throws `MalformedMessageError`. */
export function parseSubmission(body: unknown): JobSpec {
  const fields = requireObject(body);
  const id = parseJobId(fields);
  if (fields.form !== 'array') throw new MalformedMessageError('form must be array');
  const priority = parsePriority(fields.rank);
  const machineTypes = parseMachineTypeNames(fields.rigs);
  return {
    id,
    jobClass: readString(fields, 'bracket'),
    team: readString(fields, 'crew'),
    priority,
    tasks: readInteger(fields, 'hands', 1, MAX_TASKS),
    cpus: readAmount(fields, 'cores'),
    gpus: readAmount(fields, 'accelerators'),
    memoryGb: readAmount(fields, 'memoryGb'),
    image: readString(fields, 'deck'),
    imageGb: readAmount(fields, 'pullGb'),
    machineTypes,
    zone: isAbsent(fields.hall) ? null : readString(fields, 'hall'),
    singleZone: readBoolean(fields, 'oneZone'),
    zoneAntiAffinity: readBoolean(fields, 'scatter'),
    allowsSpot: readBoolean(fields, 'loaner'),
    estimatedDurationS: readAmount(fields, 'expectedS'),
    checkpointIntervalS: readAmount(fields, 'markEveryS'),
    checkpointCostS: readAmount(fields, 'markCostS'),
    deadlineS: isAbsent(fields.dueS) ? null : readAmount(fields, 'dueS'),
  };
}

/** Returns the index of the priority in `PRIORITIES`. */
function parsePriority(value: unknown): number {
  const priority = PRIORITIES.indexOf(value as (typeof PRIORITIES)[number]);
  if (priority < 0) throw new MalformedMessageError(`rank must be one of ${PRIORITIES.join(', ')}`);
  return priority;
}

/** Returns null when the job accepts any machine type. */
function parseMachineTypeNames(value: unknown): string[] | null {
  if (isAbsent(value)) return null;
  if (!Array.isArray(value) || !value.every(isMachineTypeName))
    throw new MalformedMessageError('rigs must be a list of machine types or null');
  return value;
}

function isMachineTypeName(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TYPE_NAME_LENGTH;
}

/**
 * Returns the ids of the jobs that must be done before this one starts, without
 * duplicates. Throws `MalformedMessageError`.
 */
export function parseDependencies(body: unknown): string[] {
  if (!isObject(body) || isAbsent(body.awaits)) return [];
  const ids = body.awaits;
  if (!Array.isArray(ids) || !ids.every(isJobId))
    throw new MalformedMessageError('awaits must be a list of job ids');
  return [...new Set(ids)];
}

function isJobId(value: unknown): value is string {
  return typeof value === 'string' && JOB_ID_PATTERN.test(value);
}

/** The state of a job in responses to users. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/**
 * Returns the body of the response to a query: the state and the numbers of tasks that
 * are done and running.
 */
export function jobStatusBody(
  id: string,
  state: JobState,
  done: number,
  running: number,
): JsonObject {
  return { id, standing: state, done, running };
}

/** Returns the body of the response to a submission or cancellation: the state only. */
export function jobStateBody(id: string, state: JobState): JsonObject {
  return { id, standing: state };
}
