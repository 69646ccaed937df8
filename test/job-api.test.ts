import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobApi } from '../src/controller/api/job-api.js';
import { readMachineTypes } from '../src/controller/machine-types.js';
import { encodeMachineTypes } from '../src/records/machine-type-record.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import { MACHINE_TYPE, teamQuota } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { SUBMISSION } from './support/submission.js';

const BODY = { ...SUBMISSION, id: 'req-000412' };

function createCluster() {
  const clock = new FakeClock();
  const store = new FakeStore(clock);
  const createNode = () => {
    const state = new FakeStateService(store);
    const ctx = createContext('n-0', state, clock);
    return {
      state,
      ctx,
      api: new JobApi(ctx, WITHOUT_LEADER),
    };
  };
  return { store, createNode };
}

const submissionBody = (fields: object = {}) => Buffer.from(JSON.stringify({ ...BODY, ...fields }));

test('a job is accepted once, by any node, and is then visible at every node', async () => {
  const cluster = createCluster();
  const [a, b] = [cluster.createNode(), cluster.createNode()];
  assert.deepEqual(await a.api.submit(submissionBody()), {
    status: 201,
    body: { id: 'req-000412', standing: 'queued' },
  });
  assert.equal((await b.api.submit(submissionBody())).status, 200);
  assert.equal((await b.api.query('req-000412')).status, 200);
  assert.equal((await b.api.query('req-000413')).status, 404);
  assert.equal((await b.api.query('../leader')).status, 404);
});

test('a repeated submission gets 200 even when the rest of it is invalid', async () => {
  const cluster = createCluster();
  const { api } = cluster.createNode();
  await api.submit(submissionBody());
  for (const fields of [{ crew: 'nobody' }, { cores: -1 }, { cores: 1e6 }, { form: 'odd' }])
    assert.equal((await api.submit(submissionBody(fields))).status, 200);
  const other = { id: 'req-000500' };
  assert.equal((await api.submit(submissionBody({ ...other, cores: -1 }))).status, 400);
  assert.equal((await api.submit(submissionBody({ ...other, crew: 'nobody' }))).status, 422);
  assert.equal((await api.submit(Buffer.from('{'))).status, 400);
  assert.equal((await api.submit(submissionBody({ id: 7 }))).status, 400);
});

test('without machine types a new job gets 503 and an accepted one 200', async () => {
  const cluster = createCluster();
  const { api, ctx } = cluster.createNode();
  await api.submit(submissionBody());
  ctx.machineTypes = null;
  assert.equal((await api.submit(submissionBody())).status, 200);
  const reply = await api.submit(submissionBody({ id: 'req-000500' }));
  assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
});

test('machine types come from the cloud when the state service has none or fails', async () => {
  const cluster = createCluster();
  const { ctx, state } = cluster.createNode();
  const signal = new AbortController().signal;
  let requests = 0;
  const cloud = {
    types: () => {
      requests++;
      return Promise.resolve([MACHINE_TYPE]);
    },
  };
  assert.deepEqual(await readMachineTypes(ctx, cloud, signal), [MACHINE_TYPE]);
  state.fault = 'refuse';
  assert.deepEqual(await readMachineTypes(ctx, cloud, signal), [MACHINE_TYPE]);
  assert.equal(requests, 2);
  state.fault = null;
  cluster.store.transact(
    [],
    [{ op: 'put', key: 'types', value: encodeMachineTypes([MACHINE_TYPE]) }],
  );
  assert.deepEqual(await readMachineTypes(ctx, cloud, signal), [MACHINE_TYPE]);
  assert.equal(requests, 2);
});

test('an accepted job is visible at every node as soon as a fault of the state service ends', async () => {
  const cluster = createCluster();
  const nodes = [cluster.createNode(), cluster.createNode(), cluster.createNode()];
  const [first] = nodes;
  assert.ok(first);
  assert.equal((await first.api.submit(submissionBody())).status, 201);
  for (const fault of ['refuse', 'lose request', 'lose answer'] as const) {
    for (const n of nodes) n.state.fault = fault;
    for (const n of nodes) {
      const reply = await n.api.query(BODY.id);
      assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
    }
    for (const n of nodes) n.state.fault = null;
    // A process that starts after the fault has no memory of the job and needs none.
    for (const n of [...nodes, cluster.createNode()]) {
      assert.equal((await n.api.query(BODY.id)).status, 200);
      assert.equal((await n.api.submit(submissionBody())).status, 200);
    }
  }
});

test('a cancelled or done job keeps its state', async () => {
  const cluster = createCluster();
  const { api } = cluster.createNode();
  await api.submit(submissionBody());
  assert.deepEqual((await api.cancel('req-000412')).body, {
    id: 'req-000412',
    standing: 'cancelled',
  });
  for (let i = 0; i < 2; i++) {
    assert.deepEqual((await api.submit(submissionBody())).body, {
      id: 'req-000412',
      standing: 'cancelled',
    });
    assert.equal((await api.cancel('req-000412')).status, 200);
  }
  assert.equal(cluster.store.entries.has('live/req-000412'), false);
  assert.equal((await api.cancel('req-000999')).status, 404);

  await api.submit(submissionBody({ id: 'req-000600' }));
  cluster.store.transact(
    [],
    [
      { op: 'put', key: 'over/req-000600', value: { state: 'done', tasks: 2 } },
      { op: 'delete', key: 'live/req-000600' },
    ],
  );
  assert.deepEqual((await api.cancel('req-000600')).body, {
    id: 'req-000600',
    standing: 'done',
  });
  assert.deepEqual((await api.query('req-000600')).body, {
    id: 'req-000600',
    standing: 'done',
    done: 2,
    running: 0,
  });
});

test('a submission that is applied late does not accept the job a second time', async () => {
  const cluster = createCluster();
  const { api, state } = cluster.createNode();
  state.fault = 'lose request';
  assert.equal((await api.submit(submissionBody())).status, 503);
  state.fault = null;
  assert.equal((await api.submit(submissionBody())).status, 201);
  await api.cancel('req-000412');
  for (const applyRequest of state.delayedRequests) applyRequest();
  assert.deepEqual((await api.query('req-000412')).body, {
    id: 'req-000412',
    standing: 'cancelled',
    done: 0,
    running: 0,
  });
});

test('requests during an outage get 503 with a retry time', async () => {
  const { api, state } = createCluster().createNode();
  state.fault = 'refuse';
  for (const reply of [
    await api.submit(submissionBody()),
    await api.query('req-000412'),
    await api.cancel('req-000412'),
  ])
    assert.deepEqual([reply.status, reply.retryAfterS], [503, 1]);
});

test('refusals of jobs that can never run keep their statuses and texts', async () => {
  const { api, ctx } = createCluster().createNode();
  ctx.quotas = new Map([['ops', teamQuota({ name: 'ops', maxCpus: 10, maxGpus: 1 })]]);
  ctx.machineTypes = [{ ...MACHINE_TYPE, gpus: 8 }];
  const job = { id: 'req-000500', crew: 'ops', cores: 1, accelerators: 0, memoryGb: 8 };
  const refusals: [fields: object, text: string][] = [
    [{ crew: 'nobody' }, 'unknown team'],
    [{ cores: 1e6 }, 'a task fits no allowed machine type'],
    [{ rigs: ['m99'] }, 'a task fits no allowed machine type'],
    [{ cores: 11 }, "over the team's limit"],
    [{ accelerators: 2 }, "over the team's limit"],
    [{ awaits: ['req-000500'] }, 'the job names itself'],
    [{ awaits: ['req-000001', 'req-000002'] }, 'never accepted: req-000001, req-000002'],
    [
      { deck: 'x'.repeat(200), rigs: [...Array(400).fill('x'.repeat(200)), MACHINE_TYPE.name] },
      'the description of the job is too large',
    ],
  ];
  for (const [fields, text] of refusals)
    assert.deepEqual(await api.submit(submissionBody({ ...job, ...fields })), {
      status: 422,
      body: { error: text },
    });
  assert.equal((await api.submit(submissionBody(job))).status, 201);
});

test('cancelling a job that ends after it was read replies with its final state', async () => {
  const cluster = createCluster();
  const { api, state } = cluster.createNode();
  await api.submit(submissionBody());
  const transact = state.transact.bind(state);
  state.transact = (...request) => {
    state.transact = transact;
    cluster.store.transact(
      [],
      [
        { op: 'put', key: `over/${BODY.id}`, value: { state: 'done', tasks: 2 } },
        { op: 'delete', key: `live/${BODY.id}` },
      ],
    );
    return transact(...request);
  };
  assert.deepEqual(await api.cancel(BODY.id), {
    status: 200,
    body: { id: BODY.id, standing: 'done' },
  });
});

test('a repeated cancellation is announced again, with the revision of the end', async () => {
  const { ctx } = createCluster().createNode();
  const announced: [job: string, revision: number][] = [];
  const api = new JobApi(ctx, {
    ...WITHOUT_LEADER,
    cancellations: {
      announceCancellation: async (job, revision) => {
        announced.push([job, revision]);
      },
    },
  });
  await api.submit(submissionBody());
  await api.cancel(BODY.id);
  await api.cancel(BODY.id);
  assert.equal(announced.length, 2);
  assert.deepEqual(announced[0], announced[1]);
  assert.equal(announced[0]?.[0], BODY.id);
});
