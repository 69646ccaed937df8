/** Workers' messages in the wire's words. */
import type { Heartbeat, TaskCommand } from '../../src/model/model.js';
import { fencingToken } from '../../src/protocol/wire.js';

const STANDINGS = { fetching: 'pulling', running: 'running', saving: 'saving', exited: 'exited' };

/** A report in the wire's words. */
export function onWire(r: Heartbeat): Buffer {
  return Buffer.from(
    JSON.stringify({
      cart: r.machineId,
      endpoint: r.address,
      rig: r.type,
      hall: r.zone,
      loaner: r.spot,
      shift: r.agentEpoch,
      tally: r.sequence,
      baton: fencingToken(r.term, r.fence),
      recallS: r.preemptionNoticeS,
      hands: r.tasks.map((t) => ({
        hand: `${t.jobId}/${t.index}`,
        try: t.attempt,
        standing: STANDINGS[t.state],
        ...(t.cause ? { cause: t.cause === 'stopped' ? 'halted' : t.cause } : {}),
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

export function fromWire(o: WireOrder): TaskCommand {
  const [job = '', index = ''] = o.hand.split('/');
  const base = { job, index: Number(index), attempt: o.try };
  if (o.verb === 'run') return { op: 'start', ...base };
  return o.verb === 'kill' ? { op: 'stop', ...base, graceS: 0 } : { op: 'forget', ...base };
}
