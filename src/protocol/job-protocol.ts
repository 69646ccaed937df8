/**
 * Job submission and status as users write and read them, mapped to the
 * model. The field names on the wire appear here only.
 */
import { type JobSpec, PRIORITIES } from '../model/job.js';
import {
  amount,
  count,
  flag,
  isAbsent,
  isObject,
  type JsonObject,
  MalformedMessageError,
  requireObject,
  text,
} from './json-fields.js';

/** The form of a job's id; nothing else may become part of a key. */
export const JOB_ID_PATTERN = /^req-[0-9]{1,60}$/;
const MAX_TASKS = 100_000;
const MAX_TYPE_NAME_LENGTH = 200;

/** The id of a submission, before anything else of it is judged. Throws `MalformedMessageError`. */
export function parseJobId(body: unknown): string {
  const id = text(requireObject(body), 'id');
  if (!JOB_ID_PATTERN.test(id)) throw new MalformedMessageError('id is not in the form req-000412');
  return id;
}

/** The job that a submission describes; unknown fields are ignored. Throws `MalformedMessageError`. */
export function parseSubmission(body: unknown): JobSpec {
  const fields = requireObject(body);
  const id = parseJobId(fields);
  if (fields.form !== 'array') throw new MalformedMessageError('form must be array');
  const priority = parsePriority(fields.rank);
  const machineTypes = parseMachineTypeNames(fields.rigs);
  return {
    id,
    jobClass: text(fields, 'bracket'),
    team: text(fields, 'crew'),
    priority,
    tasks: count(fields, 'hands', 1, MAX_TASKS),
    cpus: amount(fields, 'cores'),
    gpus: amount(fields, 'accelerators'),
    memoryGb: amount(fields, 'memoryGb'),
    image: text(fields, 'deck'),
    imageGb: amount(fields, 'pullGb'),
    machineTypes,
    zone: isAbsent(fields.hall) ? null : text(fields, 'hall'),
    singleZone: flag(fields, 'oneZone'),
    zoneAntiAffinity: flag(fields, 'scatter'),
    allowsSpot: flag(fields, 'loaner'),
    estimatedDurationS: amount(fields, 'expectedS'),
    checkpointIntervalS: amount(fields, 'markEveryS'),
    checkpointCostS: amount(fields, 'markCostS'),
    deadlineS: isAbsent(fields.dueS) ? null : amount(fields, 'dueS'),
  };
}

/** Index into `PRIORITIES`. */
function parsePriority(value: unknown): number {
  const priority = PRIORITIES.indexOf(value as (typeof PRIORITIES)[number]);
  if (priority < 0) throw new MalformedMessageError(`rank must be one of ${PRIORITIES.join(', ')}`);
  return priority;
}

/** Null: any machine type will do. */
function parseMachineTypeNames(value: unknown): string[] | null {
  if (isAbsent(value)) return null;
  if (!Array.isArray(value) || !value.every(isMachineTypeName))
    throw new MalformedMessageError('rigs must be a list of machine types or null');
  return value;
}

function isMachineTypeName(value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TYPE_NAME_LENGTH;
}

/** Jobs that have to be done before this one starts, each once. Throws `MalformedMessageError`. */
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

/** A job's state as users read it. */
export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

/** Answer to a query: the state with the counts of done and running tasks. */
export function jobStatusBody(
  id: string,
  state: JobState,
  done: number,
  running: number,
): JsonObject {
  return { id, standing: state, done, running };
}

/** Answer to a submission or cancellation: the state alone. */
export function jobStateBody(id: string, state: JobState): JsonObject {
  return { id, standing: state };
}
