import assert from 'node:assert/strict';
import net from 'node:net';
import { type TestContext, test } from 'node:test';
import { CloudClient } from '../src/clients/cloud-client.js';
import { StateClient } from '../src/clients/state-client.js';
import { JobApi } from '../src/controller/api/job-api.js';
import { FleetController } from '../src/controller/leader/fleet-controller.js';
import { MemoryGuard } from '../src/controller/memory-guard.js';
import { type Handler, serve } from '../src/http/server.js';
import type { RosterEntry } from '../src/model/machine.js';
import { Roster } from '../src/scheduler/persistence/roster.js';
import { placeOnMachine } from '../src/scheduler/placement/machine-placement.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { MachineTombstones } from '../src/scheduler/reconcile/machine-tombstones.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import type { Machine } from '../src/scheduler/state/task-attempt.js';
import { FakeClock, settle } from './support/clock.js';
import { createContext } from './support/context.js';
import { WITHOUT_LEADER } from './support/job-api.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  ScriptedAgent,
  sendHeartbeat,
  teamQuota,
} from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';
import { SUBMISSION } from './support/submission.js';

/** 1.5 times the largest supported fleet. */
const LARGE_FLEET_SIZE = 6000;
const SMALL_FLEET_SIZE = 1000;

function machineId(n: number): string {
  return `n-${String(n).padStart(6, '0')}`;
}

/** Counts the machines visited by iterations over the map. */
class CountingMap extends Map<string, Machine> {
  steps = 0;

  override *values(): MapIterator<Machine> {
    for (const machine of super.values()) {
      this.steps++;
      yield machine;
    }
  }
}

function countSteps(cluster: ClusterState): CountingMap {
  const machines = new CountingMap(cluster.machines);
  (cluster.machineRegistry as { machines: Map<string, Machine> }).machines = machines;
  return machines;
}

/** Creates a cluster whose machines have all sent heartbeats, half of them in each zone. */
function createFleet(size: number, options: Parameters<typeof createCluster>[0] = {}) {
  const cluster = createCluster(options);
  const machines = countSteps(cluster);
  const agents = Array.from({ length: size }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(machineId(i + 1), i % 2 === 0 ? 'a' : 'b'), 0),
  );
  return { cluster, machines, agents };
}

test('a heartbeat and the placement in its response visit no other machine, whatever the fleet size', () => {
  const teams = [teamQuota({ name: 'ops', maxCpus: 1e6 })];
  for (const size of [SMALL_FLEET_SIZE, LARGE_FLEET_SIZE]) {
    const { cluster, machines, agents } = createFleet(size, { teams });
    cluster.addJob(jobSpec({ tasks: size * 5, cpus: 4 }), 1, 0, false);
    runPlacementRound(cluster, size * 8, 10);
    assert.ok(cluster.unplacedBatches.length > 0);
    const agent = agents[0] as ScriptedAgent;
    sendHeartbeat(cluster, agent, 20);
    for (const key of [...agent.tasks.keys()]) agent.exit(key, 'done');
    machines.steps = 0;
    cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 30);
    const started = placeOnMachine(cluster, cluster.machines.get(agent.id) as Machine, 32, 30);
    assert.ok(started.length > 0);
    assert.equal(machines.steps, 0, `${size} machines`);
  }
});

test('scale-out and scale-in plans visit each machine equally often, whatever the fleet size', () => {
  const passes = [SMALL_FLEET_SIZE, LARGE_FLEET_SIZE].map((size) => {
    const { cluster, machines } = createFleet(size);
    const scaleOut = new ScaleOutPlanner(cluster);
    for (let i = 1; i <= 20; i++)
      cluster.addJob(jobSpec({ id: `req-${i}`, jobClass: `class-${i}`, tasks: size }), i, 0, false);
    machines.steps = 0;
    assert.ok(scaleOut.plan(1000).length > 0);
    new ScaleInPlanner(cluster).plan(1000);
    return machines.steps / size;
  });
  assert.equal(passes[0], passes[1]);
  assert.ok((passes[0] as number) < 20, `${passes[0]} passes`);
});

test('thousands of terminated machines stay terminated despite delayed duplicate heartbeats and outdated machine lists', () => {
  const { cluster, agents } = createFleet(LARGE_FLEET_SIZE);
  const job = cluster.addJob(jobSpec({ tasks: LARGE_FLEET_SIZE }), 1, 0, false);
  assert.ok(job);
  runPlacementRound(cluster, LARGE_FLEET_SIZE, 10);
  const terminated = agents.filter((agent) => agent.zone === 'a');
  const duplicates = terminated.map((agent) => agent.heartbeat());
  const list = agents.map((agent) => ({
    id: agent.id,
    address: '10.0.0.1:9000',
    type: 'm16',
    zone: agent.zone,
    spot: false,
    state: 'running' as const,
    ageS: 60,
  }));
  for (const agent of terminated) cluster.markTerminated(agent.id, 'returned', 1000);
  const remaining = cluster.machines.size;
  assert.equal(remaining, LARGE_FLEET_SIZE - terminated.length);
  for (const duplicate of duplicates)
    assert.equal(cluster.applyHeartbeat(duplicate, 'heartbeat', 2000), false);
  // The machine list is outdated and still contains all of them.
  cluster.applyMachineList(list, 1500, 2500);
  assert.equal(cluster.machines.size, remaining);
  // Long after their tombstones have expired, a delayed duplicate is still ignored.
  const later = cluster.timing.listProofMs * 20;
  cluster.markTerminated(machineId(LARGE_FLEET_SIZE), 'returned', later);
  assert.equal(cluster.tombstones.size, 1);
  for (const duplicate of duplicates)
    assert.equal(cluster.applyHeartbeat(duplicate, 'heartbeat', later + 1), false);
  assert.equal(cluster.machines.size, remaining - 1);
  assert.equal(job.readyCount + job.activeAttempts.size, LARGE_FLEET_SIZE);
});

test('after tombstones expire, only ids up to the highest expired one may belong to terminated machines', () => {
  const tombstones = new MachineTombstones(1000);
  for (let n = 1; n <= LARGE_FLEET_SIZE; n++) tombstones.add(machineId(n), 0);
  assert.equal(tombstones.size, LARGE_FLEET_SIZE);
  assert.equal(tombstones.has(machineId(1)), true);
  tombstones.add(machineId(LARGE_FLEET_SIZE + 5), 2000);
  assert.equal(tombstones.size, 1);
  assert.equal(tombstones.has(machineId(1)), false);
  assert.equal(tombstones.mayBeTerminated(machineId(1)), true);
  assert.equal(tombstones.mayBeTerminated(machineId(LARGE_FLEET_SIZE + 1)), false);
});

function rosterEntry(n: number): RosterEntry {
  return { id: machineId(n), type: 'm16', zone: 'a', spot: true, address: '10.1.0.1:9000' };
}

test('a roster of thousands of machines fits pages of the smallest value limit and is complete after each write', () => {
  const pageBytes = 2 * 1024 * 0.9;
  const roster = new Roster(3, pageBytes);
  const stored = new Map<string, RosterEntry[]>();
  let revision = 0;
  const entries = Array.from({ length: LARGE_FLEET_SIZE }, (_, i) => rosterEntry(i + 1));
  for (let from = 0; from < LARGE_FLEET_SIZE; from += 500)
    for (const write of roster.add(entries.slice(from, from + 500))) {
      assert.ok(JSON.stringify({ machines: write.entries }).length <= 2 * 1024);
      stored.set(write.keySuffix, write.entries);
      write.applied(++revision);
    }
  assert.equal([...stored.values()].flat().length, LARGE_FLEET_SIZE);
  // A later leader reads the roster, loses half of the machines and adds as many. It reuses
  // pages with space.
  const nextRoster = new Roster(4, pageBytes);
  for (const [key, members] of stored) nextRoster.restore(key, 1, members);
  for (let n = 1; n <= LARGE_FLEET_SIZE; n += 2) nextRoster.removeMachine(machineId(n));
  const added = Array.from({ length: LARGE_FLEET_SIZE / 2 }, (_, i) =>
    rosterEntry(LARGE_FLEET_SIZE + i + 1),
  );
  for (const write of nextRoster.add(added)) {
    stored.set(write.keySuffix, write.entries);
    write.applied(++revision);
  }
  for (
    let writes = nextRoster.rewriteUnsavedPages(1e9);
    writes.length > 0;
    writes = nextRoster.rewriteUnsavedPages(1e9)
  )
    for (const write of writes) {
      if (write.entries.length > 0) stored.set(write.keySuffix, write.entries);
      else stored.delete(write.keySuffix);
      write.applied(++revision);
    }
  const expected = new Set(
    [...entries.filter((_, i) => i % 2 === 1), ...added].map((member) => member.id),
  );
  assert.deepEqual(new Set([...stored.values()].flat().map((member) => member.id)), expected);
  assert.ok(stored.size <= (LARGE_FLEET_SIZE / 15) * 1.2, `${stored.size} pages`);
});

/** Starts a server on loopback that runs until the test ends. */
async function startServer(t: TestContext, handler: Handler, maxConnections = 1000) {
  const stop = new AbortController();
  t.after(() => stop.abort());
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections,
      requestTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
      minEvictableIdleMs: 30_000,
      onError: () => {},
    },
    stop.signal,
  );
  return { port: (server.address() as net.AddressInfo).port, stop };
}

test('a watch whose response exceeds the size limit returns null, as for a revision that is too old', async (t) => {
  const events = Array.from({ length: 10_000 }, (_, i) => ({
    set: `live/req-${i}`,
    v: { spec: 'x'.repeat(500) },
    stamp: i,
  }));
  const { port } = await startServer(t, () => ({
    status: 200,
    body: { ledgerRev: 9, news: events },
  }));
  const state = new StateClient({
    address: { host: '127.0.0.1', port },
    requestsPerS: 100,
    changesPerS: 100,
    loweredChangesPerS: 100,
    timeoutMs: 20_000,
    clock: new FakeClock(),
  });
  t.after(() => state.close());
  assert.equal(await state.watch('live/', 1, 0), null);
});

/** The agent side of a connection, for one request at a time. */
class AgentConnection {
  private socket: net.Socket | null = null;
  connectCount = 0;

  constructor(private readonly port: number) {}

  /**
   * Sends a heartbeat request. Returns the status of the reply, null if the connection
   * was closed instead.
   */
  async sendRequest(): Promise<number | null> {
    if (!this.socket) {
      this.connectCount++;
      this.socket = net.connect({ port: this.port, host: '127.0.0.1' });
    }
    const { socket } = this;
    socket.write('POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}');
    const text = await new Promise<string | null>((resolve) => {
      socket.once('data', (data) => resolve(data.toString()));
      socket.once('close', () => resolve(null));
      socket.once('error', () => resolve(null));
    });
    socket.removeAllListeners();
    socket.on('error', () => {});
    if (text === null || /connection: close/i.test(text)) this.end();
    return text === null ? null : Number(text.split(' ')[1]);
  }

  end(): void {
    this.socket?.destroy();
    this.socket = null;
  }
}

test('more agents than sockets are all served, and most sockets keep the connection of one agent', async (t) => {
  const sockets = 40;
  const { port } = await startServer(t, () => ({ status: 200, body: {} }), sockets);
  const connections = Array.from({ length: sockets * 3 }, () => new AgentConnection(port));
  t.after(() => {
    for (const connection of connections) connection.end();
  });
  const rounds = 4;
  for (let n = 0; n < rounds; n++)
    for (const connection of connections) assert.equal(await connection.sendRequest(), 200);
  const reused = connections.filter((connection) => connection.connectCount === 1).length;
  assert.ok(reused >= sockets * 0.8, `${reused} connections were reused`);
});

test('thousands of terminations use at most half of the cloud request rate', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  ctx.platform.settings.cloud.rps = 40;
  const { cluster } = createFleet(LARGE_FLEET_SIZE);
  for (const machine of cluster.machines.values()) machine.drainReason = 'quarantined';
  const calls: { count: number; at: number }[] = [];
  const stop = new AbortController();
  const cloud = {
    types: async () => [],
    list: async () => ({ machines: [], more: false }),
    provision: async () => null,
    terminate: async (ids: string[]) => {
      calls.push({ count: ids.length, at: clock.now() });
    },
  };
  const term = { number: 1, signal: stop.signal, isProven: () => true } as never;
  const controller = new FleetController({
    ctx,
    term,
    cluster,
    scaleOut: new ScaleOutPlanner(cluster),
    scaleIn: new ScaleInPlanner(cluster),
    cloud,
    agents: { retainOnly: () => {} },
  });
  void controller.runScaling(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.machineListIntervalMs + ctx.timing.heartbeatMs * 2);
  assert.equal(cluster.machines.size, 0);
  assert.equal(calls.length, LARGE_FLEET_SIZE / 100);
  assert.ok(calls.every((call) => call.count <= 100));
  const callsByTime = new Map<number, number>();
  for (const { at } of calls) callsByTime.set(at, (callsByTime.get(at) ?? 0) + 1);
  const maxCallsPerInterval = (40 * ctx.timing.scalingIntervalMs * 0.5) / 1000;
  assert.ok([...callsByTime.values()].every((n) => n <= maxCallsPerInterval));
  stop.abort();
});

test('the pages of a long machine list leave cloud requests for provisioning', async (t) => {
  const clock = new FakeClock();
  const methods: string[] = [];
  const { port, stop } = await startServer(t, (request) => {
    methods.push(request.method);
    return request.method === 'GET'
      ? { status: 200, body: { carts: [], hasNext: true } }
      : { status: 200, body: { carts: ['n-1'] } };
  });
  const cloud = new CloudClient({
    address: { host: '127.0.0.1', port },
    requestsPerS: 4,
    timeoutMs: 20_000,
    clock,
  });
  t.after(() => cloud.close());
  const { signal } = stop;
  // Two pages use the requests available to the list. The third page waits and leaves one for
  // provisioning.
  for (let page = 0; page < 2; page++) await cloud.list(null, signal);
  const thirdPage = cloud.list(null, signal).catch(() => {});
  await settle();
  const request = { name: 'r-1', type: 'm16', zone: 'a', spot: false, count: 1 };
  let pendingRequests = 2;
  const onSettled = () => {
    pendingRequests--;
  };
  const provisioned = cloud.provision(request, signal, () => true);
  void provisioned.finally(onSettled);
  void thirdPage.finally(onSettled);
  while (pendingRequests > 0) await clock.advance(1);
  assert.deepEqual(await provisioned, ['n-1']);
  assert.deepEqual(methods, ['GET', 'GET', 'POST', 'GET']);
});

test('while memory is low, new jobs are refused, known jobs are accepted, and one error is logged', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  let usedShare = 0.5;
  let errorLogs = 0;
  ctx.log.error = (() => {
    errorLogs++;
  }) as never;
  const guard = new MemoryGuard(ctx, () => usedShare);
  const stop = new AbortController();
  void guard.run(stop.signal);
  const jobApi = new JobApi(ctx, { ...WITHOUT_LEADER, isMemoryLow: () => guard.isLow });
  const submit = (id: string) => jobApi.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, id })));
  const runCheck = () => clock.advance(ctx.timing.heartbeatMs);
  await runCheck();
  assert.equal((await submit('req-000001')).status, 201);
  usedShare = 0.95;
  await runCheck();
  assert.equal(
    (await submit('req-000002')).status,
    201,
    'a single high reading may include garbage',
  );
  await runCheck();
  const refused = await submit('req-000003');
  assert.deepEqual([refused.status, refused.retryAfterS], [503, 1]);
  assert.equal((await submit('req-000001')).status, 200);
  usedShare = 0.85;
  await runCheck();
  assert.equal((await submit('req-000003')).status, 503);
  usedShare = 0.7;
  await runCheck();
  assert.equal((await submit('req-000003')).status, 201);
  usedShare = 0.95;
  await runCheck();
  await runCheck();
  assert.equal(errorLogs, 1);
  stop.abort();
});
