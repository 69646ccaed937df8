import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UpstreamLists } from '../src/controller/api/dependency-lists.js';
import { Users } from '../src/controller/api/job-api.js';
import { JobStore, type LiveRecord } from '../src/controller/api/job-store.js';
import { Leadership } from '../src/controller/election/leader-election.js';
import { Mail } from '../src/controller/heartbeats/mailbox.js';
import { Loads } from '../src/controller/leader/demand-store.js';
import { storeTypes } from '../src/controller/machine-types.js';
import type { ListHeader } from '../src/records/dependency-list-record.js';
import { liveKey } from '../src/records/keys.js';
import { Priority } from '../src/runtime/request-budget.js';
import { flushUnits } from '../src/scheduler/persistence/durable-writes.js';
import { Renting } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock, settle } from './support/clock.js';
import { recordingNode } from './support/recording.js';
import { FULL_SUBMISSION, LONG_IDS, WRITTEN } from './support/records.js';
import { cluster, ScriptedWorker, spec, TYPE } from './support/scheduler.js';
import { SUBMISSION } from './support/submission.js';

/** Values of this size hold a job's record and few ids. */
const SMALL_VALUES = { presentValueBytes: 700, valueBytes: 700 };
const never = new AbortController().signal;

/** What was written is exactly the literal text, under exactly these keys, in this order. */
function assertWritten(written: readonly [string, string][], name: keyof typeof WRITTEN): void {
  assert.deepEqual(written, WRITTEN[name]);
}

test('live jobs: plain, with every option, and with one that they wait for', async () => {
  const { ctx, state } = recordingNode(new FakeClock());
  const users = new Users(
    { ...ctx, types: [TYPE, { ...TYPE, name: 'g8', gpus: 8 }] },
    () => null,
    async () => {},
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
  const { ctx, state } = recordingNode(new FakeClock(), SMALL_VALUES);
  const record: LiveRecord = { spec: spec({ id: 'req-000004' }), at: ctx.clock.wall() };
  await new JobStore(ctx).create(record, LONG_IDS, LONG_IDS, Priority.users);
  assertWritten(state.written, 'upstreamPages');
});

test('live jobs with a list of their own, and the removal of that list', async () => {
  const { ctx, state, store } = recordingNode(new FakeClock(), { ...SMALL_VALUES, changes: 1 });
  const record: LiveRecord = { spec: spec({ id: 'req-000005' }), at: ctx.clock.wall() };
  await new JobStore(ctx).create(record, LONG_IDS, LONG_IDS, Priority.users);
  assertWritten(state.written, 'upstreamList');
  state.written.length = 0;
  store.transact([], [{ op: 'delete', key: liveKey('req-000005') }]);
  const header = [...store.entries.values()].find((e) => e.key.startsWith('lists/'));
  assert.ok(header);
  const [, , token = ''] = header.key.split('/');
  const value: ListHeader = { pages: 2 };
  await new UpstreamLists(ctx).remove(
    'req-000005',
    token,
    { version: header.version, value },
    liveKey('req-000005'),
    Priority.progress,
  );
  assertWritten(state.written, 'listRemoval');
});

test('ends of jobs: done, cancelled by their user, with another and before they began', async () => {
  const { ctx, state } = recordingNode(new FakeClock());
  const store = new JobStore(ctx);
  const c = cluster();
  for (const id of ['req-000001', 'req-000002']) c.addJob(spec({ id, tasks: 3 }), 7, 0, false);
  const done = c.jobs.get('req-000001');
  const waiting = c.jobs.get('req-000002');
  assert.ok(done && waiting);
  for (const index of [0, 1, 2]) done.finish(index);
  waiting.upstreamCancelled = true;
  for (const unit of flushUnits(c, { spare: 9, wallNow: ctx.clock.wall() }))
    await state.transact([], unit.changes);
  await store.createCancelled(spec({ id: 'req-000003', tasks: 4 }), Priority.users);
  const accepted: LiveRecord = { spec: spec({ id: 'req-000004' }), at: 5 };
  await store.create(accepted, [], [], Priority.users);
  const live = await store.find('req-000004', Priority.users);
  assert.ok(live?.live);
  await store.cancel(live, Priority.users);
  assertWritten(
    state.written.filter(([key]) => key.startsWith('over/')),
    'ends',
  );
});

test('finished tasks of an array, and pages of machines', async () => {
  const { state } = recordingNode(new FakeClock());
  const c = cluster({ term: 3 });
  c.addJob(spec({ id: 'req-000001', tasks: 100 }), 7, 0, false);
  const job = c.jobs.get('req-000001');
  assert.ok(job);
  for (const index of [0, 9, 63, 64, 99]) {
    job.finish(index);
    job.dirty.set(c.bitmaps.chunkOf(index), []);
  }
  for (const worker of [new ScriptedWorker('n-1', 'a', true), new ScriptedWorker('n-2', 'b')]) {
    c.report(worker.report(), true, 0);
    worker.execute(c.term, []);
    c.report(worker.report(), true, 0);
  }
  const units = flushUnits(c, { spare: 9, wallNow: 0 });
  for (const unit of units) await state.transact([], unit.changes);
  assertWritten(state.written, 'progress');
  // What the writer takes their room for, beside the bytes themselves.
  assert.deepEqual(
    units.map((unit) => unit.size),
    [552, 532, 528],
  );
});

test('what work is expected, in pages', async () => {
  const clock = new FakeClock();
  const { ctx, state } = recordingNode(clock, { valueBytes: 900 });
  const stop = new AbortController();
  const term = { term: 1, version: 0, signal: stop.signal } as never;
  const loads = new Loads(ctx, term, new Renting(cluster()));
  loads.arrived(spec({ jobClass: 'small', tasks: 1 }), 11);
  loads.arrived(spec({ jobClass: 'large', tasks: 8, types: ['m16'], zone: 'a' }), 12);
  loads.arrived(spec({ jobClass: 'large', tasks: 8, types: ['m16'], zone: 'a', cpus: 2 }), 13);
  void loads.run(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.loadsMs + 1);
  stop.abort();
  await settle();
  assertWritten(state.written, 'loads');
});

test('machine types; a change of prices alone is not written', async () => {
  const { ctx, state } = recordingNode(new FakeClock());
  await storeTypes(ctx, [TYPE, { ...TYPE, name: 'g8', gpus: 8 }], never);
  await storeTypes(ctx, [TYPE, { ...TYPE, name: 'g8', gpus: 8, price: 7, spotPrice: 2 }], never);
  assertWritten(state.written, 'types');
});

test('questions and answers by mail', async () => {
  const clock = new FakeClock();
  const { ctx, state, store } = recordingNode(clock);
  const stop = new AbortController();
  const asker = new Mail(ctx, () => Promise.reject(new Error('not asked')));
  const other = { ...ctx, node: 'n-1', incarnation: 'n-1-1' };
  const answerer = new Mail(other, async (text) => ({ status: 200, body: { got: text } }));
  for (const mail of [asker, answerer]) void mail.run(stop.signal);
  await settle();
  const answer = await asker.ask('n-1', 'm-7', '{"cart":"m-7"}', 1000);
  assert.deepEqual(answer, { status: 200, body: { got: '{"cart":"m-7"}' } });
  stop.abort();
  assertWritten(state.written, 'mail');
  assert.ok([...store.entries.values()].every((e) => e.lease !== undefined));
});

test('the leader and its term', async () => {
  const clock = new FakeClock();
  const { ctx, state } = recordingNode(clock);
  const stop = new AbortController();
  const leadership = new Leadership(ctx, () => new Promise(() => {}));
  void leadership.run(stop.signal);
  await settle();
  stop.abort();
  assertWritten(state.written, 'leader');
});
