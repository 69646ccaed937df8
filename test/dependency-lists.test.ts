import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DependencyLists } from '../src/controller/api/dependency-lists.js';
import { JobApi } from '../src/controller/api/job-api.js';
import { JobStore } from '../src/controller/api/job-store.js';
import { DependencyListCleaner } from '../src/controller/leader/dependency-list-cleaner.js';
import { DependencyResolver } from '../src/controller/leader/dependency-resolver.js';
import { decodeLiveJob, encodeLiveJob, type LiveJobRecord } from '../src/records/job-record.js';
import { RequestPriority } from '../src/runtime/request-budget.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext, type NextLimits } from './support/context.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { SUBMISSION } from './support/submission.js';

const LOWER_LIMITS: NextLimits = { value_kb: 2, txn_ops: 4, write_rps: 30 };
const CURRENT_LIMITS = { valueBytes: 8 * 1024, changes: 12 };
/** Number of ids of the usual length that fit a body of 64 KiB with the other fields. */
const MAX_IDS_IN_BODY = 4900;

function jobId(n: number): string {
  return `req-${String(n).padStart(6, '0')}`;
}

/** A store with accepted jobs, and nodes without a leader. */
class Fixture {
  readonly clock = new FakeClock();
  readonly store = new FakeStore(this.clock);

  constructor(readonly next: NextLimits | null = LOWER_LIMITS) {
    this.store.limits = next
      ? { valueBytes: next.value_kb * 1024, changes: next.txn_ops }
      : CURRENT_LIMITS;
  }

  createNode(): FixtureNode {
    return new FixtureNode(this);
  }

  /** Stores an accepted job, regardless of the size limits, and returns its id. */
  addJob(n: number, dependencies: string[] = []): string {
    const spec = jobSpec({ id: jobId(n), tasks: 2 });
    const record = encodeLiveJob({ spec, acceptedAt: 0, dependencies });
    const limits = this.store.limits;
    this.store.limits = null;
    this.store.transact([], [{ op: 'put', key: `live/${jobId(n)}`, value: record }]);
    this.store.limits = limits;
    return jobId(n);
  }

  endJob(job: string, state: 'done' | 'cancelled'): void {
    this.store.transact(
      [],
      [
        { op: 'put', key: `over/${job}`, value: { state, tasks: 2 } },
        { op: 'delete', key: `live/${job}` },
      ],
    );
  }

  keys(prefix: string): string[] {
    return [...this.store.entries.keys()].filter((key) => key.startsWith(prefix));
  }

  record(job: string): LiveJobRecord {
    const entry = this.store.entries.get(`live/${job}`);
    return (entry && decodeLiveJob(entry.value)) as LiveJobRecord;
  }
}

class FixtureNode {
  readonly state: FakeStateService;
  readonly ctx: ReturnType<typeof createContext>;
  readonly api: JobApi;
  readonly jobs: JobStore;

  constructor(fixture: Fixture) {
    this.state = new FakeStateService(fixture.store);
    this.ctx = createContext('n-0', this.state, fixture.clock, fixture.next);
    this.jobs = new JobStore(this.ctx);
    this.api = new JobApi(this.ctx, WITHOUT_LEADER);
  }

  submit(job: string, awaits: string[]) {
    return this.api.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, id: job, awaits })));
  }

  async stateOf(job: string): Promise<string | undefined> {
    return ((await this.api.query(job)).body as { standing?: string }).standing;
  }

  /** Returns the dependencies of the stored job, as a leader reads them. */
  async dependenciesOf(job: string, record: LiveJobRecord): Promise<string[] | null> {
    return this.jobs.dependenciesOf(job, record, 0);
  }

  /** Starts the routine that removes lists without a live job; aborting the result stops it. */
  startCleaner(liveJobs: string[]): AbortController {
    const stop = new AbortController();
    void new DependencyListCleaner(this.ctx, new Set(liveJobs)).run(stop.signal);
    return stop;
  }
}

for (const [name, next] of [
  ['the current', null],
  ['the lower', LOWER_LIMITS],
] as const)
  test(`the longest list that fits a request body is accepted under ${name} limits`, async () => {
    const fixture = new Fixture(next);
    const node = fixture.createNode();
    const dependencies = Array.from({ length: MAX_IDS_IN_BODY }, (_, i) =>
      fixture.addJob(100_000 + i),
    );
    // Most of the dependencies have ended.
    for (let i = 0; i < 4000; i++) fixture.endJob(dependencies[i] as string, 'done');
    const body = JSON.stringify({ ...SUBMISSION, id: jobId(1), awaits: dependencies });
    assert.ok(body.length <= 64 * 1024);
    assert.deepEqual(await node.submit(jobId(1), dependencies), {
      status: 201,
      body: { id: jobId(1), standing: 'queued' },
    });
    assert.deepEqual(fixture.store.oversizedKeys, []);
    assert.ok(node.state.requests < 100, `${node.state.requests} requests`);
    const storedIds = await node.dependenciesOf(jobId(1), fixture.record(jobId(1)));
    for (const job of dependencies.slice(4000)) assert.ok(storedIds?.includes(job), job);
    assert.equal((await node.submit(jobId(1), dependencies)).status, 200);
    assert.equal((await node.submit(jobId(2), [...dependencies, jobId(3)])).status, 422);
    // The cancellation of the last dependency counts, wherever its id is stored.
    fixture.endJob(dependencies.at(-1) as string, 'cancelled');
    await fixture.clock.advance(node.ctx.timing.dependencyFreshMs);
    assert.equal(await node.stateOf(jobId(1)), 'cancelled');
  });

test('a leader starts a job with a long list only after all dependencies are done, most of them before its term', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = Array.from({ length: 1000 }, (_, i) => fixture.addJob(1000 + i));
  assert.equal((await node.submit(jobId(1), dependencies)).status, 201);
  const record = fixture.record(jobId(1));
  assert.ok(record.dependencyList);
  for (const job of dependencies.slice(1)) fixture.endJob(job, 'done');
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const last = cluster.addJob(jobSpec({ id: dependencies[0] as string, tasks: 1 }), 2, 0, false);
  assert.ok(cluster.addJob(record.spec, 5, 0, false, { ids: [], unread: true, keys: [] }));
  const stop = new AbortController();
  const resolver = new DependencyResolver(node.ctx, cluster, node.jobs);
  void resolver.run(stop.signal).catch(() => {});
  const before = node.state.requests;
  await fixture.clock.advance(node.ctx.timing.renewalIntervalMs * 4);
  assert.ok(node.state.requests - before < 20, `${node.state.requests - before} requests`);
  assert.deepEqual([...(cluster.jobs.get(jobId(1))?.pendingDependencies ?? [])], [dependencies[0]]);
  assert.deepEqual(
    runPlacementRound(cluster, 32, 0).started.map((attempt) => attempt.job),
    [last],
  );
  cluster.endJob(dependencies[0] as string, { state: 'done', at: 5 });
  assert.equal(runPlacementRound(cluster, 32, 0).started[0]?.job.spec.id, jobId(1));
  stop.abort();
});

test('a submission with a long list that fails between any two writes is completed by another node, with the same or another list', async () => {
  const count = 1600;
  for (let failAt = 0; ; failAt++) {
    const fixture = new Fixture();
    const [first, second] = [fixture.createNode(), fixture.createNode()];
    const dependencies = Array.from({ length: count }, (_, i) => fixture.addJob(1000 + i));
    let writesLeft = failAt;
    first.state.onTransact = () => {
      if (writesLeft-- === 0) first.state.fault = failAt % 2 === 0 ? 'lose request' : 'lose answer';
    };
    const reply = await first.submit(jobId(1), dependencies);
    if (reply.status === 201) {
      assert.ok(failAt > 4, 'there are several writes');
      break;
    }
    assert.equal(reply.status, 503);
    const other = failAt % 3 === 0 ? dependencies.slice(0, count - 50) : dependencies;
    // The end of a dependency in between does not make the repetition start over.
    fixture.endJob(dependencies[0] as string, 'done');
    const repeat = await second.submit(jobId(1), other);
    const storedEntry = fixture.store.entries.get(`live/${jobId(1)}`);
    assert.ok([200, 201].includes(repeat.status) && storedEntry);
    // The lost write is applied late, and the user of the first node repeats the submission.
    for (const work of first.state.delayedRequests.splice(0)) assert.doesNotThrow(work);
    first.state.fault = null;
    assert.equal((await first.submit(jobId(1), dependencies)).status, 200);
    const storedIds = await first.dependenciesOf(jobId(1), fixture.record(jobId(1)));
    assert.deepEqual([...(storedIds ?? [])].sort(), repeat.status === 201 ? other : dependencies);
    if (other === dependencies) assert.equal(fixture.keys('lists/').length, 1);
    assert.deepEqual(fixture.store.oversizedKeys, []);
  }
});

test('lists whose job was never accepted or has ended are removed, and those of live jobs are kept', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = Array.from({ length: 700 }, (_, i) => fixture.addJob(1000 + i));
  for (const n of [1, 2]) assert.equal((await node.submit(jobId(n), dependencies)).status, 201);
  let writes = 0;
  node.state.onTransact = () => {
    if (++writes === 3) node.state.fault = 'lose request';
  };
  assert.equal((await node.submit(jobId(3), dependencies)).status, 503);
  node.state.fault = null;
  node.state.onTransact = () => {};
  fixture.endJob(jobId(2), 'done');
  assert.equal(fixture.keys('lists/').length, 3);
  const stop = node.startCleaner([jobId(1)]);
  await fixture.clock.advance(node.ctx.timing.orphanListRetentionMs * 0.9);
  assert.equal(fixture.keys('lists/').length, 3);
  await fixture.clock.advance(node.ctx.timing.orphanListRetentionMs * 0.5);
  for (const prefix of ['lists/', 'needs/'])
    assert.ok(fixture.keys(prefix).every((key) => key.startsWith(`${prefix}${jobId(1)}/`)));
  assert.deepEqual((await node.dependenciesOf(jobId(1), fixture.record(jobId(1))))?.length, 700);
  // A late write of the failed submission fails because its header no longer exists.
  for (const work of node.state.delayedRequests.splice(0)) assert.doesNotThrow(work);
  assert.deepEqual(
    fixture.keys('needs/').filter((key) => key.includes(jobId(3))),
    [],
  );
  stop.abort();
});

test('a list that a record refers to is never removed, whichever write is applied last', async () => {
  const fixture = new Fixture();
  const [node, leader] = [fixture.createNode(), fixture.createNode()];
  const dependencies = Array.from({ length: 700 }, (_, i) => fixture.addJob(1000 + i));
  const pages = () => fixture.keys('needs/').length;
  // All pages are written, and the write of the record is delayed while the list is removed.
  node.state.onTransact = (changes) => {
    if (changes[0]?.key === `live/${jobId(1)}`) node.state.fault = 'lose request';
  };
  assert.equal((await node.submit(jobId(1), dependencies)).status, 503);
  const all = pages();
  assert.ok(all > 4);
  // Removal proceeds to its first deletion, which is delayed.
  leader.state.onTransact = (changes) => {
    if (changes[0]?.op === 'delete') leader.state.fault = 'lose request';
  };
  const stop = leader.startCleaner([]);
  await fixture.clock.advance(leader.ctx.timing.orphanListRetentionMs * 1.4);
  stop.abort();
  await settle();
  for (const work of node.state.delayedRequests.splice(0)) assert.doesNotThrow(work);
  assert.equal(fixture.record(jobId(1)), undefined);
  // A repeated submission reuses the list, and the late deletion fails.
  node.state.fault = null;
  node.state.onTransact = () => {};
  assert.equal((await node.submit(jobId(1), dependencies)).status, 201);
  assert.ok(leader.state.delayedRequests.length > 0);
  for (const work of leader.state.delayedRequests.splice(0)) assert.doesNotThrow(work);
  assert.equal(pages(), all);
  assert.equal((await node.dependenciesOf(jobId(1), fixture.record(jobId(1))))?.length, 700);
  // A leader that does not know the live job yet does not remove the list either.
  leader.state.fault = null;
  leader.state.onTransact = () => {};
  const again = leader.startCleaner([]);
  await fixture.clock.advance(leader.ctx.timing.orphanListRetentionMs * 1.4);
  again.abort();
  assert.equal(pages(), all);
  // A list with a missing page is not read as a complete one.
  fixture.store.transact([], [{ op: 'delete', key: fixture.keys('needs/')[1] as string }]);
  assert.equal(await node.dependenciesOf(jobId(1), fixture.record(jobId(1))), null);
});

test('a version without support for lists waits for a job that does not exist', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = Array.from({ length: 700 }, (_, i) => fixture.addJob(1000 + i));
  await node.submit(jobId(1), dependencies);
  const record = fixture.record(jobId(1));
  assert.deepEqual(record.dependencies, [`${jobId(1)}/list`]);
  assert.equal(record.dependencyPages, undefined);
  // Such a version treats the ids in the record as all dependencies.
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  cluster.addJob(record.spec, 5, 0, false, {
    ids: record.dependencies ?? [],
    unread: false,
    keys: [],
  });
  assert.equal(runPlacementRound(cluster, 32, 0).started.length, 0);
});

test('queries for a thousand jobs in a deep or wide graph take a bounded number of requests', async () => {
  const size = 1000;
  for (const shape of ['deep', 'wide']) {
    const fixture = new Fixture();
    const node = fixture.createNode();
    const root = fixture.addJob(1);
    const tree: string[] = [];
    for (let i = 0; i < size; i++)
      tree.push(fixture.addJob(1000 + i, [shape === 'deep' ? (tree.at(-1) ?? root) : root]));
    const pollAll = async () => {
      const before = node.state.requests;
      const states = await Promise.all(tree.map((job) => node.stateOf(job)));
      const requests = node.state.requests - before;
      return { requests, states: [...new Set(states)] };
    };
    const polled = await pollAll();
    assert.deepEqual(polled.states, ['queued'], shape);
    assert.ok(polled.requests < 100, `${polled.requests} requests, ${shape}`);
    // A single query does not read the whole chain either.
    const freshNode = fixture.createNode();
    assert.equal(await freshNode.stateOf(tree.at(-1) as string), 'queued');
    assert.ok(freshNode.state.requests < 40, `${freshNode.state.requests} requests, ${shape}`);
    fixture.endJob(root, 'cancelled');
    await fixture.clock.advance(node.ctx.timing.dependencyFreshMs);
    assert.equal(await freshNode.stateOf(tree.at(-1) as string), 'cancelled', shape);
    assert.deepEqual((await pollAll()).states, ['cancelled'], shape);
    assert.equal(fixture.keys('live/').length, 0);
  }
});

test('a snapshot of live jobs includes those that were accepted while it was read', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const cancelled = fixture.addJob(1);
  const chain = [cancelled];
  for (let i = 0; i < 40; i++) chain.push(fixture.addJob(500_000 + i, [chain.at(-1) as string]));
  for (let i = 0; i < 600; i++) fixture.addJob(1000 + i);
  fixture.endJob(cancelled, 'cancelled');
  // The key of job 999 sorts before the end of the first page, that of its dependent after it.
  const { listPage } = node.state;
  node.state.listPage = (prefix, after, signal) => {
    if (prefix === 'live/' && after !== null && !fixture.store.entries.has(`live/${jobId(999)}`)) {
      fixture.addJob(999, [chain.at(-1) as string]);
      fixture.addJob(900_000, [jobId(999)]);
    }
    return listPage.call(node.state, prefix, after, signal);
  };
  assert.equal(await node.stateOf(chain.at(-1) as string), 'cancelled');
  assert.ok(fixture.store.entries.has(`live/${jobId(999)}`));
  const requests = node.state.requests;
  assert.equal(await node.stateOf(jobId(900_000)), 'cancelled');
  assert.ok(node.state.requests - requests < 5);
});

/** Entries written by the version that stored only as many ids as one transaction holds. */
const EARLIER_ENTRIES = [
  {
    key: 'live/req-000412',
    value: {
      spec: {
        id: 'req-000412',
        jobClass: 'work',
        team: 'ops',
        rank: 2,
        tasks: 3,
        cpus: 4,
        gpus: 0,
        memoryGb: 8,
        image: 'img',
        imageGb: 1,
        types: null,
        zone: null,
        oneZone: false,
        spread: false,
        spot: true,
        estimateS: 20,
        checkpointS: 0,
        saveS: 0,
        deadlineS: null,
      },
      at: 1_800_000_000_000,
      upstream: ['req-000500', 'req-000501', 'req-000502'],
      upstreamPages: 2,
    },
  },
  { key: 'upstream/req-000412/0', value: ['req-000503', 'req-000504'] },
  { key: 'upstream/req-000412/1', value: ['req-000505'] },
];

test('a job written by the version before lists is read, waits for its dependencies and is cancelled with them', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = [500, 501, 502, 503, 504, 505].map((n) => fixture.addJob(n));
  for (const { key, value } of EARLIER_ENTRIES)
    fixture.store.transact([], [{ op: 'put', key, value }]);
  const record = fixture.record('req-000412');
  assert.deepEqual(await node.dependenciesOf('req-000412', record), dependencies);
  const repeated = await node.submit('req-000412', dependencies);
  assert.deepEqual(repeated, { status: 200, body: { id: 'req-000412', standing: 'queued' } });
  for (const job of dependencies.slice(0, 5)) {
    // Ends written by that version carry the time; those of the version before it do not.
    const end = {
      state: 'done',
      tasks: 2,
      ...(job === dependencies[0] ? {} : { at: 1_800_000_000_000 }),
    };
    fixture.store.transact(
      [],
      [
        { op: 'put', key: `over/${job}`, value: end },
        { op: 'delete', key: `live/${job}` },
      ],
    );
  }
  await fixture.clock.advance(node.ctx.timing.dependencyFreshMs);
  assert.equal(await node.stateOf('req-000412'), 'queued');
  // A job that depends on it gets a separate list only when its dependencies need one.
  assert.equal((await node.submit(jobId(1), ['req-000412'])).status, 201);
  assert.equal(fixture.record(jobId(1)).dependencyList, undefined);
  fixture.endJob('req-000505', 'cancelled');
  await fixture.clock.advance(node.ctx.timing.dependencyFreshMs);
  for (const job of ['req-000412', jobId(1)]) assert.equal(await node.stateOf(job), 'cancelled');
});

test('writing a list whose removal has begun gives its header a new version', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = Array.from({ length: 700 }, (_, i) => fixture.addJob(1000 + i));
  const lists = new DependencyLists(node.ctx);
  const { condition, ref } = await lists.write(jobId(1), dependencies, RequestPriority.submissions);
  const removing = { pages: ref.pages, removing: true };
  fixture.store.transact([condition], [{ op: 'put', key: condition.key, value: removing }]);
  const marked = fixture.store.entries.get(condition.key);
  const again = await lists.write(jobId(1), dependencies, RequestPriority.submissions);
  // Otherwise the removal, which requires its own version, would delete pages of a later record.
  assert.ok(marked && again.condition.version > marked.version);
  assert.deepEqual(fixture.store.entries.get(condition.key)?.value, { pages: ref.pages });
});

test('a submission whose list another node writes concurrently gets 503 and succeeds when repeated', async () => {
  const fixture = new Fixture();
  const node = fixture.createNode();
  const dependencies = Array.from({ length: 700 }, (_, i) => fixture.addJob(1000 + i));
  const transact = node.state.transact.bind(node.state);
  node.state.transact = (conditions, changes) => {
    node.state.transact = transact;
    fixture.store.transact([], changes);
    return transact(conditions, changes);
  };
  assert.deepEqual(await node.submit(jobId(1), dependencies), {
    status: 503,
    body: { error: 'another node has the same job' },
    retryAfterS: 1,
  });
  assert.equal((await node.submit(jobId(1), dependencies)).status, 201);
});
