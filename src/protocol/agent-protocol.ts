/**
 * Heartbeats of agents and commands to them, mapped to the model. The field
 * names on the wire appear here only.
 */
import type { ExitCause, Heartbeat, TaskState, TaskStatus } from '../model/heartbeat.js';
import type { TaskCommand } from '../model/task-command.js';
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

/** A fencing token is the leader term with, below it, how often that leader has fenced the machine. */
const FENCES_PER_TERM = 2 ** 20;

/** A job's id and the index of the task in it. */
const TASK_NAME = /^(.+)\/(\d{1,6})$/;
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
 * The number by which an agent orders leaders: a higher term always gives a
 * higher token, however often a machine has been fenced in the term.
 */
export function fencingToken(term: number, fence: number): number {
  return term * FENCES_PER_TERM + Math.min(fence, FENCES_PER_TERM - 1);
}

/** Throws `MalformedMessageError`. */
export function parseHeartbeat(body: unknown): Heartbeat {
  const fields = requireObject(body);
  if (!Array.isArray(fields.hands)) throw new MalformedMessageError('hands must be a list');
  const token = count(fields, 'baton');
  return {
    machineId: text(fields, 'cart'),
    address: text(fields, 'endpoint'),
    type: text(fields, 'rig'),
    zone: text(fields, 'hall'),
    spot: flag(fields, 'loaner'),
    agentEpoch: count(fields, 'shift'),
    sequence: count(fields, 'tally'),
    term: Math.floor(token / FENCES_PER_TERM),
    fence: token % FENCES_PER_TERM,
    preemptionNoticeS: isAbsent(fields.recallS) ? null : amount(fields, 'recallS'),
    tasks: fields.hands.map(parseTaskStatus),
  };
}

function parseTaskStatus(value: unknown): TaskStatus {
  const fields = requireObject(value, 'task is not an object');
  const name = TASK_NAME.exec(text(fields, 'hand', MAX_TASK_NAME_LENGTH));
  if (!name) throw new MalformedMessageError('task name');
  const state = TASK_STATES[String(fields.standing)];
  if (!state) throw new MalformedMessageError('task state');
  return {
    jobId: name[1] as string,
    index: Number(name[2]),
    attempt: count(fields, 'try'),
    state,
    // An unknown cause of an exit is treated as a failure: the task is retried.
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

/** Answer to a heartbeat: it renews the agent's lease under the token and carries commands. */
export function heartbeatResponseBody(token: number, commands: TaskCommand[]): JsonObject {
  return { baton: token, orders: commands.map(encodeCommand) };
}

/**
 * An answer to a heartbeat without the last of its commands, as far as it
 * takes to fit `maxBytes`. What is no such answer is returned unchanged.
 */
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

/** Sends an agent to the leader's node; null: no leader is known here. */
export function redirectBody(leader: string | null): JsonObject {
  return leader === null ? {} : { steward: leader };
}

/**
 * Commands sent directly to an agent. It executes nothing when it has seen a
 * higher token or is in another agent epoch.
 */
export function commandsBody(
  token: number,
  agentEpoch: number,
  commands: TaskCommand[],
): JsonObject {
  return { baton: token, shift: agentEpoch, orders: commands.map(encodeCommand) };
}
