/** Workers' messages in the wire's words. */
import type { Heartbeat } from '../../src/model/heartbeat.js';
import type { TaskCommand } from '../../src/model/task-command.js';
import { fencingToken } from '../../src/protocol/agent-protocol.js';

const STANDINGS = { fetching: 'pulling', running: 'running', saving: 'saving', exited: 'exited' };

/** A report in the wire's words. */
export function onWire(heartbeat: Heartbeat): Buffer {
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
        standing: STANDINGS[task.state],
        ...(task.cause ? { cause: task.cause === 'stopped' ? 'halted' : task.cause } : {}),
      })),
    }),
  );
}

export interface WireOrder {
  verb: string;
  hand: string;
  try: number;
  windDownS?: number;
}

export function fromWire(command: WireOrder): TaskCommand {
  const [jobId = '', index = ''] = command.hand.split('/');
  const base = { jobId, index: Number(index), attempt: command.try };
  if (command.verb === 'run') return { op: 'start', ...base };
  return command.verb === 'kill' ? { op: 'stop', ...base, graceS: 0 } : { op: 'forget', ...base };
}
