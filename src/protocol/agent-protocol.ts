/**
 * Mapping of agents' heartbeats and of commands to agents between the wire format and
 * the model. Only this file contains the field names on the wire.
 */
import type { ExitCause, Heartbeat, TaskState, TaskStatus } from '../model/heartbeat.js';
import type { TaskCommand } from '../model/task-command.js';
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
 * Number of fence values in one leader term. A fencing token is `term * FENCES_PER_TERM +
 * fence`.
 */
const FENCES_PER_TERM = 2 ** 20;

/** Matches the name of a task: the id of the job and the index of the task in it. */
const TASK_NAME_PATTERN = /^(.+)\/(\d{1,6})$/;
const MAX_TASK_NAME_LENGTH = 220;

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

/**
 * Returns the fencing token by which an agent orders leaders. `fence` counts how often
 * the leader has fenced the machine. It is limited, so that a higher term always has a
 * higher token.
 */
export function fencingToken(term: number, fence: number): number {
  return term * FENCES_PER_TERM + Math.min(fence, FENCES_PER_TERM - 1);
}

/** Parses a heartbeat. Throws `MalformedMessageError`. */
export function parseHeartbeat(body: unknown): Heartbeat {
  const fields = requireObject(body);
  if (!Array.isArray(fields.hands)) throw new MalformedMessageError('hands must be a list');
  const token = readInteger(fields, 'baton');
  return {
    machineId: readString(fields, 'cart'),
    address: readString(fields, 'endpoint'),
    type: readString(fields, 'rig'),
    zone: readString(fields, 'hall'),
    spot: readBoolean(fields, 'loaner'),
    agentEpoch: readInteger(fields, 'shift'),
    sequence: readInteger(fields, 'tally'),
    term: Math.floor(token / FENCES_PER_TERM),
    fence: token % FENCES_PER_TERM,
    preemptionNoticeS: isAbsent(fields.recallS) ? null : readAmount(fields, 'recallS'),
    tasks: fields.hands.map(parseTaskStatus),
  };
}

function parseTaskStatus(value: unknown): TaskStatus {
  const fields = requireObject(value, 'task is not an object');
  const match = TASK_NAME_PATTERN.exec(readString(fields, 'hand', MAX_TASK_NAME_LENGTH));
  if (!match) throw new MalformedMessageError('task name');
  const state = TASK_STATES[String(fields.standing)];
  if (!state) throw new MalformedMessageError('task state');
  return {
    jobId: match[1] as string,
    index: Number(match[2]),
    attempt: readInteger(fields, 'try'),
    state,
    // An exit with an unknown cause is treated as a failure, so that the task is retried.
    cause: state === 'exited' ? (EXIT_CAUSES[String(fields.cause)] ?? 'error') : null,
    saved: fields.kept === true,
  };
}

function encodeCommand(command: TaskCommand): JsonObject {
  const base = { hand: `${command.jobId}/${command.index}`, try: command.attempt };
  if (command.op === 'start') return { verb: 'run', ...base };
  if (command.op === 'stop') return { verb: 'kill', ...base, windDownS: command.graceS };
  return { verb: 'forget', ...base };
}

/**
 * Returns the body of the response to a heartbeat. It renews the agent's lease under the
 * token and contains commands.
 */
export function heartbeatResponseBody(token: number, commands: TaskCommand[]): JsonObject {
  return { baton: token, orders: commands.map(encodeCommand) };
}

/**
 * Returns a copy of a heartbeat response without its last commands, so that it fits into
 * `maxBytes` bytes. A value that is not such a response is returned unchanged.
 */
export function truncateCommands(response: unknown, maxBytes: number): unknown {
  if (!isObject(response) || !Array.isArray(response.orders)) return response;
  const orders: unknown[] = [];
  let bytesLeft = maxBytes - Buffer.byteLength(JSON.stringify({ ...response, orders }));
  for (const order of response.orders) {
    bytesLeft -= Buffer.byteLength(JSON.stringify(order)) + 1;
    if (bytesLeft < 0) break;
    orders.push(order);
  }
  return { ...response, orders };
}

/**
 * Returns the body that redirects an agent to the leader's node. `leader` is null when no
 * leader is known.
 */
export function redirectBody(leader: string | null): JsonObject {
  return leader === null ? {} : { steward: leader };
}

/**
 * Returns the body of a request that sends commands directly to an agent. The agent
 * executes none of them when it has seen a higher token or is in another agent epoch.
 */
export function commandsBody(
  token: number,
  agentEpoch: number,
  commands: TaskCommand[],
): JsonObject {
  return { baton: token, shift: agentEpoch, orders: commands.map(encodeCommand) };
}
