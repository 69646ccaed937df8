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
import { recordingNode } from './support/recording.js';
import { LONG_IDS, WRITTEN } from './support/records.js';
import { createCluster, jobSpec, MACHINE_TYPE } from './support/scheduler.js';
import type { FakeStore } from './support/state.js';

const never = new AbortController().signal;

/** Puts the literal texts into the store, as another version has left them. */
function seed(store: FakeStore, ...texts: readonly (readonly [key: string, text: string])[]): void {
  for (const [key, text] of texts)
    store.transact([], [{ op: 'put', key, value: JSON.parse(text) }]);
}

function textOf(records: readonly (readonly [string, string])[], key: string): string {
  const found = records.find(([written]) => written === key);
  assert.ok(found, key);
  return found[1];
}

const PLAIN = textOf(WRITTEN.liveJobs, 'live/req-000001');
const FULL = textOf(WRITTEN.liveJobs, 'live/req-000002');
const LOADS = textOf(WRITTEN.loads, 'loads');

/** A leader that takes over what the store holds, and what it logs. */
async function takeover(ctx: ControllerContext) {
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
  const workers = {
    command: () => Promise.reject(new Error()),
    retainOnly: () => {},
    close: () => {},
  };
  const leader = new Leader({
    ctx: { ...ctx, log },
    cloud,
    term,
    policy: schedulerPolicy(DEFAULT_POLICY),
    agents: workers,
  });
  const ended = leader.run().catch(() => {});
  await settle();
  assert.ok(leader.ready);
  return {
    leader,
    logged,
    end: async () => {
      stop.abort();
      await ended;
    },
  };
}

test('a leader takes over jobs, finished tasks, machines and expected work', async () => {
  const { ctx, store } = recordingNode(new FakeClock());
  seed(store, ...WRITTEN.liveJobs, ...WRITTEN.upstreamPages, ...WRITTEN.upstreamList);
  seed(store, ...WRITTEN.progress, ...WRITTEN.loads, ...WRITTEN.types);
  seed(store, ['bits/req-000002/0000', '"Ag=="']);
  const { leader, end } = await takeover(ctx);
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

test('machines in keys of their own and jobs without times, of earlier versions, are taken over', async () => {
  const { ctx, store } = recordingNode(new FakeClock());
  const job = JSON.parse(PLAIN) as { spec: object };
  seed(
    store,
    ['roster/n-7', '{"type":"m16","zone":"a","spot":true}'],
    ['roster/odd', '[]'],
    ['live/req-000001', JSON.stringify({ spec: job.spec })],
  );
  const { leader, end } = await takeover(ctx);
  const { machines, jobs } = leader.cluster;
  const read = [...machines.values()].map((machine) => [
    machine.id,
    machine.typeName,
    machine.zone,
    machine.spot,
    machine.address,
  ]);
  assert.deepEqual(read, [
    ['n-7', 'm16', 'a', true, ''],
    ['odd', 'undefined', 'undefined', false, ''],
  ]);
  assert.deepEqual([...jobs.keys()], ['req-000001']);
  await end();
});

test('jobs and bitmaps that are not readable are said once, and hold up nothing', async () => {
  const { ctx, store } = recordingNode(new FakeClock());
  seed(
    store,
    ...WRITTEN.liveJobs,
    ['live/a', '5'],
    ['live/b', '{}'],
    ['live/c', '{"spec":null}'],
    ['live/d', '[]'],
    ['bits/req-000001/0000', '{"odd":1}'],
    ['bits/req-000002/odd', '"Ag=="'],
  );
  const { leader, logged, end } = await takeover(ctx);
  assert.deepEqual([...leader.cluster.jobs.keys()], ['req-000001', 'req-000002', 'req-000003']);
  const errors = logged.filter((line) => line.level >= 50).map((line) => [line.msg, line.key]);
  assert.deepEqual(
    errors,
    ['live/a', 'live/b', 'live/c', 'live/d'].map((key) => ['live job is not readable', key]),
  );
  assert.equal(leader.cluster.jobs.get('req-000001')?.doneCount, 0);
  await end();
});

test('what users ask is answered from the records', async () => {
  const { ctx, store } = recordingNode(new FakeClock());
  seed(store, ...WRITTEN.upstreamPages, ...WRITTEN.upstreamList, ...WRITTEN.ends.slice(0, 2));
  seed(store, ['live/odd', 'null'], ['live/req-000009', FULL]);
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
  const users = new JobApi(ctx, WITHOUT_LEADER);
  const standings = [];
  for (const id of ['req-000001', 'req-000002', 'req-000009'])
    standings.push((await users.query(id)).body);
  assert.deepEqual(standings, [
    { id: 'req-000001', standing: 'done', done: 3, running: 0 },
    { id: 'req-000002', standing: 'cancelled', done: 0, running: 0 },
    { id: 'req-000009', standing: 'queued', done: 0, running: 0 },
  ]);
});

test('a record that is none is not believed, and ends nothing', async () => {
  const { ctx, store } = recordingNode(new FakeClock());
  seed(store, ['live/req-000001', 'null'], ['live/req-000002', '5'], ['over/req-000003', 'null']);
  const users = new JobApi(ctx, WITHOUT_LEADER);
  for (const id of ['req-000001', 'req-000002', 'req-000003'])
    assert.equal((await users.query(id)).status, 503);
});

test('what a later version added goes on in what is written again', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = recordingNode(clock);
  const loads = LOADS.replace('"spec":{', '"spec":{"later":[1],')
    .replace('"shape":{', '"hint":"x","shape":{"disks":2,')
    .replace(',"holdS":20.6', '');
  const live = PLAIN.replace('"oneZone"', '"region":"r","oneZone"');
  seed(store, ['loads', loads], ['live/req-000001', live]);
  const stop = new AbortController();
  const term = { number: 1, version: 0, signal: stop.signal } as never;
  const first = new ScaleOutPlanner(createCluster());
  const kept = new DemandStore(ctx, term, first);
  await kept.read();
  const found = await new JobStore(ctx).find('req-000001', RequestPriority.submissions);
  assert.ok(found?.live);
  kept.recordArrival(found.record.spec, 99);
  void kept.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.demandSaveMs + 1);
  stop.abort();
  await settle();
  const { spec } = JSON.parse(live) as { spec: object };
  const large = loads
    .slice(loads.indexOf('{"spec"'), loads.indexOf('],"upTo"'))
    .replace('"quietMs":0', '"quietMs":0,"holdS":20.6');
  const shape = '"shape":{"cpus":2,"gpus":0,"memoryGb":4}';
  const small = `{"spec":${JSON.stringify(spec)},"mean":0.212,"variance":0.424,${shape},"holdS":10.6,"gapMs":50000,"quietMs":0}`;
  assert.equal(state.text('loads'), `{"loads":[${large},${small}],"upTo":99,"more":0}`);
});

test('machine types are read, and kept as they stand unless more than a price differs', async () => {
  const { ctx, store, state } = recordingNode(new FakeClock());
  const cloud = { types: async () => [MACHINE_TYPE] };
  const g8 = { ...MACHINE_TYPE, name: 'g8', gpus: 8 };
  seed(store, ...WRITTEN.types);
  assert.deepEqual(await readMachineTypes(ctx, cloud, never), [MACHINE_TYPE, g8]);
  await storeMachineTypes(ctx, [MACHINE_TYPE, g8], never);
  assert.deepEqual(state.written, []);
  // A later version's field is no longer there once this one has written.
  seed(store, ['types', textOf(WRITTEN.types, 'types').replace('"gpus":8', '"gpus":8,"disks":1')]);
  assert.deepEqual(
    (await readMachineTypes(ctx, cloud, never)).map((type) => type.gpus),
    [0, 8],
  );
  await storeMachineTypes(ctx, [MACHINE_TYPE, g8], never);
  assert.deepEqual(state.written, WRITTEN.types);
  for (const odd of ['{}', '[]', 'null', '"x"']) {
    seed(store, ['types', odd]);
    assert.deepEqual(await readMachineTypes(ctx, cloud, never), [MACHINE_TYPE]);
  }
});

test('a list whose job never came is removed, with what a later version has put into its header', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = recordingNode(clock);
  seed(store, ...WRITTEN.upstreamList.slice(0, -1));
  const [[key] = ['']] = WRITTEN.upstreamList;
  seed(store, [key, '{"by":"n-1","pages":2}']);
  const stop = new AbortController();
  void new DependencyListCleaner(ctx, new Map()).run(stop.signal);
  await clock.advance(ctx.timing.orphanListMs + ctx.timing.agentLeaseMs * 3);
  stop.abort();
  assert.deepEqual(state.written, [[key, '{"by":"n-1","pages":2,"removing":true}']]);
  assert.deepEqual([...store.entries.keys()], []);
});

test('the leader is read from its record; one that is not readable is none', async () => {
  const clock = new FakeClock();
  const { ctx, store } = recordingNode(clock);
  seed(store, ['leader', '{"node":"n-1","incarnation":"n-1-1","term":6,"lease":3}'], ['term', '6']);
  const stop = new AbortController();
  const leadership = new LeaderElection(ctx, () => new Promise(() => {}));
  void leadership.run(stop.signal);
  await settle();
  assert.deepEqual([leadership.leaderNode, leadership.observedTerm], ['n-1', 6]);
  store.transact([], [{ op: 'delete', key: 'leader' }]);
  await clock.advance(5000);
  assert.equal(leadership.currentTerm?.number, 7);
  stop.abort();
});

test('mail that is none, or for an earlier process, is let be', async () => {
  const clock = new FakeClock();
  const { ctx, store, state } = recordingNode(clock);
  const stop = new AbortController();
  const texts: string[] = [];
  const mail = new Mailbox(ctx, async (text) => texts.push(text));
  void mail.run(stop.signal);
  await settle();
  const late = assert.rejects(mail.request('n-1', 'm-7', 'x', 1000), /not answered/);
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
  await late;
  assert.deepEqual(texts, ['t']);
  assert.equal(
    state.text('mail/n-1/n-0/m-9'),
    '{"kind":"answer","n":"seven","incarnation":null,"value":1}',
  );
  stop.abort();
});
