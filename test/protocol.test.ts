import assert from 'node:assert/strict';
import { test } from 'node:test';
import { unrunnableReason } from '../src/model/job-feasibility.js';
import { heartbeatResponseBody, parseHeartbeat } from '../src/protocol/agent-protocol.js';
import { parseMachineList } from '../src/protocol/cloud-protocol.js';
import { parseSubmission } from '../src/protocol/job-protocol.js';
import { MalformedMessageError } from '../src/protocol/json-fields.js';
import { MACHINE_TYPE, teamQuota } from './support/scheduler.js';

const SUBMISSION = {
  id: 'req-000412',
  bracket: 'train',
  crew: 'ops',
  form: 'array',
  rank: 'urgent',
  hands: 16,
  cores: 8,
  accelerators: 0,
  memoryGb: 64,
  deck: 'img-07',
  pullGb: 6.2,
  rigs: ['m16'],
  hall: null,
  oneZone: true,
  scatter: false,
  loaner: true,
  expectedS: 240,
  markEveryS: 30,
  markCostS: 4,
  dueS: 900,
  later: 'ignored',
};

test('a submission with all fields is parsed, and its nullable fields may be absent', () => {
  const spec = parseSubmission(SUBMISSION);
  assert.equal(spec.priority, 1);
  assert.deepEqual(spec.machineTypes, ['m16']);
  const { rigs: _r, hall: _h, dueS: _d, ...withoutNullable } = SUBMISSION;
  const parsed = parseSubmission(withoutNullable);
  assert.deepEqual([parsed.machineTypes, parsed.zone, parsed.deadlineS], [null, null, null]);
});

test('a submission with a malformed field or body is rejected', () => {
  const malformed: Record<string, unknown> = {
    id: 'job-1',
    bracket: 7,
    crew: '',
    form: 'group',
    rank: 'high',
    hands: 100_001,
    cores: -1,
    accelerators: '1',
    memoryGb: 1e12,
    deck: null,
    pullGb: Number.NaN,
    rigs: ['a', 3],
    hall: 5,
    oneZone: 'yes',
    scatter: null,
    loaner: 0,
    expectedS: null,
    markEveryS: -0.5,
    markCostS: {},
    dueS: 'soon',
  };
  for (const [field, value] of Object.entries(malformed))
    assert.throws(
      () => parseSubmission({ ...SUBMISSION, [field]: value }),
      MalformedMessageError,
      field,
    );
  for (const hands of [0, 1.5, -3, '4'])
    assert.throws(() => parseSubmission({ ...SUBMISSION, hands }), MalformedMessageError);
  for (const body of [null, [], 'x', 3])
    assert.throws(() => parseSubmission(body), MalformedMessageError);
});

test('a job that can never run is reported with the reason', () => {
  const teams = new Map([['ops', teamQuota({ name: 'ops', maxCpus: 10 })]]);
  const job = parseSubmission({ ...SUBMISSION, memoryGb: 8 });
  assert.equal(unrunnableReason(job, teams, [MACHINE_TYPE]), null);
  assert.equal(unrunnableReason({ ...job, team: 'no' }, teams, [MACHINE_TYPE]), 'unknownTeam');
  assert.equal(unrunnableReason({ ...job, cpus: 17 }, teams, [MACHINE_TYPE]), 'fitsNoMachineType');
  assert.equal(
    unrunnableReason({ ...job, machineTypes: ['m99'] }, teams, [MACHINE_TYPE]),
    'fitsNoMachineType',
  );
  assert.equal(unrunnableReason({ ...job, zone: 'z' }, teams, [MACHINE_TYPE]), 'fitsNoMachineType');
  assert.equal(unrunnableReason({ ...job, cpus: 11 }, teams, [MACHINE_TYPE]), 'exceedsTeamMaximum');
});

test('heartbeats are parsed from the names on the wire, and commands are encoded to them', () => {
  const heartbeat = parseHeartbeat({
    cart: 'n-000231',
    endpoint: '10.1.0.232:9000',
    rig: 'm16',
    hall: 'a',
    loaner: true,
    shift: 1,
    tally: 88,
    baton: 41,
    recallS: null,
    hands: [
      { hand: 'req-000412/3', try: 2, standing: 'pulling' },
      { hand: 'req-000398/0', try: 1, standing: 'exited', cause: 'halted', kept: true },
    ],
  });
  assert.deepEqual(
    heartbeat.tasks.map((task) => [task.jobId, task.index, task.state, task.cause, task.saved]),
    [
      ['req-000412', 3, 'fetching', null, false],
      ['req-000398', 0, 'exited', 'stopped', true],
    ],
  );
  assert.deepEqual(
    heartbeatResponseBody(41, [
      { op: 'start', jobId: 'req-1', index: 4, attempt: 2 },
      { op: 'stop', jobId: 'req-1', index: 1, attempt: 1, graceS: 10 },
      { op: 'forget', jobId: 'req-1', index: 0, attempt: 1 },
    ]),
    {
      baton: 41,
      orders: [
        { verb: 'run', hand: 'req-1/4', try: 2 },
        { verb: 'kill', hand: 'req-1/1', try: 1, windDownS: 10 },
        { verb: 'forget', hand: 'req-1/0', try: 1 },
      ],
    },
  );
});

test('malformed heartbeats and machine lists are rejected', () => {
  for (const body of [null, {}, { cart: 'n-1', hands: 'x' }, { carts: [{ id: 'n-1' }] }])
    assert.throws(() => parseHeartbeat(body), MalformedMessageError);
  for (const body of [null, {}, { carts: [{ id: 'n-1', standing: 'odd' }] }, { carts: [7] }])
    assert.throws(() => parseMachineList(body), MalformedMessageError);
});
