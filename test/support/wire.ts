/** Conversion of agent messages to and from their wire format. */
import type { Heartbeat } from '../../src/model/heartbeat.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { fencingToken } from '../../src/protocol/agent-protocol.js';

const WIRE_TASK_STATES = {
  fetching: 'pulling',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};

/** Encodes a heartbeat in the wire format. */
export function encodeHeartbeat(heartbeat: Heartbeat): Buffer {
  return Buffer.from(
    JSON.stringify({
      cart: heartbeat.machineId,
      endpoint: heartbeat.address,
      rig: heartbeat.type,
      hall: heartbeat.zone,
      loaner: heartbeat.spot,
      shift: heartbeat.agentEpoch,
      tally: heartbeat.sequence,
      baton: fencingToken(heartbeat.term, heartbeat.fence),
      recallS: heartbeat.preemptionNoticeS,
      hands: heartbeat.tasks.map((task) => ({
        hand: `${task.jobId}/${task.index}`,
        try: task.attempt,
        standing: WIRE_TASK_STATES[task.state],
        ...(task.cause ? { cause: task.cause === 'stopped' ? 'halted' : task.cause } : {}),
      })),
    }),
  );
}

/** A command in the wire format. */
export interface WireCommand {
  verb: string;
  hand: string;
  try: number;
  windDownS?: number;
}

/** Decodes a command from the wire format. */
export function decodeCommand(command: WireCommand): TaskCommand {
  const [jobId = '', index = ''] = command.hand.split('/');
  const base = { jobId, index: Number(index), attempt: command.try };
  if (command.verb === 'run') return { op: 'start', ...base };
  return command.verb === 'kill' ? { op: 'stop', ...base, graceS: 0 } : { op: 'forget', ...base };
}
