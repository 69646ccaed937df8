import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyLists } from '../src/controller/api/dependency-lists.js';
import { JobApi } from '../src/controller/api/job-api.js';
import { JobStore } from '../src/controller/api/job-store.js';
import { LeaderElection } from '../src/controller/election/leader-election.js';
import { Mailbox } from '../src/controller/heartbeats/mailbox.js';
import { DemandStore } from '../src/controller/leader/demand-store.js';
import { storeMachineTypes } from '../src/controller/machine-types.js';
import type { DependencyListHeader } from '../src/records/dependency-list-record.js';
import type { LiveJobRecord } from '../src/records/job-record.js';
import { liveJobKey } from '../src/records/keys.js';
import { RequestPriority } from '../src/runtime/request-budget.js';
import { collectPendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock, settle } from './support/clock.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { createRecordingNode } from './support/recording.js';
import { FULL_SUBMISSION, LONG_IDS, WRITTEN_RECORDS } from './support/records.js';
import { createCluster, jobSpec, MACHINE_TYPE, ScriptedAgent } from './support/scheduler.js';
import { SUBMISSION } from './support/submission.js';

/** Limits under which a value holds a job record and few ids. */
const SMALL_VALUES = { presentValueBytes: 700, valueBytes: 700 };
const neverAborted = new AbortController().signal;

/** Asserts that exactly the recorded keys and texts were written, in this order. */
function assertWritten(
  written: readonly [string, string][],
  name: keyof typeof WRITTEN_RECORDS,
): void {
  assert.deepEqual(written, WRITTEN_RECORDS[name]);
}

test('live jobs without options, with every option and with dependencies are written as recorded', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock());
  const jobApi = new JobApi(
    { ...ctx, machineTypes: [MACHINE_TYPE, { ...MACHINE_TYPE, name: 'g8', gpus: 8 }] },
    WITHOUT_LEADER,
  );
  const submit = async (fields: object) => {
    const reply = await jobApi.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, ...fields })));
    assert.equal(reply.status, 201);
  };
  await submit({ id: 'req-000001' });
  await submit({ id: 'req-000002', ...FULL_SUBMISSION });
  await submit({ id: 'req-000003', awaits: ['req-000001', 'req-000002'] });
  assertWritten(state.written, 'liveJobs');
});

test('a live job with further dependencies in pages is written as recorded', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock(), SMALL_VALUES);
  const record: LiveJobRecord = {
    spec: jobSpec({ id: 'req-000004' }),
    acceptedAt: ctx.clock.wall(),
  };
  await new JobStore(ctx).create(
    record,
    { pending: LONG_IDS, all: LONG_IDS },
    RequestPriority.submissions,
  );
  assertWritten(state.written, 'upstreamPages');
});

test('a live job with a dependency list, and the removal of the list, are written as recorded', async () => {
  const { ctx, state, store } = createRecordingNode(new FakeClock(), {
    ...SMALL_VALUES,
    changes: 1,
  });
  const record: LiveJobRecord = {
    spec: jobSpec({ id: 'req-000005' }),
    acceptedAt: ctx.clock.wall(),
  };
  await new JobStore(ctx).create(
    record,
    { pending: LONG_IDS, all: LONG_IDS },
    RequestPriority.submissions,
  );
  assertWritten(state.written, 'upstreamList');
  state.written.length = 0;
  store.transact([], [{ op: 'delete', key: liveJobKey('req-000005') }]);
  const header = [...store.entries.values()].find((e) => e.key.startsWith('lists/'));
  assert.ok(header);
  const [, , token = ''] = header.key.split('/');
  const value: DependencyListHeader = { pages: 2 };
  await new DependencyLists(ctx).remove(
    { jobId: 'req-000005', token, version: header.version, header: value },
    RequestPriority.progress,
  );
  assertWritten(state.written, 'listRemoval');
});

test('ends of jobs, done or cancelled in each way, are written as recorded', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock());
  const store = new JobStore(ctx);
  const cluster = createCluster();
  for (const id of ['req-000001', 'req-000002'])
    cluster.addJob(jobSpec({ id, tasks: 3 }), 7, 0, false);
  const done = cluster.jobs.get('req-000001');
  const dependent = cluster.jobs.get('req-000002');
  assert.ok(done && dependent);
  for (const index of [0, 1, 2]) done.markDone(index);
  dependent.dependencyCancelled = true;
  for (const write of collectPendingWrites(cluster, {
    progressChanges: 9,
    wallNow: ctx.clock.wall(),
  }))
    await state.transact([], write.changes);
  await store.createCancelled(jobSpec({ id: 'req-000003', tasks: 4 }), RequestPriority.submissions);
  const acceptedJob: LiveJobRecord = { spec: jobSpec({ id: 'req-000004' }), acceptedAt: 5 };
  await store.create(acceptedJob, { pending: [], all: [] }, RequestPriority.submissions);
  const live = await store.find('req-000004', RequestPriority.submissions);
  assert.ok(live?.live);
  await store.cancel(live, RequestPriority.submissions);
  assertWritten(
    state.written.filter(([key]) => key.startsWith('over/')),
    'ends',
  );
});

test('bitmaps of finished tasks and roster pages are written as recorded', async () => {
  const { state } = createRecordingNode(new FakeClock());
  const cluster = createCluster({ term: 3 });
  cluster.addJob(jobSpec({ id: 'req-000001', tasks: 100 }), 7, 0, false);
  const job = cluster.jobs.get('req-000001');
  assert.ok(job);
  for (const index of [0, 9, 63, 64, 99]) {
    job.markDone(index);
    job.unsavedChunks.set(cluster.bitmaps.chunkOf(index), []);
  }
  for (const agent of [new ScriptedAgent('n-1', 'a', true), new ScriptedAgent('n-2', 'b')]) {
    cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 0);
    agent.execute(cluster.term, []);
    cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 0);
  }
  const writes = collectPendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  for (const write of writes) await state.transact([], write.changes);
  assertWritten(state.written, 'progress');
  // The progress writer limits its transactions by these sizes, which include an allowance beside the value.
  assert.deepEqual(
    writes.map((write) => write.sizeBytes),
    [552, 532, 528],
  );
});

test('demand forecasts are written in pages as recorded', async () => {
  const clock = new FakeClock();
  const { ctx, state } = createRecordingNode(clock, { valueBytes: 900 });
  const stop = new AbortController();
  const term = { term: 1, version: 0, signal: stop.signal } as never;
  const demandStore = new DemandStore(ctx, term, new ScaleOutPlanner(createCluster()));
  demandStore.recordArrival(jobSpec({ jobClass: 'small', tasks: 1 }), 11);
  demandStore.recordArrival(
    jobSpec({ jobClass: 'large', tasks: 8, machineTypes: ['m16'], zone: 'a' }),
    12,
  );
  demandStore.recordArrival(
    jobSpec({ jobClass: 'large', tasks: 8, machineTypes: ['m16'], zone: 'a', cpus: 2 }),
    13,
  );
  void demandStore.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.demandSaveIntervalMs + 1);
  stop.abort();
  await settle();
  assertWritten(state.written, 'loads');
});

test('machine types are written as recorded, but not again when only prices change', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock());
  await storeMachineTypes(
    ctx,
    [MACHINE_TYPE, { ...MACHINE_TYPE, name: 'g8', gpus: 8 }],
    neverAborted,
  );
  await storeMachineTypes(
    ctx,
    [MACHINE_TYPE, { ...MACHINE_TYPE, name: 'g8', gpus: 8, price: 7, spotPrice: 2 }],
    neverAborted,
  );
  assertWritten(state.written, 'types');
});

test('mailbox requests and responses are written as recorded', async () => {
  const clock = new FakeClock();
  const { ctx, state, store } = createRecordingNode(clock);
  const stop = new AbortController();
  const requester = new Mailbox(ctx, () => Promise.reject(new Error('unexpected request')));
  const peerContext = { ...ctx, node: 'n-1', incarnation: 'n-1-1' };
  const responder = new Mailbox(peerContext, async (text) => ({
    status: 200,
    body: { got: text },
  }));
  for (const mailbox of [requester, responder]) void mailbox.run(stop.signal);
  await settle();
  const response = await requester.request('n-1', 'm-7', '{"cart":"m-7"}', 1000);
  assert.deepEqual(response, { status: 200, body: { got: '{"cart":"m-7"}' } });
  stop.abort();
  assertWritten(state.written, 'mail');
  assert.ok([...store.entries.values()].every((e) => e.lease !== undefined));
});

test('the leader and the term are written as recorded', async () => {
  const clock = new FakeClock();
  const { ctx, state } = createRecordingNode(clock);
  const stop = new AbortController();
  const election = new LeaderElection(ctx, () => new Promise(() => {}));
  void election.run(stop.signal);
  await settle();
  stop.abort();
  assertWritten(state.written, 'leader');
});
