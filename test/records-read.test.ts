import assert from 'node:assert/strict';
import { test } from 'node:test';
import { pino } from 'pino';
import { DEFAULT_POLICY } from '../src/config/policy.js';
import { JobApi } from '../src/controller/api/job-api.js';
import { JobStore } from '../src/controller/api/job-store.js';
import type { ControllerContext } from '../src/controller/context.js';
import { LeaderElection } from '../src/controller/election/leader-election.js';
import type { LeaderTerm } from '../src/controller/election/leader-term.js';
import { Mailbox } from '../src/controller/heartbeats/mailbox.js';
import { DemandStore } from '../src/controller/leader/demand-store.js';
import { DependencyListCleaner } from '../src/controller/leader/dependency-list-cleaner.js';
import { Leader } from '../src/controller/leader/leader.js';
import { schedulerPolicy } from '../src/controller/leader/scheduler-configuration.js';
import { readMachineTypes, storeMachineTypes } from '../src/controller/machine-types.js';
import type { JobSpec } from '../src/model/job.js';
import type { EndedJobRecord } from '../src/records/job-end-record.js';
import { RequestPriority } from '../src/runtime/request-budget.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock, settle } from './support/clock.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { createRecordingNode } from './support/recording.js';
import { LONG_IDS, WRITTEN_RECORDS } from './support/records.js';
import { createCluster, jobSpec, MACHINE_TYPE } from './support/scheduler.js';
import type { FakeStore } from './support/state.js';

const neverAborted = new AbortController().signal;

/** Stores the JSON texts, as if another version had written them. */
function seed(store: FakeStore, ...texts: readonly (readonly [key: string, text: string])[]): void {
  for (const [key, text] of texts)
    store.transact([], [{ op: 'put', key, value: JSON.parse(text) }]);
}

function requireText(records: readonly (readonly [string, string])[], key: string): string {
  const found = records.find(([written]) => written === key);
  assert.ok(found, key);
  return found[1];
}

const PLAIN_JOB = requireText(WRITTEN_RECORDS.liveJobs, 'live/req-000001');
const FULL_JOB = requireText(WRITTEN_RECORDS.liveJobs, 'live/req-000002');
const FORECAST_PAGE = requireText(WRITTEN_RECORDS.loads, 'loads');

/** Starts a leader that restores the contents of the store. Returns it with its log lines. */
async function startLeader(ctx: ControllerContext) {
  const logged: { level: number; msg: string; key?: string }[] = [];
  const log = pino({ level: 'info' }, { write: (line: string) => logged.push(JSON.parse(line)) });
  const stop = new AbortController();
  const term = {
    number: 4,
    version: 1000,
    signal: stop.signal,
    isProven: () => true,
    mayStartTasks: () => true,
    mayRenewAgentLeases: () => true,
    setCancellationsKnownAt: () => {},
    resign: () => {},
  } satisfies Partial<LeaderTerm> as unknown as LeaderTerm;
  const cloud = {
    types: async () => [MACHINE_TYPE],
    list: async () => ({ machines: [], more: false }),
    provision: async () => null,
    terminate: async () => {},
  };
  const agents = {
    command: () => Promise.reject(new Error()),
    retainOnly: () => {},
    close: () => {},
  };
  const leader = new Leader({
    ctx: { ...ctx, log },
    cloud,
    term,
    policy: schedulerPolicy(DEFAULT_POLICY),
    agents,
  });
  const termEnded = leader.run().catch(() => {});
  await settle();
  assert.ok(leader.ready);
  return {
    leader,
    logged,
    end: async () => {
      stop.abort();
      await termEnded;
    },
  };
}

test('a new leader restores jobs, finished tasks and machines from stored records', async () => {
  const { ctx, store } = createRecordingNode(new FakeClock());
  seed(
    store,
    ...WRITTEN_RECORDS.liveJobs,
    ...WRITTEN_RECORDS.upstreamPages,
    ...WRITTEN_RECORDS.upstreamList,
  );
  seed(store, ...WRITTEN_RECORDS.progress, ...WRITTEN_RECORDS.loads, ...WRITTEN_RECORDS.types);
  seed(store, ['bits/req-000002/0000', '"Ag=="']);
  const { leader, end } = await startLeader(ctx);
  const { jobs, machines } = leader.cluster;
  assert.deepEqual(
    [...jobs.keys()],
    ['req-000001', 'req-000002', 'req-000003', 'req-000004', 'req-000005'],
  );
  const full: JobSpec = {
    ...jobSpec(),
    id: 'req-000002',
    priority: 0,
    tasks: 2,
    cpus: 2,
    gpus: 1,
    memoryGb: 4,
    machineTypes: ['m16', 'g8'],
    zone: 'b',
    singleZone: true,
    zoneAntiAffinity: true,
    estimatedDurationS: 10.5,
    checkpointIntervalS: 60,
    checkpointCostS: 2,
    deadlineS: 300,
  };
  assert.deepEqual(jobs.get('req-000002')?.spec, full);
  const acceptedAt = [...jobs.values()].map((job) => job.acceptedAt);
  assert.deepEqual(acceptedAt, Array(5).fill(1_800_000_001_000));
  assert.deepEqual(
    [...(jobs.get('req-000003')?.pendingDependencies ?? [])],
    ['req-000001', 'req-000002'],
  );
  assert.deepEqual([...(jobs.get('req-000004')?.pendingDependencies ?? [])], LONG_IDS);
  assert.deepEqual([...(jobs.get('req-000005')?.pendingDependencies ?? [])], LONG_IDS);
  assert.equal(jobs.get('req-000001')?.doneCount, 1);
  assert.equal(jobs.get('req-000002')?.isDone(1), true);
  assert.deepEqual(
    [...machines.values()].map((machine) => [
      machine.id,
      machine.typeName,
      machine.zone,
      machine.spot,
      machine.address,
    ]),
    [
      ['n-1', 'm16', 'a', true, '10.0.0.1:9001'],
      ['n-2', 'm16', 'b', false, '10.0.0.1:9002'],
    ],
  );
  await end();
});

test('a new leader restores records of earlier versions: one machine per key, jobs without a time', async () => {
  const { ctx, store } = createRecordingNode(new FakeClock());
  const job = JSON.parse(PLAIN_JOB) as { spec: object };
  seed(
    store,
    ['roster/n-7', '{"type":"m16","zone":"a","spot":true}'],
    ['roster/odd', '[]'],
    ['live/req-000001', JSON.stringify({ spec: job.spec })],
  );
  const { leader, end } = await startLeader(ctx);
  const { machines, jobs } = leader.cluster;
  const restored = [...machines.values()].map((machine) => [
    machine.id,
    machine.typeName,
    machine.zone,
    machine.spot,
    machine.address,
  ]);
  assert.deepEqual(restored, [
    ['n-7', 'm16', 'a', true, ''],
    ['odd', 'undefined', 'undefined', false, ''],
  ]);
  assert.deepEqual([...jobs.keys()], ['req-000001']);
  await end();
});

test('unreadable jobs are logged once, unreadable bitmaps are ignored, and other jobs are restored', async () => {
  const { ctx, store } = createRecordingNode(new FakeClock());
  seed(
    store,
    ...WRITTEN_RECORDS.liveJobs,
    ['live/a', '5'],
    ['live/b', '{}'],
    ['live/c', '{"spec":null}'],
    ['live/d', '[]'],
    ['bits/req-000001/0000', '{"odd":1}'],
    ['bits/req-000002/odd', '"Ag=="'],
  );
  const { leader, logged, end } = await startLeader(ctx);
  assert.deepEqual([...leader.cluster.jobs.keys()], ['req-000001', 'req-000002', 'req-000003']);
  const errors = logged.filter((line) => line.level >= 50).map((line) => [line.msg, line.key]);
  assert.deepEqual(
    errors,
    ['live/a', 'live/b', 'live/c', 'live/d'].map((key) => ['live job is not readable', key]),
  );
  assert.equal(leader.cluster.jobs.get('req-000001')?.doneCount, 0);
  await end();
});

test('user queries are served from stored records', async () => {
  const { ctx, store } = createRecordingNode(new FakeClock());
  seed(
    store,
    ...WRITTEN_RECORDS.upstreamPages,
    ...WRITTEN_RECORDS.upstreamList,
    ...WRITTEN_RECORDS.ends.slice(0, 2),
  );
  seed(store, ['live/odd', 'null'], ['live/req-000009', FULL_JOB]);
  const jobs = new JobStore(ctx);
  for (const id of ['req-000004', 'req-000005']) {
    const found = await jobs.find(id, RequestPriority.submissions);
    assert.ok(found?.live);
    assert.deepEqual(
      await jobs.dependenciesOf(id, found.record, RequestPriority.submissions),
      LONG_IDS,
    );
  }
  const done = await jobs.find('req-000001', RequestPriority.submissions);
  const doneEnd: EndedJobRecord = { state: 'done', tasks: 3, at: 1_800_000_001_000 };
  assert.deepEqual(done?.record, doneEnd);
  const cancelled = await jobs.findEnded('req-000002', RequestPriority.submissions);
  const cancelledEnd: EndedJobRecord = { state: 'cancelled', tasks: 3 };
  assert.deepEqual(cancelled?.record, cancelledEnd);
  const jobApi = new JobApi(ctx, WITHOUT_LEADER);
  const statusBodies = [];
  for (const id of ['req-000001', 'req-000002', 'req-000009'])
    statusBodies.push((await jobApi.query(id)).body);
  assert.deepEqual(statusBodies, [
    { id: 'req-000001', standing: 'done', done: 3, running: 0 },
    { id: 'req-000002', standing: 'cancelled', done: 0, running: 0 },
    { id: 'req-000009', standing: 'queued', done: 0, running: 0 },
  ]);
});

test('a query of a job whose record is not an object gets 503', async () => {
  const { ctx, store } = createRecordingNode(new FakeClock());
  seed(store, ['live/req-000001', 'null'], ['live/req-000002', '5'], ['over/req-000003', 'null']);
  const jobApi = new JobApi(ctx, WITHOUT_LEADER);
  for (const id of ['req-000001', 'req-000002', 'req-000003'])
    assert.equal((await jobApi.query(id)).status, 503);
});

test('fields that a later version added to demand forecasts are kept when they are written again', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = createRecordingNode(clock);
  const stored = FORECAST_PAGE.replace('"spec":{', '"spec":{"later":[1],')
    .replace('"shape":{', '"hint":"x","shape":{"disks":2,')
    .replace(',"holdS":20.6', '');
  const live = PLAIN_JOB.replace('"oneZone"', '"region":"r","oneZone"');
  seed(store, ['loads', stored], ['live/req-000001', live]);
  const stop = new AbortController();
  const term = { number: 1, version: 0, signal: stop.signal } as never;
  const scaleOut = new ScaleOutPlanner(createCluster());
  const demandStore = new DemandStore(ctx, term, scaleOut);
  await demandStore.read();
  const found = await new JobStore(ctx).find('req-000001', RequestPriority.submissions);
  assert.ok(found?.live);
  demandStore.recordArrival(found.record.spec, 99);
  void demandStore.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.demandSaveIntervalMs + 1);
  stop.abort();
  await settle();
  const { spec } = JSON.parse(live) as { spec: object };
  const large = stored
    .slice(stored.indexOf('{"spec"'), stored.indexOf('],"upTo"'))
    .replace('"quietMs":0', '"quietMs":0,"holdS":20.6');
  const shape = '"shape":{"cpus":2,"gpus":0,"memoryGb":4}';
  const small = `{"spec":${JSON.stringify(spec)},"mean":0.212,"variance":0.424,${shape},"holdS":10.6,"gapMs":50000,"quietMs":0}`;
  assert.equal(state.lastText('loads'), `{"loads":[${large},${small}],"upTo":99,"more":0}`);
});

test('stored machine types are read, and are written again only when more than prices differ', async () => {
  const { ctx, store, state } = createRecordingNode(new FakeClock());
  const cloud = { types: async () => [MACHINE_TYPE] };
  const g8 = { ...MACHINE_TYPE, name: 'g8', gpus: 8 };
  seed(store, ...WRITTEN_RECORDS.types);
  assert.deepEqual(await readMachineTypes(ctx, cloud, neverAborted), [MACHINE_TYPE, g8]);
  await storeMachineTypes(ctx, [MACHINE_TYPE, g8], neverAborted);
  assert.deepEqual(state.written, []);
  // Writing the list drops the field of a later version.
  seed(store, [
    'types',
    requireText(WRITTEN_RECORDS.types, 'types').replace('"gpus":8', '"gpus":8,"disks":1'),
  ]);
  assert.deepEqual(
    (await readMachineTypes(ctx, cloud, neverAborted)).map((type) => type.gpus),
    [0, 8],
  );
  await storeMachineTypes(ctx, [MACHINE_TYPE, g8], neverAborted);
  assert.deepEqual(state.written, WRITTEN_RECORDS.types);
  for (const malformed of ['{}', '[]', 'null', '"x"']) {
    seed(store, ['types', malformed]);
    assert.deepEqual(await readMachineTypes(ctx, cloud, neverAborted), [MACHINE_TYPE]);
  }
});

test('an orphaned dependency list is removed, and its header keeps the fields of a later version', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = createRecordingNode(clock);
  seed(store, ...WRITTEN_RECORDS.upstreamList.slice(0, -1));
  const [[key] = ['']] = WRITTEN_RECORDS.upstreamList;
  seed(store, [key, '{"by":"n-1","pages":2}']);
  const stop = new AbortController();
  void new DependencyListCleaner(ctx, new Map()).run(stop.signal);
  await clock.advance(ctx.timing.orphanListRetentionMs + ctx.timing.agentLeaseMs * 3);
  stop.abort();
  assert.deepEqual(state.written, [[key, '{"by":"n-1","pages":2,"removing":true}']]);
  assert.deepEqual([...store.entries.keys()], []);
});

test('the leader and the term are read from their records, and the next term follows the stored one', async () => {
  const clock = new FakeClock();
  const { ctx, store } = createRecordingNode(clock);
  seed(store, ['leader', '{"node":"n-1","incarnation":"n-1-1","term":6,"lease":3}'], ['term', '6']);
  const stop = new AbortController();
  const election = new LeaderElection(ctx, () => new Promise(() => {}));
  void election.run(stop.signal);
  await settle();
  assert.deepEqual([election.leaderNode, election.observedTerm], ['n-1', 6]);
  store.transact([], [{ op: 'delete', key: 'leader' }]);
  await clock.advance(5000);
  assert.equal(election.currentTerm?.number, 7);
  stop.abort();
});

test('malformed mailbox messages and responses to other requests or processes are ignored', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = createRecordingNode(clock);
  const stop = new AbortController();
  const texts: string[] = [];
  const mailbox = new Mailbox(ctx, async (text) => texts.push(text));
  void mailbox.run(stop.signal);
  await settle();
  const timedOut = assert.rejects(mailbox.request('n-1', 'm-7', 'x', 1000), /not answered/);
  await settle();
  seed(
    store,
    ['mail/n-0/n-1/m-7', '{"kind":"answer","n":1,"incarnation":"n-0-0","value":1}'],
    ['mail/n-0/n-1/m-7', '{"kind":"answer","n":2,"incarnation":"n-0-1","value":1}'],
    ['mail/n-0/n-1/m-8', '{"kind":"ask","n":1,"from":"n-1","incarnation":"n-1-1"}'],
    ['mail/n-0/n-1/m-8', '{"kind":"odd"}'],
    ['mail/n-0/n-1/m-8', '[]'],
    ['mail/n-0/n-1/m-9', '{"kind":"ask","n":"seven","from":"n-1","incarnation":null,"text":"t"}'],
  );
  await clock.advance(1000);
  await timedOut;
  assert.deepEqual(texts, ['t']);
  assert.equal(
    state.lastText('mail/n-1/n-0/m-9'),
    '{"kind":"answer","n":"seven","incarnation":null,"value":1}',
  );
  stop.abort();
});
