import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DemandForecast } from '../src/model/demand-forecast.js';
import type { RosterEntry } from '../src/model/machine.js';
import { FrameReader, packFrame } from '../src/peer/frames.js';
import {
  decodeFirstPage,
  decodeForecast,
  decodeForecasts,
  encodeFirstPage,
  encodeForecast,
  encodeFurtherPage,
  type StoredResourceRequest,
} from '../src/records/demand-record.js';
import {
  decodeDependencyListHeader,
  decodeJobIds,
  encodeDependencyListHeader,
  encodeHeaderInRemoval,
  encodeJobIds,
} from '../src/records/dependency-list-record.js';
import { decodeFinishedTasks, encodeFinishedTasks } from '../src/records/finished-tasks-record.js';
import { decodeJobEnd, encodeJobEnd } from '../src/records/job-end-record.js';
import {
  decodeJobSpec,
  decodeLiveJob,
  encodeJobSpec,
  encodeLiveJob,
  type LiveJobRecord,
} from '../src/records/job-record.js';
import {
  decodeLeaderRecord,
  decodeTerm,
  encodeLeaderRecord,
  encodeTerm,
} from '../src/records/leader-record.js';
import {
  decodeMachineType,
  decodeMachineTypes,
  encodeMachineTypes,
} from '../src/records/machine-type-record.js';
import {
  decodeMailboxMessage,
  encodeMailboxRequest,
  encodeMailboxResponse,
} from '../src/records/mailbox-record.js';
import { decodeFrame, encodeFrame } from '../src/records/peer-frames.js';
import {
  decodeCancellationNotice,
  decodeForwardedReply,
  decodeForwardedRequest,
  encodeCancellationNotice,
  encodeForwardedReply,
  encodeForwardedRequest,
} from '../src/records/peer-requests.js';
import {
  decodeRosterEntry,
  decodeRosterPage,
  encodeRosterPage,
} from '../src/records/roster-record.js';
import { mapIfObject } from '../src/records/stored-form.js';
import { PEER_FRAMES, WRITTEN_RECORDS } from './support/records.js';
import { jobSpec, MACHINE_TYPE } from './support/scheduler.js';

/** Decodes a stored value and encodes the result again. Throws when the value can't be decoded. */
type RoundTrip = (value: unknown, key: string) => unknown;

function requireDecoded<T>(decoded: T | null): T {
  assert.notEqual(decoded, null, "value can't be decoded");
  return decoded as T;
}

/** Codecs by the first part of the key. */
const ROUND_TRIPS: Record<string, RoundTrip> = {
  live: (value) => encodeLiveJob(requireDecoded(decodeLiveJob(value))),
  upstream: (value) => encodeJobIds(decodeJobIds(value)),
  needs: (value) => encodeJobIds(decodeJobIds(value)),
  lists: (value) => {
    const header = requireDecoded(decodeDependencyListHeader(value));
    return header.removing ? encodeHeaderInRemoval(header) : encodeDependencyListHeader(header);
  },
  over: (value) => {
    const record = requireDecoded(decodeJobEnd(value));
    return encodeJobEnd({ state: record.state, at: record.at ?? null }, record.tasks);
  },
  bits: (value) => encodeFinishedTasks(requireDecoded(decodeFinishedTasks(value))),
  roster: (value, key) => encodeRosterPage(decodeRosterPage(key, value)),
  loads: (value, key) => {
    if (key !== 'loads')
      return encodeFurtherPage(requireDecoded(decodeForecasts(value)).map(encodeForecast));
    const { loads, upTo, more } = requireDecoded(decodeFirstPage(value));
    return encodeFirstPage(loads.map(encodeForecast), upTo, more);
  },
  types: (value) => encodeMachineTypes(requireDecoded(decodeMachineTypes(value))),
  mail: (value) => {
    const message = requireDecoded(decodeMailboxMessage(value));
    return message.kind === 'ask' ? encodeMailboxRequest(message) : encodeMailboxResponse(message);
  },
  leader: (value) => encodeLeaderRecord(requireDecoded(decodeLeaderRecord(value))),
  term: (value) => encodeTerm(requireDecoded(decodeTerm(value))),
};

test('a stored record that is decoded and encoded again is unchanged, byte for byte', () => {
  const covered = new Set<string>();
  for (const [key, text] of Object.values(WRITTEN_RECORDS).flat()) {
    const [name = ''] = key.split('/');
    const roundTrip = ROUND_TRIPS[name];
    assert.ok(roundTrip, `no codec for ${key}`);
    assert.equal(JSON.stringify(roundTrip(JSON.parse(text), key)), text, key);
    covered.add(name);
  }
  assert.deepEqual([...covered].sort(), Object.keys(ROUND_TRIPS).sort());
});

test('a peer frame that is decoded and encoded again is unchanged, byte for byte', () => {
  for (const [name, hex] of Object.entries(PEER_FRAMES)) {
    const [value] = new FrameReader().push(Buffer.from(hex, 'hex'));
    const frame = requireDecoded(decodeFrame(value));
    assert.equal(packFrame(encodeFrame(frame)).toString('hex'), hex, name);
  }
  const payloads: [string, (value: unknown) => unknown][] = [
    [PEER_FRAMES.user, (v) => encodeForwardedRequest(requireDecoded(decodeForwardedRequest(v)))],
    [
      PEER_FRAMES.cancelled,
      (v) => encodeCancellationNotice(requireDecoded(decodeCancellationNotice(v))),
    ],
    [PEER_FRAMES.userReply, (v) => encodeForwardedReply(requireDecoded(decodeForwardedReply(v)))],
    [PEER_FRAMES.reportReply, (v) => encodeForwardedReply(requireDecoded(decodeForwardedReply(v)))],
  ];
  for (const [hex, roundTrip] of payloads) {
    const [value] = new FrameReader().push(Buffer.from(hex, 'hex'));
    const frame = requireDecoded(decodeFrame(value));
    assert.ok(frame.kind !== 'status');
    const encoded = encodeFrame({ ...frame, payload: roundTrip(frame.payload) });
    assert.equal(packFrame(encoded).toString('hex'), hex);
  }
});

test('a model that is encoded and decoded again is unchanged', () => {
  const job = jobSpec({ machineTypes: ['m16'], zone: 'b', deadlineS: 30 });
  const jsonRoundTrip = (stored: unknown): unknown => JSON.parse(JSON.stringify(stored));
  assert.deepEqual(decodeJobSpec(jsonRoundTrip(encodeJobSpec(job))), job);
  const records: LiveJobRecord[] = [
    { spec: job, acceptedAt: 7 },
    { spec: job, acceptedAt: 7, dependencies: ['req-1'], dependencyPages: 2 },
    {
      spec: job,
      acceptedAt: 7,
      dependencies: ['req-1/list'],
      dependencyList: { token: 'ab', pages: 3 },
    },
  ];
  for (const record of records)
    assert.deepEqual(decodeLiveJob(jsonRoundTrip(encodeLiveJob(record))), record);
  const forecast: DemandForecast = {
    spec: job,
    mean: 0.5,
    variance: 2,
    meanRequest: { cpus: 1.5, gpus: 0, memoryGb: 3 },
    occupancyS: 20.6,
    arrivalIntervalMs: null,
    sinceLastArrivalMs: 9,
  };
  assert.deepEqual(decodeForecast(jsonRoundTrip(encodeForecast(forecast))), forecast);
  assert.deepEqual(decodeMachineTypes(jsonRoundTrip(encodeMachineTypes([MACHINE_TYPE]))), [
    MACHINE_TYPE,
  ]);
  const machine: RosterEntry = {
    id: 'n-1',
    type: 'm16',
    zone: 'a',
    spot: true,
    address: '10.0.0.1:9001',
  };
  assert.deepEqual(decodeRosterPage('3-1', jsonRoundTrip(encodeRosterPage([machine]))), [machine]);
});

/** Values that the state service or a peer may return instead of an object. */
const NON_OBJECTS = [undefined, null, 5, 'text', true, [], [{}]];

test('a value that is not an object decodes to null, and mapIfObject returns it unchanged', () => {
  const decoders: Record<string, (value: unknown) => unknown> = {
    decodeJobSpec,
    decodeLiveJob,
    decodeJobEnd,
    decodeDependencyListHeader,
    decodeRosterEntry,
    decodeForecast,
    decodeForecasts,
    decodeFirstPage,
    decodeMachineType,
    decodeMailboxMessage,
    decodeLeaderRecord,
    decodeFrame,
    decodeForwardedRequest,
    decodeCancellationNotice,
    decodeForwardedReply,
  };
  for (const [name, decode] of Object.entries(decoders))
    for (const value of NON_OBJECTS) {
      assert.equal(decode(value), null, `${name} of ${JSON.stringify(value)}`);
      assert.equal(mapIfObject(value, decode), value);
    }
  assert.equal(decodeMachineTypes({}), null);
  assert.deepEqual(decodeMachineTypes([null, 5]), [null, 5]);
  assert.equal(decodeFinishedTasks({}), null);
  assert.equal(decodeTerm('7'), null);
});

test('a record with missing fields decodes without them, or to null where they are required', () => {
  for (const decode of [decodeJobSpec, decodeMachineType, decodeForecast]) {
    const model = requireDecoded<object>(decode({}));
    assert.ok(Object.values(model).every((value) => value === undefined));
  }
  const live = requireDecoded(decodeLiveJob({ spec: null, at: 'x' }));
  assert.deepEqual([live.spec, live.acceptedAt], [null, 'x']);
  // Callers distinguish an absent list from null.
  assert.equal(requireDecoded(decodeLiveJob({ upstreamList: null })).dependencyList, null);
  assert.equal(requireDecoded(decodeLiveJob({})).dependencyList, undefined);
  const end = requireDecoded(decodeJobEnd({}));
  assert.deepEqual([end.state, end.tasks, end.at], [undefined, undefined, undefined]);
  const singleMachine: RosterEntry = {
    id: 'n-7',
    type: 'm16',
    zone: 'a',
    spot: false,
    address: '',
  };
  assert.deepEqual(decodeRosterPage('n-7', { type: 'm16', zone: 'a' }), [singleMachine]);
  assert.deepEqual(decodeRosterPage('p', { machines: [null, 5] }), []);
  assert.deepEqual(decodeFirstPage({ loads: [], upTo: 3 }), { loads: [], upTo: 3, more: 0 });
  for (const malformed of [{}, { kind: 'ask' }, { kind: 'ask', text: 5 }, { kind: 'status' }])
    assert.equal(decodeMailboxMessage(malformed), null);
  for (const malformed of [{}, { kind: 'odd' }, { kind: 'status' }, { kind: 'status', status: [] }])
    assert.equal(decodeFrame(malformed), null);
  const leader = { node: 'n-0', incarnation: 'i', term: 1, lease: 2 };
  for (const field of Object.keys(leader))
    assert.equal(decodeLeaderRecord({ ...leader, [field]: null }), null, field);
});

test('unknown fields keep their values and places when a record is decoded and encoded again', () => {
  const stored = {
    later: 1,
    spec: { region: 'r', ...encodeJobSpec(jobSpec()) },
    mean: 1,
    variance: 2,
    shape: { disks: 2, cpus: 1, gpus: 0, memoryGb: 1 },
    gapMs: 5,
    quietMs: 6,
  };
  const forecast = requireDecoded(decodeForecast(stored));
  forecast.mean = 4;
  forecast.occupancyS = 9;
  assert.equal(
    JSON.stringify(encodeForecast(forecast)),
    JSON.stringify({ ...stored, mean: 4, holdS: 9 }),
  );
  // A new object has no unknown fields.
  forecast.meanRequest = { cpus: 2, gpus: 0, memoryGb: 2 };
  const shape: StoredResourceRequest = { cpus: 2, gpus: 0, memoryGb: 2 };
  assert.deepEqual(encodeForecast(forecast).shape, shape);
  const header = requireDecoded(
    decodeDependencyListHeader({ by: 'n-1', pages: 2, removing: false }),
  );
  assert.equal(
    JSON.stringify(encodeHeaderInRemoval(header)),
    '{"by":"n-1","pages":2,"removing":true}',
  );
});
