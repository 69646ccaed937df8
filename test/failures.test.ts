import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ControllerHealth } from '../src/controller/health.js';
import { AgentCommands } from '../src/controller/leader/agent-commands.js';
import { createPeers } from '../src/controller/membership/peers.js';
import { NoResponseError, NotAttemptedError } from '../src/http/errors.js';
import type { PeerStatus } from '../src/records/peer-frames.js';
import { Roster } from '../src/scheduler/persistence/roster.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  rosterEntry,
  ScriptedAgent,
  sendHeartbeat,
  teamQuota,
} from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

test('a duplicate heartbeat under an old fencing token does not prove to a new leader that a machine exists or is alive', () => {
  const cluster = createCluster({ term: 2 });
  cluster.inheritMachine('n-1', 'm16', 'a', true, '10.0.0.1:9001', 0);
  const agent = new ScriptedAgent('n-1', 'a', true);
  agent.term = 1;
  agent.preemptionNoticeS = 5;
  const duplicate = agent.heartbeat();
  assert.equal(cluster.applyHeartbeat(duplicate, 'heartbeat', 8000), true);
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  // The heartbeat records no liveness of the machine or its zone, no notice and no confirmation.
  assert.deepEqual(
    [machine.lastHeartbeatAt, machine.preemptionDueAt, machine.drainReason, machine.confirmed],
    [0, null, null, false],
  );
  assert.equal(cluster.zoneLiveness.size, 0);
  // The same duplicate is ignored, and so is a heartbeat of an unknown machine.
  assert.equal(cluster.applyHeartbeat(duplicate, 'heartbeat', 9000), false);
  assert.equal(
    cluster.applyHeartbeat(new ScriptedAgent('n-7').heartbeat(), 'heartbeat', 9000),
    false,
  );
  assert.equal(cluster.machines.has('n-7'), false);
  // A heartbeat counts once the agent knows the new term.
  agent.execute(2, []);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 10_000);
  assert.deepEqual(
    [machine.lastHeartbeatAt, machine.drainReason, machine.confirmed],
    [10_000, 'preemption notice', true],
  );
});

test('a delayed duplicate heartbeat neither reverts newer state nor registers a terminated machine again', () => {
  const cluster = createCluster();
  const agent = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const job = cluster.addJob(jobSpec({ tasks: 1 }), 1, 0, false);
  const duplicate = agent.heartbeat();
  cluster.applyHeartbeat(duplicate, 'heartbeat', 100);
  runPlacementRound(cluster, 32, 100);
  sendHeartbeat(cluster, agent, 200);
  sendHeartbeat(cluster, agent, 300);
  assert.equal(cluster.applyHeartbeat(duplicate, 'heartbeat', 60_000), false);
  assert.equal(cluster.machines.get('n-1')?.lastHeartbeatAt, 300);
  assert.equal(job?.activeAttempts.get(0)?.state, 'running');
  cluster.markTerminated('n-1', 'returned', 60_050);
  assert.equal(cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 60_100), false);
  assert.equal(cluster.machines.size, 0);
});

test('an unresponsive machine gets no new tasks until it replies, and is terminated if it stays unresponsive', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const unresponsive = joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const others = ['n-2', 'n-3', 'n-4', 'n-5', 'n-6'].map((id) =>
    joinCluster(cluster, new ScriptedAgent(id, 'b'), 0),
  );
  const machine = cluster.machines.get('n-1');
  assert.ok(machine);
  const job = cluster.addJob(jobSpec({ tasks: 1, zone: 'a' }), 1, 0, false);
  assert.ok(job);
  let now = 0;
  let starts = 0;
  const runInterval = () => {
    now += 3000;
    // Its heartbeats arrive, but the responses don't reach it.
    cluster.applyHeartbeat(unresponsive.heartbeat(), 'heartbeat', now);
    starts += runPlacementRound(cluster, 32, now).started.length;
    cluster.heartbeatCommands(machine);
    for (const agent of others) sendHeartbeat(cluster, agent, now);
  };
  for (let i = 0; i < 5; i++) runInterval();
  assert.equal(starts, 2);
  assert.notEqual(machine.unresponsiveSince, null);
  assert.equal(job.readyCount, 1);
  // A reply to a command proves that messages reach the machine again.
  cluster.markResponsive(machine);
  runInterval();
  assert.equal(starts, 3);
  // Its lease expires although its heartbeats arrive: it is unresponsive and terminated in the end.
  unresponsive.expireLease();
  runInterval();
  assert.equal(job.readyCount, 1);
  while (now < 60_000 && scaleIn.plan(now).length === 0) runInterval();
  assert.deepEqual(
    scaleIn.plan(now).map((termination) => [termination.machine.id, termination.reason]),
    [['n-1', 'unresponsive']],
  );
  assert.equal(starts, 3);
  // When many machines seem unresponsive, the fault is with the leader, and none is terminated.
  for (const agent of others) {
    const otherMachine = cluster.machines.get(agent.id);
    if (otherMachine) cluster.markUnresponsive(otherMachine, 0);
  }
  assert.deepEqual(scaleIn.plan(now), []);
});

test('an inherited machine without heartbeats is terminated after two intervals, or one if its confirmation timed out', () => {
  const terminationTime = (unanswered: boolean) => {
    const cluster = createCluster({ term: 2 });
    const scaleIn = new ScaleInPlanner(cluster);
    cluster.inheritMachine('n-1', 'm16', 'a', false, '10.0.0.1:9001', 0);
    cluster.inheritMachine('n-2', 'm16', 'a', false, '10.0.0.1:9002', 0);
    const healthy = joinCluster(cluster, new ScriptedAgent('n-2'), 100);
    const unconfirmed = cluster.machines.get('n-1');
    assert.ok(unconfirmed);
    unconfirmed.confirmationUnanswered = unanswered;
    // Tasks of this job may run on the unconfirmed machine and would fill it.
    cluster.addJob(jobSpec({ tasks: 8 }), 1, 0, true);
    for (let now = 200; now < 60_000; now += 100) {
      sendHeartbeat(cluster, healthy, now);
      if (scaleIn.plan(now).some((termination) => termination.machine === unconfirmed)) return now;
    }
    return null;
  };
  // Heartbeat intervals are 3 s with a quarter of jitter; a redirect takes half a second.
  const timedOutMs = terminationTime(true) ?? 0;
  assert.ok(
    timedOutMs > 3750 && timedOutMs <= 4400,
    `terminated at ${timedOutMs} after a timed-out confirmation`,
  );
  const notSentMs = terminationTime(false) ?? 0;
  assert.ok(
    notSentMs > 6000 && notSentMs <= 6500,
    `terminated at ${notSentMs} without a confirmation request`,
  );
});

test('only a machine whose confirmation request was sent and timed out counts as unanswered', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster({ term: 2 });
  for (const id of ['n-1', 'n-2', 'n-3'])
    cluster.inheritMachine(id, 'm16', 'a', false, `10.0.0.1:${id}`, 0);
  const stop = new AbortController();
  const agentClient = {
    command: async (address: string) => {
      if (address.endsWith('n-1')) throw new NoResponseError('timed out');
      if (address.endsWith('n-2')) throw new NotAttemptedError('every socket is in use');
      const agent = new ScriptedAgent('n-3');
      agent.term = 2;
      return { executed: true, heartbeat: agent.heartbeat() };
    },
  };
  const term = { number: 2, signal: stop.signal, isProven: () => true } as never;
  const commands = new AgentCommands({
    ctx,
    term,
    cluster,
    agents: agentClient,
    sockets: { commands: 9, confirmations: 9 },
  });
  void commands.confirmInheritedMachines(stop.signal).catch(() => {});
  await clock.advance(ctx.timing.heartbeatMs);
  stop.abort();
  const unanswered = [...cluster.machines.values()].map(
    (machine) => machine.confirmationUnanswered,
  );
  assert.deepEqual(unanswered, [true, false, false]);
});

test('an inherited machine that never learns of the new term delays only jobs that it may run, until it is terminated', () => {
  const teams = [teamQuota({ name: 'ops', maxCpus: 16 })];
  const cluster = createCluster({ term: 2, teams });
  const scaleIn = new ScaleInPlanner(cluster);
  cluster.inheritMachine('n-1', 'm16', 'a', true, '10.0.0.1:9001', 0);
  cluster.inheritMachine('n-2', 'm16', 'a', false, '10.0.0.1:9002', 0);
  const partitioned = new ScriptedAgent('n-1', 'a', true);
  partitioned.term = 1;
  const healthy = joinCluster(cluster, new ScriptedAgent('n-2'), 100);
  const onDemandJob = cluster.addJob(
    jobSpec({ id: 'req-000001', tasks: 1, allowsSpot: false }),
    1,
    0,
    true,
  );
  const spotJob = cluster.addJob(jobSpec({ id: 'req-000002', tasks: 2, cpus: 8 }), 2, 0, true);
  // What may run on the unconfirmed machine counts against the team's quota.
  assert.equal(runPlacementRound(cluster, 32, 200).started.length, 0);
  let now = 200;
  let terminatedAt = 0;
  while (now < 60_000 && terminatedAt === 0) {
    now += 1000;
    cluster.applyHeartbeat(partitioned.heartbeat(), 'heartbeat', now);
    sendHeartbeat(cluster, healthy, now);
    for (const termination of scaleIn.plan(now)) {
      assert.deepEqual([termination.machine.id, termination.reason], ['n-1', 'unreachable']);
      cluster.markTerminated(termination.machine.id, 'returned', now);
      terminatedAt = now;
    }
  }
  // It is terminated once two heartbeats under the new token are overdue, since work waits for it.
  assert.ok(terminatedAt > 6000 && terminatedAt <= 8000, `terminated at ${terminatedAt}`);
  assert.equal(runPlacementRound(cluster, 32, now).started.length, 2);
  assert.deepEqual([onDemandJob?.readyCount, spotJob?.readyCount], [0, 1]);

  // Without a quota limit, jobs that may not use spot machines wait for on-demand machines only.
  const unlimitedCluster = createCluster({ term: 2 });
  unlimitedCluster.inheritMachine('n-1', 'm16', 'a', true, '10.0.0.1:9001', 0);
  joinCluster(unlimitedCluster, new ScriptedAgent('n-2'), 100);
  unlimitedCluster.addJob(jobSpec({ id: 'req-000001', tasks: 1, allowsSpot: false }), 1, 0, true);
  unlimitedCluster.addJob(jobSpec({ id: 'req-000002', tasks: 1 }), 2, 0, true);
  assert.deepEqual(
    runPlacementRound(unlimitedCluster, 32, 200).started.map((attempt) => attempt.job.spec.id),
    ['req-000001'],
  );
});

test('while a network partition hides many inherited machines from a new leader, none is terminated for waiting work', () => {
  const cluster = createCluster({ term: 2 });
  const scaleIn = new ScaleInPlanner(cluster);
  const agents = Array.from({ length: 10 }, (_, i) => new ScriptedAgent(`n-${i}`));
  for (const agent of agents) cluster.inheritMachine(agent.id, 'm16', 'a', false, '', 0);
  cluster.addJob(jobSpec({ tasks: 50 }), 1, 0, true);
  const plannedTerminations = (joinedCount: number, now: number) => {
    for (const agent of agents.slice(0, joinedCount)) joinCluster(cluster, agent, now);
    return scaleIn.plan(now).map((termination) => termination.machine.id);
  };
  assert.deepEqual(plannedTerminations(7, 8000), []);
  assert.deepEqual(plannedTerminations(8, 8500), ['n-8', 'n-9']);
  // Without waiting work, they are not terminated early.
  const clusterWithoutWork = createCluster({ term: 2 });
  for (const agent of agents) clusterWithoutWork.inheritMachine(agent.id, 'm16', 'a', false, '', 0);
  for (const agent of agents.slice(0, 9)) joinCluster(clusterWithoutWork, agent, 8000);
  assert.deepEqual(new ScaleInPlanner(clusterWithoutWork).plan(8500), []);
});

test('a leader that was paused and kept its lease treats no healthy machine as unreachable or missing', () => {
  const cluster = createCluster();
  const scaleIn = new ScaleInPlanner(cluster);
  const agents = Array.from({ length: 6 }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i}`, i < 3 ? 'a' : 'b'), 0),
  );
  const newest = joinCluster(cluster, new ScriptedAgent('n-8'), 900);
  const entry = (agent: ScriptedAgent) => ({
    id: agent.id,
    address: '',
    type: 'm16',
    zone: agent.zone,
    spot: false,
    state: 'running' as const,
    ageS: 100,
  });
  // The list was requested just before the pause and does not show the newest machine yet.
  const listed = agents.map(entry);
  const resumedAt = 30_000;
  cluster.applyMachineList(listed, 1000, resumedAt);
  assert.deepEqual(scaleIn.plan(resumedAt), []);
  for (const [i, agent] of [...agents, newest].entries()) {
    sendHeartbeat(cluster, agent, resumedAt + 100 * i);
    assert.deepEqual(scaleIn.plan(resumedAt + 100 * i), []);
  }
  // This machine is up within a second or two and sends heartbeats, but is not listed yet.
  joinCluster(cluster, new ScriptedAgent('n-9'), resumedAt + 900);
  cluster.applyMachineList([...agents, newest].map(entry), resumedAt + 1000, resumedAt + 1100);
  assert.deepEqual(scaleIn.plan(resumedAt + 1200), []);
  assert.ok(cluster.machines.has('n-9'));
});

test('a node is unhealthy when it reaches neither the state service nor its peers, and healthy when only the service is down', async () => {
  const clock = new FakeClock();
  const { timing, machineTypes: types } = createContext(
    'n-0',
    new FakeStateService(new FakeStore(clock)),
    clock,
  );
  const state = {
    failingSince: null as number | null,
    unansweredSince: null as number | null,
    lastAttemptAt: clock.now(),
  };
  const peers = { reachable: true, isIsolated: () => !peers.reachable };
  const health = new ControllerHealth({ clock, timing, machineTypes: types }, state, peers);
  assert.equal(health.isHealthy, true);
  state.failingSince = clock.now();
  state.unansweredSince = clock.now();
  await clock.advance(timing.stateTimeoutMs * 0.4);
  assert.deepEqual(
    [health.isStateServiceFailing(), health.isStateServiceUnresponsive()],
    [false, false],
  );
  await clock.advance(timing.stateTimeoutMs);
  // After a while without requests, the next request is attempted.
  assert.equal(health.isStateServiceUnresponsive(), false);
  state.lastAttemptAt = clock.now();
  // An outage: the peers are reachable, users get an immediate response and the node stays healthy.
  assert.deepEqual(
    [health.isStateServiceFailing(), health.isStateServiceUnresponsive(), health.isHealthy],
    [true, true, true],
  );
  peers.reachable = false;
  assert.equal(health.isHealthy, false);
  state.failingSince = null;
  assert.equal(health.isHealthy, true);
});

test('a peer status delayed by a network partition counts as of the time when it was sent', async () => {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const terms: number[] = [];
  const peers = createPeers(ctx, {
    currentStatus: () => status(0),
    observeTerm: (term) => terms.push(term),
    serveUser: () => Promise.reject(new Error('unexpected call')),
    handleHeartbeat: () => Promise.reject(new Error('unexpected call')),
    announceCancellation: () => {},
  });
  const status = (sentAt: number): PeerStatus => ({
    node: 'n-1',
    incarnation: 'n-1-1',
    sentAt,
    term: 3,
    leading: true,
    stateServiceAvailable: true,
    taskCounts: [],
  });
  const sentAt = clock.wall();
  const receivedAt = clock.now();
  peers.receiveStatus(status(sentAt));
  await clock.advance(30_000);
  // Delayed duplicates of it and an older status change nothing.
  peers.receiveStatus(status(sentAt));
  peers.receiveStatus(status(sentAt - 5000));
  assert.equal(peers.lastLedAt('n-1', 3), receivedAt);
  peers.receiveStatus(status(clock.wall()));
  assert.equal(peers.lastLedAt('n-1', 3), clock.now());
  assert.deepEqual(terms, [3, 3, 3, 3]);
});

test('the roster stores many machines on a page and stays correct when writes are lost or applied late', () => {
  // A page has space for three of them.
  const roster = new Roster(4, 3 * (JSON.stringify(rosterEntry(1)).length + 1));
  const writes = roster.add([1, 2, 3, 4].map(rosterEntry));
  assert.deepEqual(
    writes.map((pageWrite) => [pageWrite.keySuffix, pageWrite.version, pageWrite.entries.length]),
    [
      ['4-1', 0, 3],
      ['4-2', 0, 1],
    ],
  );
  const [first, second] = writes;
  assert.ok(first && second);
  first.applied(10);
  // The second write was refused, so the same page takes its machine and the next one.
  second.notApplied();
  const [retried] = roster.add([4, 5].map(rosterEntry));
  assert.deepEqual([retried?.version, retried?.entries.length], [0, 2]);
  // This write received no response, so its page is not written again while it holds machines.
  retried?.outcomeUnknown();
  const [replacement] = roster.add([4, 5].map(rosterEntry));
  assert.notEqual(replacement?.keySuffix, retried?.keySuffix);
  replacement?.applied(12);
  assert.deepEqual(roster.rewriteUnsavedPages(9), []);
  roster.removeMachine('n-1');
  const [rewrite] = roster.rewriteUnsavedPages(9);
  assert.deepEqual([rewrite?.keySuffix, rewrite?.version, rewrite?.entries.length], ['4-1', 10, 2]);
  rewrite?.applied(13);
  for (const id of ['n-2', 'n-3', 'n-4', 'n-5']) roster.removeMachine(id);
  const deletions = roster.rewriteUnsavedPages(9);
  assert.deepEqual(
    new Set(deletions.map((pageWrite) => pageWrite.keySuffix)),
    new Set([first.keySuffix, retried?.keySuffix, replacement?.keySuffix]),
  );
  assert.ok(deletions.every((pageWrite) => pageWrite.entries.length === 0));
  for (const pageWrite of deletions) pageWrite.applied(14);
  assert.deepEqual(roster.rewriteUnsavedPages(9), []);
});
