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
import { pendingWrites } from '../src/scheduler/persistence/pending-writes.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock, settle } from './support/clock.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { createRecordingNode } from './support/recording.js';
import { FULL_SUBMISSION, LONG_IDS, WRITTEN_RECORDS } from './support/records.js';
import { createCluster, jobSpec, MACHINE_TYPE, ScriptedAgent } from './support/scheduler.js';
import { SUBMISSION } from './support/submission.js';

/** Values of this size hold a job's record and few ids. */
const SMALL_VALUES = { presentValueBytes: 700, valueBytes: 700 };
const neverAborted = new AbortController().signal;

/** What was written is exactly the literal text, under exactly these keys, in this order. */
function assertWritten(
  written: readonly [string, string][],
  name: keyof typeof WRITTEN_RECORDS,
): void {
  assert.deepEqual(written, WRITTEN_RECORDS[name]);
}

test('live jobs: plain, with every option, and with one that they wait for', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock());
  const users = new JobApi(
    { ...ctx, machineTypes: [MACHINE_TYPE, { ...MACHINE_TYPE, name: 'g8', gpus: 8 }] },
    WITHOUT_LEADER,
  );
  const submit = async (fields: object) => {
    const reply = await users.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, ...fields })));
    assert.equal(reply.status, 201);
  };
  await submit({ id: 'req-000001' });
  await submit({ id: 'req-000002', ...FULL_SUBMISSION });
  await submit({ id: 'req-000003', awaits: ['req-000001', 'req-000002'] });
  assertWritten(state.written, 'liveJobs');
});

test('live jobs with further ids in pages', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock(), SMALL_VALUES);
  const record: LiveJobRecord = {
    spec: jobSpec({ id: 'req-000004' }),
    acceptedAt: ctx.clock.wall(),
  };
  await new JobStore(ctx).create(
    record,
    { pending: LONG_IDS, named: LONG_IDS },
    RequestPriority.submissions,
  );
  assertWritten(state.written, 'upstreamPages');
});

test('live jobs with a list of their own, and the removal of that list', async () => {
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
    { pending: LONG_IDS, named: LONG_IDS },
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

test('ends of jobs: done, cancelled by their user, with another and before they began', async () => {
  const { ctx, state } = createRecordingNode(new FakeClock());
  const store = new JobStore(ctx);
  const cluster = createCluster();
  for (const id of ['req-000001', 'req-000002'])
    cluster.addJob(jobSpec({ id, tasks: 3 }), 7, 0, false);
  const done = cluster.jobs.get('req-000001');
  const waiting = cluster.jobs.get('req-000002');
  assert.ok(done && waiting);
  for (const index of [0, 1, 2]) done.markDone(index);
  waiting.dependencyCancelled = true;
  for (const write of pendingWrites(cluster, { progressChanges: 9, wallNow: ctx.clock.wall() }))
    await state.transact([], write.changes);
  await store.createCancelled(jobSpec({ id: 'req-000003', tasks: 4 }), RequestPriority.submissions);
  const accepted: LiveJobRecord = { spec: jobSpec({ id: 'req-000004' }), acceptedAt: 5 };
  await store.create(accepted, { pending: [], named: [] }, RequestPriority.submissions);
  const live = await store.find('req-000004', RequestPriority.submissions);
  assert.ok(live?.live);
  await store.cancel(live, RequestPriority.submissions);
  assertWritten(
    state.written.filter(([key]) => key.startsWith('over/')),
    'ends',
  );
});

test('finished tasks of an array, and pages of machines', async () => {
  const { state } = createRecordingNode(new FakeClock());
  const cluster = createCluster({ term: 3 });
  cluster.addJob(jobSpec({ id: 'req-000001', tasks: 100 }), 7, 0, false);
  const job = cluster.jobs.get('req-000001');
  assert.ok(job);
  for (const index of [0, 9, 63, 64, 99]) {
    job.markDone(index);
    job.unsavedChunks.set(cluster.bitmaps.chunkOf(index), []);
  }
  for (const worker of [new ScriptedAgent('n-1', 'a', true), new ScriptedAgent('n-2', 'b')]) {
    cluster.applyHeartbeat(worker.heartbeat(), 'heartbeat', 0);
    worker.execute(cluster.term, []);
    cluster.applyHeartbeat(worker.heartbeat(), 'heartbeat', 0);
  }
  const writes = pendingWrites(cluster, { progressChanges: 9, wallNow: 0 });
  for (const write of writes) await state.transact([], write.changes);
  assertWritten(state.written, 'progress');
  // What the writer takes their room for, beside the bytes themselves.
  assert.deepEqual(
    writes.map((write) => write.size),
    [552, 532, 528],
  );
});

test('what work is expected, in pages', async () => {
  const clock = new FakeClock();
  const { ctx, state } = createRecordingNode(clock, { valueBytes: 900 });
  const stop = new AbortController();
  const term = { term: 1, version: 0, signal: stop.signal } as never;
  const loads = new DemandStore(ctx, term, new ScaleOutPlanner(createCluster()));
  loads.recordArrival(jobSpec({ jobClass: 'small', tasks: 1 }), 11);
  loads.recordArrival(
    jobSpec({ jobClass: 'large', tasks: 8, machineTypes: ['m16'], zone: 'a' }),
    12,
  );
  loads.recordArrival(
    jobSpec({ jobClass: 'large', tasks: 8, machineTypes: ['m16'], zone: 'a', cpus: 2 }),
    13,
  );
  void loads.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.demandSaveMs + 1);
  stop.abort();
  await settle();
  assertWritten(state.written, 'loads');
});

test('machine types; a change of prices alone is not written', async () => {
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

test('questions and answers by mail', async () => {
  const clock = new FakeClock();
  const { ctx, state, store } = createRecordingNode(clock);
  const stop = new AbortController();
  const asker = new Mailbox(ctx, () => Promise.reject(new Error('not asked')));
  const other = { ...ctx, node: 'n-1', incarnation: 'n-1-1' };
  const answerer = new Mailbox(other, async (text) => ({ status: 200, body: { got: text } }));
  for (const mail of [asker, answerer]) void mail.run(stop.signal);
  await settle();
  const answer = await asker.request('n-1', 'm-7', '{"cart":"m-7"}', 1000);
  assert.deepEqual(answer, { status: 200, body: { got: '{"cart":"m-7"}' } });
  stop.abort();
  assertWritten(state.written, 'mail');
  assert.ok([...store.entries.values()].every((e) => e.lease !== undefined));
});

test('the leader and its term', async () => {
  const clock = new FakeClock();
  const { ctx, state } = createRecordingNode(clock);
  const stop = new AbortController();
  const leadership = new LeaderElection(ctx, () => new Promise(() => {}));
  void leadership.run(stop.signal);
  await settle();
  stop.abort();
  assertWritten(state.written, 'leader');
});
