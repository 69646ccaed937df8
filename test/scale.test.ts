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
import { placeOnMachine, runPlacementRound } from '../src/scheduler/placement/placement-round.js';
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

/** Half as many again as the largest fleet that is served. */
const MACHINES = 6000;
const SMALL = 1000;

function name(n: number): string {
  return `n-${String(n).padStart(6, '0')}`;
}

/** Counts the machines that are gone through one after the other. */
class CountingMap extends Map<string, Machine> {
  steps = 0;

  override *values(): MapIterator<Machine> {
    for (const machine of super.values()) {
      this.steps++;
      yield machine;
    }
  }
}

function counting(cluster: ClusterState): CountingMap {
  const machines = new CountingMap(cluster.machines);
  (cluster.machineRegistry as { machines: Map<string, Machine> }).machines = machines;
  return machines;
}

/** A fleet in which every machine reports, half of them in each zone. */
function fleet(size: number, options: Parameters<typeof createCluster>[0] = {}) {
  const cluster = createCluster(options);
  const machines = counting(cluster);
  const workers = Array.from({ length: size }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(name(i + 1), i % 2 === 0 ? 'a' : 'b'), 0),
  );
  return { c: cluster, machines, workers };
}

test('a report and the answer that fills its room look at no other machine, however many there are', () => {
  const teams = [teamQuota({ name: 'ops', maxCpus: 1e6 })];
  for (const size of [SMALL, MACHINES]) {
    const { c, machines, workers } = fleet(size, { teams });
    c.addJob(jobSpec({ tasks: size * 5, cpus: 4 }), 1, 0, false);
    runPlacementRound(c, size * 8, 10);
    assert.ok(c.unplacedBatches.length > 0);
    const worker = workers[0] as ScriptedAgent;
    sendHeartbeat(c, worker, 20);
    for (const key of [...worker.tasks.keys()]) worker.exit(key, 'done');
    machines.steps = 0;
    c.applyHeartbeat(worker.heartbeat(), 'heartbeat', 30);
    const started = placeOnMachine(c, c.machines.get(worker.id) as Machine, 32, 30);
    assert.ok(started.length > 0);
    assert.equal(machines.steps, 0, `${size} machines`);
  }
});

test('a look at renting and returns goes through the machines a fixed number of times', () => {
  const passes = [SMALL, MACHINES].map((size) => {
    const { c, machines } = fleet(size);
    const scaleOut = new ScaleOutPlanner(c);
    for (let i = 1; i <= 20; i++)
      c.addJob(jobSpec({ id: `req-${i}`, jobClass: `class-${i}`, tasks: size }), i, 0, false);
    machines.steps = 0;
    assert.ok(scaleOut.plan(1000).length > 0);
    new ScaleInPlanner(c).plan(1000);
    return machines.steps / size;
  });
  assert.equal(passes[0], passes[1]);
  assert.ok((passes[0] as number) < 20, `${passes[0]} passes`);
});

test('a zone of thousands that goes at once stays gone, whatever copies and lists come afterwards', () => {
  const { c, workers } = fleet(MACHINES);
  const job = c.addJob(jobSpec({ tasks: MACHINES }), 1, 0, false);
  assert.ok(job);
  runPlacementRound(c, MACHINES, 10);
  const lost = workers.filter((w) => w.zone === 'a');
  const copies = lost.map((w) => w.heartbeat());
  const list = workers.map((w) => ({
    id: w.id,
    address: '10.0.0.1:9000',
    type: 'm16',
    zone: w.zone,
    spot: false,
    state: 'running' as const,
    ageS: 60,
  }));
  for (const w of lost) c.markTerminated(w.id, 'returned', 1000);
  const left = c.machines.size;
  assert.equal(left, MACHINES - lost.length);
  for (const copy of copies) assert.equal(c.applyHeartbeat(copy, 'heartbeat', 2000), false);
  // The list is late: it still shows them all.
  c.applyMachineList(list, 1500, 2500);
  assert.equal(c.machines.size, left);
  // Much later, when their names are forgotten, a copy still proves nothing.
  const later = c.timing.listProofMs * 20;
  c.markTerminated(name(MACHINES), 'returned', later);
  assert.equal(c.tombstones.size, 1);
  for (const copy of copies) assert.equal(c.applyHeartbeat(copy, 'heartbeat', later + 1), false);
  assert.equal(c.machines.size, left - 1);
  assert.equal(job.readyCount + job.activeAttempts.size, MACHINES);
});

test('names of gone machines are kept for a time, and after it bar only reports of older machines', () => {
  const gone = new MachineTombstones(1000);
  for (let n = 1; n <= MACHINES; n++) gone.add(name(n), 0);
  assert.equal(gone.size, MACHINES);
  assert.equal(gone.has(name(1)), true);
  gone.add(name(MACHINES + 5), 2000);
  assert.equal(gone.size, 1);
  assert.equal(gone.has(name(1)), false);
  assert.equal(gone.mayBeTerminated(name(1)), true);
  assert.equal(gone.mayBeTerminated(name(MACHINES + 1)), false);
});

function entry(n: number): RosterEntry {
  return { id: name(n), type: 'm16', zone: 'a', spot: true, address: '10.1.0.1:9000' };
}

test('the roster of thousands fits pages of the lower limit, and is whole after each write', () => {
  const pageBytes = 2 * 1024 * 0.9;
  const roster = new Roster(3, pageBytes);
  const stored = new Map<string, RosterEntry[]>();
  let revision = 0;
  const entries = Array.from({ length: MACHINES }, (_, i) => entry(i + 1));
  for (let from = 0; from < MACHINES; from += 500)
    for (const write of roster.add(entries.slice(from, from + 500))) {
      assert.ok(JSON.stringify({ machines: write.entries }).length <= 2 * 1024);
      stored.set(write.key, write.entries);
      write.applied(++revision);
    }
  assert.equal([...stored.values()].flat().length, MACHINES);
  // A later leader reads it, loses half and gains as many: pages with room are used again.
  const next = new Roster(4, pageBytes);
  for (const [key, members] of stored) next.restore(key, 1, members);
  for (let n = 1; n <= MACHINES; n += 2) next.removeMachine(name(n));
  const gained = Array.from({ length: MACHINES / 2 }, (_, i) => entry(MACHINES + i + 1));
  for (const write of next.add(gained)) {
    stored.set(write.key, write.entries);
    write.applied(++revision);
  }
  for (
    let writes = next.rewriteStalePages(1e9);
    writes.length > 0;
    writes = next.rewriteStalePages(1e9)
  )
    for (const write of writes) {
      if (write.entries.length > 0) stored.set(write.key, write.entries);
      else stored.delete(write.key);
      write.applied(++revision);
    }
  const expected = new Set(
    [...entries.filter((_, i) => i % 2 === 1), ...gained].map((entry) => entry.id),
  );
  assert.deepEqual(new Set([...stored.values()].flat().map((entry) => entry.id)), expected);
  assert.ok(stored.size <= (MACHINES / 15) * 1.2, `${stored.size} pages`);
});

/** A server that is asked over loopback, until the test ends. */
async function served(t: TestContext, handler: Handler, maxConnections = 1000) {
  const stop = new AbortController();
  t.after(() => stop.abort());
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections,
      requestMs: 60_000,
      idleMs: 60_000,
      spareMs: 30_000,
      onError: () => {},
    },
    stop.signal,
  );
  return { port: (server.address() as net.AddressInfo).port, stop };
}

test('a watch whose answer is longer than is taken means reading again, like a revision too old', async (t) => {
  const events = Array.from({ length: 10_000 }, (_, i) => ({
    set: `live/req-${i}`,
    v: { spec: 'x'.repeat(500) },
    stamp: i,
  }));
  const { port } = await served(t, () => ({
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

/** A worker's side of a connection: one request at a time. */
class Caller {
  private socket: net.Socket | null = null;
  connects = 0;

  constructor(private readonly port: number) {}

  /** The status of the reply; null when the connection was refused. */
  async report(): Promise<number | null> {
    if (!this.socket) {
      this.connects++;
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

test('more workers than sockets are all served, most of them on the connections that they have', async (t) => {
  const sockets = 40;
  const { port } = await served(t, () => ({ status: 200, body: {} }), sockets);
  const callers = Array.from({ length: sockets * 3 }, () => new Caller(port));
  t.after(() => {
    for (const caller of callers) caller.end();
  });
  const rounds = 4;
  for (let n = 0; n < rounds; n++)
    for (const caller of callers) assert.equal(await caller.report(), 200);
  const keeping = callers.filter((caller) => caller.connects === 1).length;
  assert.ok(keeping >= sockets * 0.8, `${keeping} kept theirs`);
});

test('thousands of returns leave as many at a time as the cloud has calls for', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  ctx.platform.settings.cloud.rps = 40;
  const { c } = fleet(MACHINES);
  for (const machine of c.machines.values()) machine.drainReason = 'quarantined';
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
  const duty = new FleetController({
    ctx,
    term,
    cluster: c,
    scaleOut: new ScaleOutPlanner(c),
    scaleIn: new ScaleInPlanner(c),
    cloud,
    agents: { retainOnly: () => {} },
  });
  void duty.runScaling(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.listMs + ctx.timing.heartbeatMs * 2);
  assert.equal(c.machines.size, 0);
  assert.equal(calls.length, MACHINES / 100);
  assert.ok(calls.every((call) => call.count <= 100));
  const perLook = new Map<number, number>();
  for (const { at } of calls) perLook.set(at, (perLook.get(at) ?? 0) + 1);
  const most = (40 * ctx.timing.scalingMs * 0.5) / 1000;
  assert.ok([...perLook.values()].every((n) => n <= most));
  stop.abort();
});

test('the pages of a long list leave calls to the cloud for rentals', async (t) => {
  const clock = new FakeClock();
  const asked: string[] = [];
  const { port, stop } = await served(t, (request) => {
    asked.push(request.method);
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
  // The list takes what there is, and waits before the last call is gone.
  for (let page = 0; page < 2; page++) await cloud.list(null, signal);
  const waiting = cloud.list(null, signal).catch(() => {});
  await settle();
  const request = { name: 'r-1', type: 'm16', zone: 'a', spot: false, count: 1 };
  let open = 2;
  const closed = () => {
    open--;
  };
  const rented = cloud.provision(request, signal, () => true);
  void rented.finally(closed);
  void waiting.finally(closed);
  while (open > 0) await clock.advance(1);
  assert.deepEqual(await rented, ['n-1']);
  assert.deepEqual(asked, ['GET', 'GET', 'POST', 'GET']);
});

test('while memory is short new jobs are put off and known ones are not, and it is said once', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  let share = 0.5;
  let said = 0;
  ctx.log.error = (() => {
    said++;
  }) as never;
  const guard = new MemoryGuard(ctx, () => share);
  const stop = new AbortController();
  void guard.run(stop.signal);
  const users = new JobApi(ctx, { ...WITHOUT_LEADER, isMemoryLow: () => guard.isLow });
  const submit = (id: string) => users.submit(Buffer.from(JSON.stringify({ ...SUBMISSION, id })));
  const look = () => clock.advance(ctx.timing.heartbeatMs);
  await look();
  assert.equal((await submit('req-000001')).status, 201);
  share = 0.95;
  await look();
  assert.equal((await submit('req-000002')).status, 201, 'one look may count garbage');
  await look();
  const refused = await submit('req-000003');
  assert.deepEqual([refused.status, refused.retryAfterS], [503, 1]);
  assert.equal((await submit('req-000001')).status, 200);
  share = 0.85;
  await look();
  assert.equal((await submit('req-000003')).status, 503);
  share = 0.7;
  await look();
  assert.equal((await submit('req-000003')).status, 201);
  share = 0.95;
  await look();
  await look();
  assert.equal(said, 1);
  stop.abort();
});
