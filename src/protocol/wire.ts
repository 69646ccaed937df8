import type { ExitCause, Heartbeat, TaskState, TaskStatus } from '../model/heartbeat.js';
import { type JobSpec, PRIORITIES } from '../model/job.js';
import type { ListedMachine, MachineType } from '../model/machine.js';
import type { TaskCommand } from '../model/task-command.js';
/**
 * The wire's words and shapes, mapped to the field's terms. Words such as
 * hand, baton or cart appear in this folder only.
 */

export const PATHS = {
  jobs: '/v1/jobs',
  health: '/healthz',
  heartbeat: '/agent/beat',
  commands: '/do',
  show: '/show',
  types: '/flavors',
  machines: '/machines',
  returnMachines: '/machines/return',
  store: '/store',
  transaction: '/multi',
  leases: '/grants',
  watch: '/follow',
} as const;

/** What follows a job's id in the path of its cancellation. */
export const CANCEL_PATH = 'withdraw';
export const JOB_ID_PATTERN = /^req-[0-9]{1,60}$/;
const MAX_TASKS = 100_000;
/** Larger amounts than this are absurd for one task and would drown sums. */
const MAX_AMOUNT = 1e9;

export class MalformedMessageError extends Error {}

type Json = Record<string, unknown>;

export function isObject(value: unknown): value is Json {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** A token is the leader's term with, below it, how often that leader has fenced the machine. */
const FENCES_PER_TERM = 2 ** 20;

export function fencingToken(term: number, fence: number): number {
  return term * FENCES_PER_TERM + Math.min(fence, FENCES_PER_TERM - 1);
}

function amount(o: Json, field: string, positive = false): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < 0 || v > MAX_AMOUNT)
    throw new MalformedMessageError(`${field} must be a number of 0 or more`);
  if (positive && v <= 0) throw new MalformedMessageError(`${field} must be above 0`);
  return v;
}

function text(o: Json, field: string, max = 200): string {
  const v = o[field];
  if (typeof v !== 'string' || v.length === 0 || v.length > max)
    throw new MalformedMessageError(`${field} must be a text of 1 to ${max} characters`);
  return v;
}

function flag(o: Json, field: string): boolean {
  const v = o[field];
  if (typeof v !== 'boolean') throw new MalformedMessageError(`${field} must be true or false`);
  return v;
}

function count(o: Json, field: string, min = 0, max = Number.MAX_SAFE_INTEGER): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isSafeInteger(v) || v < min || v > max)
    throw new MalformedMessageError(`${field} must be an integer from ${min} to ${max}`);
  return v;
}

function absent(v: unknown): boolean {
  return v === null || v === undefined;
}

/** The id of a submission, before anything else of it is judged. */
export function parseJobId(body: unknown): string {
  if (!isObject(body)) throw new MalformedMessageError('not an object');
  const id = text(body, 'id');
  if (!JOB_ID_PATTERN.test(id)) throw new MalformedMessageError('id is not in the form req-000412');
  return id;
}

export function parseSubmission(body: unknown): JobSpec {
  if (!isObject(body)) throw new MalformedMessageError('not an object');
  const id = parseJobId(body);
  if (body.form !== 'array') throw new MalformedMessageError('form must be array');
  const rank = PRIORITIES.indexOf(body.rank as (typeof PRIORITIES)[number]);
  if (rank < 0) throw new MalformedMessageError(`rank must be one of ${PRIORITIES.join(', ')}`);
  let types: string[] | null = null;
  if (!absent(body.rigs)) {
    if (!Array.isArray(body.rigs) || body.rigs.some((t) => typeof t !== 'string' || t.length > 200))
      throw new MalformedMessageError('rigs must be a list of machine types or null');
    types = body.rigs as string[];
  }
  return {
    id,
    jobClass: text(body, 'bracket'),
    team: text(body, 'crew'),
    priority: rank,
    tasks: count(body, 'hands', 1, MAX_TASKS),
    cpus: amount(body, 'cores'),
    gpus: amount(body, 'accelerators'),
    memoryGb: amount(body, 'memoryGb'),
    image: text(body, 'deck'),
    imageGb: amount(body, 'pullGb'),
    machineTypes: types,
    zone: absent(body.hall) ? null : text(body, 'hall'),
    singleZone: flag(body, 'oneZone'),
    zoneAntiAffinity: flag(body, 'scatter'),
    allowsSpot: flag(body, 'loaner'),
    estimatedDurationS: amount(body, 'expectedS'),
    checkpointIntervalS: amount(body, 'markEveryS'),
    checkpointCostS: amount(body, 'markCostS'),
    deadlineS: absent(body.dueS) ? null : amount(body, 'dueS'),
  };
}

/** Jobs that have to be done before this one starts, each once. */
export function parseDependencies(body: unknown): string[] {
  if (!isObject(body) || absent(body.awaits)) return [];
  const ids = body.awaits;
  if (!Array.isArray(ids) || ids.some((id) => typeof id !== 'string' || !JOB_ID_PATTERN.test(id)))
    throw new MalformedMessageError('awaits must be a list of job ids');
  return [...new Set(ids as string[])];
}

export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

export function jobStatusBody(id: string, standing: JobState, done: number, running: number): Json {
  return { id, standing, done, running };
}

export function jobStateBody(id: string, standing: JobState): Json {
  return { id, standing };
}

const TASK_STATES: Record<string, TaskState> = {
  pulling: 'fetching',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const EXIT_CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no_room',
  busy: 'busy',
  unknown: 'unknown',
};

const TASK_NAME = /^(.+)\/(\d{1,6})$/;

function parseTaskStatus(v: unknown): TaskStatus {
  if (!isObject(v)) throw new MalformedMessageError('task is not an object');
  const match = TASK_NAME.exec(text(v, 'hand', 220));
  if (!match) throw new MalformedMessageError('task name');
  const state = TASK_STATES[String(v.standing)];
  if (!state) throw new MalformedMessageError('task state');
  // An end for a reason that is not known here is treated as a failed one: it is retried.
  const cause = state === 'exited' ? (EXIT_CAUSES[String(v.cause)] ?? 'error') : null;
  return {
    jobId: match[1] as string,
    index: Number(match[2]),
    attempt: count(v, 'try'),
    state,
    cause,
    saved: v.kept === true,
  };
}

export function parseHeartbeat(body: unknown): Heartbeat {
  if (!isObject(body)) throw new MalformedMessageError('not an object');
  if (!Array.isArray(body.hands)) throw new MalformedMessageError('hands must be a list');
  const token = count(body, 'baton');
  return {
    machineId: text(body, 'cart'),
    address: text(body, 'endpoint'),
    type: text(body, 'rig'),
    zone: text(body, 'hall'),
    spot: flag(body, 'loaner'),
    agentEpoch: count(body, 'shift'),
    sequence: count(body, 'tally'),
    term: Math.floor(token / FENCES_PER_TERM),
    fence: token % FENCES_PER_TERM,
    preemptionNoticeS: absent(body.recallS) ? null : amount(body, 'recallS'),
    tasks: body.hands.map(parseTaskStatus),
  };
}

function encodeCommand(command: TaskCommand): Json {
  const base = { hand: `${command.jobId}/${command.index}`, try: command.attempt };
  if (command.op === 'start') return { verb: 'run', ...base };
  if (command.op === 'stop') return { verb: 'kill', ...base, windDownS: command.graceS };
  return { verb: 'forget', ...base };
}

export function heartbeatResponseBody(token: number, commands: TaskCommand[]): Json {
  return { baton: token, orders: commands.map(encodeCommand) };
}

/** An answer to a report without the last of its orders, as far as it takes to fit the bytes. */
export function truncateCommands(answer: unknown, maxBytes: number): unknown {
  if (!isObject(answer) || !Array.isArray(answer.orders)) return answer;
  const orders: unknown[] = [];
  let left = maxBytes - Buffer.byteLength(JSON.stringify({ ...answer, orders }));
  for (const order of answer.orders) {
    left -= Buffer.byteLength(JSON.stringify(order)) + 1;
    if (left < 0) break;
    orders.push(order);
  }
  return { ...answer, orders };
}

export function redirectBody(leader: string | null): Json {
  return leader === null ? {} : { steward: leader };
}

export function commandsBody(token: number, session: number, commands: TaskCommand[]): Json {
  return { baton: token, shift: session, orders: commands.map(encodeCommand) };
}

function list(body: unknown, field: string): unknown[] {
  const v = isObject(body) ? body[field] : undefined;
  if (!Array.isArray(v)) throw new MalformedMessageError(`${field} must be a list`);
  return v;
}

export function parseMachineTypes(body: unknown): MachineType[] {
  return list(body, 'rigs').map((v) => {
    if (!isObject(v)) throw new MalformedMessageError('machine type is not an object');
    return {
      name: text(v, 'sku'),
      cpus: amount(v, 'cores'),
      gpus: absent(v.accelerators) ? 0 : amount(v, 'accelerators'),
      memoryGb: amount(v, 'memoryGb'),
      imageCacheGb: amount(v, 'cacheGb'),
      imagePullGbPerS: amount(v, 'pullGbPerS', true),
      price: amount(v, 'rate'),
      spotPrice: absent(v.spotPrice) ? amount(v, 'rate') : amount(v, 'spotPrice'),
      bootS: amount(v, 'readyS'),
      zones: list(v, 'halls').map(String),
    };
  });
}

export function parseMachineList(body: unknown): { machines: ListedMachine[]; more: boolean } {
  const machines = list(body, 'carts').map((v): ListedMachine => {
    if (!isObject(v)) throw new MalformedMessageError('machine is not an object');
    const state = v.standing;
    if (state !== 'booting' && state !== 'running' && state !== 'failed')
      throw new MalformedMessageError('machine state');
    return {
      id: text(v, 'id'),
      address: typeof v.endpoint === 'string' ? v.endpoint : '',
      type: text(v, 'rig'),
      zone: text(v, 'hall'),
      spot: flag(v, 'loaner'),
      state,
      ageS: absent(v.ageS) ? 0 : amount(v, 'ageS'),
    };
  });
  return { machines, more: (body as Json).hasNext === true };
}

export function machineListTarget(after: string | null, limit: number): string {
  const from = after === null ? '' : `after=${encodeURIComponent(after)}&`;
  return `${PATHS.machines}?${from}limit=${limit}`;
}

export interface ProvisionRequest {
  name: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export function provisionBody(request: ProvisionRequest): Json {
  return {
    hire: request.name,
    rig: request.type,
    hall: request.zone,
    loaner: request.spot,
    count: request.count,
  };
}

export function parseProvisioned(body: unknown): string[] {
  return list(body, 'carts').filter((v): v is string => typeof v === 'string');
}

export function terminationBody(machines: string[]): Json {
  return { carts: machines };
}
