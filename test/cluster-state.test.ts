import assert from 'node:assert/strict';
import test from 'node:test';
import type { ExitCause } from '../src/model/heartbeat.js';
import { runPlacementRound } from '../src/scheduler/placement/placement-round.js';
import type { ClusterState } from '../src/scheduler/state/cluster-state.js';
import {
  createCluster,
  jobSpec,
  joinCluster,
  MACHINE_TYPE,
  ScriptedAgent,
  sendHeartbeat,
} from './support/scheduler.js';

/** Sends a heartbeat of the agent that lists an attempt of the task as exited. */
function listExit(
  cluster: ClusterState,
  agent: ScriptedAgent,
  task: { jobId: string; index: number; attempt: number },
  cause: ExitCause,
): void {
  const key = `${task.jobId}/${task.index}/${task.attempt}`;
  agent.tasks.set(key, { ...task, state: 'exited', cause });
  assert.ok(cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 100));
}

function joinAgents(cluster: ClusterState, count: number): ScriptedAgent[] {
  return Array.from({ length: count }, (_, i) =>
    joinCluster(cluster, new ScriptedAgent(`n-${i + 1}`), 0),
  );
}

test('an announced cancellation ends a job and blocks outdated watch events up to its revision', () => {
  const cluster = createCluster();
  cluster.addJob(jobSpec(), 5, 0, false);
  cluster.recordAppliedJobRevision(10);
  cluster.announceCancellation('req-000001', 10);
  assert.ok(cluster.jobs.has('req-000001'), 'the watch has already reached that revision');
  cluster.announceCancellation('req-000001', 12);
  assert.equal(cluster.jobs.size, 0);
  assert.equal(cluster.addJob(jobSpec(), 5, 0, false), null, 'the watch event is outdated');
  cluster.recordAppliedJobRevision(11);
  assert.equal(
    cluster.addJob(jobSpec(), 5, 0, false),
    null,
    'the watch has not reached the revision yet',
  );
  cluster.recordAppliedJobRevision(12);
  assert.ok(cluster.addJob(jobSpec(), 5, 0, false));
});

test('dependencies that are read after their job has ended are ignored', () => {
  const cluster = createCluster();
  const job = cluster.addJob(jobSpec(), 5, 0, false, { ids: [], unread: true, keys: [] });
  assert.ok(job);
  cluster.endJob(job.spec.id, { state: 'cancelled', at: null });
  cluster.addReadDependencies(job, ['req-000009']);
  assert.equal(cluster.dependencies.hasDependents('req-000009'), false);
});

test('a price change of a machine type applies to registered machines', () => {
  const cluster = createCluster();
  joinAgents(cluster, 1);
  cluster.updateMachineTypes([{ ...MACHINE_TYPE, price: 7 }]);
  assert.equal(cluster.machines.get('n-1')?.price, 7);
});

test('a machine list requested before the last heartbeat does not remove a machine or mark it as missing', () => {
  const cluster = createCluster();
  const [agent] = joinAgents(cluster, 1);
  assert.ok(agent);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 30_000);
  cluster.applyMachineList([], 20_000, 31_000);
  assert.ok(cluster.machines.has('n-1'));
  assert.equal(cluster.machines.get('n-1')?.missingFromList, false);
});

test('only a machine in the roster is marked as missing from the list, until its next heartbeat', () => {
  const cluster = createCluster();
  const [agent] = joinAgents(cluster, 1);
  const agentOutsideRoster = new ScriptedAgent('n-2');
  agentOutsideRoster.term = cluster.term;
  cluster.applyHeartbeat(agentOutsideRoster.heartbeat(), 'heartbeat', 0);
  assert.ok(agent);
  cluster.applyMachineList([], 10_000, 10_200);
  assert.equal(cluster.machines.get('n-1')?.missingFromList, true);
  assert.equal(cluster.machines.get('n-2')?.missingFromList, false);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 11_000);
  assert.equal(cluster.machines.get('n-1')?.missingFromList, false);
});

test('a new agent epoch under an older fencing token leaves the machine unconfirmed', () => {
  const cluster = createCluster({ term: 2 });
  const [agent] = joinAgents(cluster, 1);
  assert.ok(agent);
  agent.expireLease();
  agent.term = 1;
  assert.ok(cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 100));
  assert.equal(cluster.machines.get('n-1')?.confirmed, false);
});

test('a listed task whose index is beyond the end of its job array is stopped as unknown', () => {
  const cluster = createCluster();
  const [agent] = joinAgents(cluster, 1);
  assert.ok(agent);
  cluster.addJob(jobSpec({ tasks: 4 }), 5, 0, false);
  const task = { jobId: 'req-000001', index: 4, attempt: 77 };
  agent.tasks.set('req-000001/4/77', { ...task, state: 'running', cause: null });
  assert.deepEqual(sendHeartbeat(cluster, agent, 100), [{ op: 'stop', ...task, graceS: 0 }]);
});

test('a start that takes effect resets the count of missed acknowledgements', () => {
  const cluster = createCluster();
  const [agent] = joinAgents(cluster, 1);
  const machine = cluster.machines.get('n-1');
  assert.ok(agent && machine);
  cluster.addJob(jobSpec({ tasks: 1 }), 5, 0, false);
  runPlacementRound(cluster, 32, 100);
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 100);
  assert.equal(cluster.heartbeatCommands(machine).length, 1, 'a response that gets lost');
  cluster.applyHeartbeat(agent.heartbeat(), 'heartbeat', 200);
  assert.equal(machine.missedAcknowledgements, 1);
  runPlacementRound(cluster, 32, 200);
  sendHeartbeat(cluster, agent, 300);
  assert.equal(machine.missedAcknowledgements, 1);
  sendHeartbeat(cluster, agent, 400);
  assert.equal(machine.missedAcknowledgements, 0);
});

test('a second success of a task, or a success of an ended job, is forgotten at once', () => {
  const cluster = createCluster();
  const [first, second, third] = joinAgents(cluster, 3);
  assert.ok(first && second && third);
  cluster.addJob(jobSpec({ tasks: 2 }), 5, 0, false);
  listExit(cluster, first, { jobId: 'req-000001', index: 0, attempt: 71 }, 'done');
  assert.deepEqual(sendHeartbeat(cluster, first, 200), [], 'its bit has not been written');
  const secondSuccess = { jobId: 'req-000001', index: 0, attempt: 72 };
  listExit(cluster, second, secondSuccess, 'done');
  assert.deepEqual(sendHeartbeat(cluster, second, 200), [{ op: 'forget', ...secondSuccess }]);

  const successAfterEnd = { jobId: 'req-000001', index: 1, attempt: 73 };
  third.tasks.set('req-000001/1/73', { ...successAfterEnd, state: 'running', cause: null });
  cluster.applyHeartbeat(third.heartbeat(), 'heartbeat', 200);
  cluster.endJob('req-000001', { state: 'cancelled', at: null });
  listExit(cluster, third, successAfterEnd, 'done');
  assert.deepEqual(sendHeartbeat(cluster, third, 300), [{ op: 'forget', ...successAfterEnd }]);
});

test('failures of a job that fails on several machines do not count against its machines', () => {
  const cluster = createCluster();
  const agents = joinAgents(cluster, 3);
  cluster.addJob(jobSpec({ id: 'req-000001' }), 5, 0, false);
  cluster.addJob(jobSpec({ id: 'req-000002' }), 6, 0, false);
  agents.forEach((agent, i) => {
    listExit(cluster, agent, { jobId: 'req-000001', index: i, attempt: 70 + i }, 'error');
  });
  const [agent] = agents;
  assert.ok(agent);
  listExit(cluster, agent, { jobId: 'req-000002', index: 0, attempt: 80 }, 'error');
  assert.equal(cluster.machines.get('n-1')?.drainReason, null);
});

test('many failures of one job quarantine a machine only when the job succeeds elsewhere', () => {
  const cluster = createCluster();
  const [failing, healthy] = joinAgents(cluster, 2);
  assert.ok(failing && healthy);
  cluster.addJob(jobSpec(), 5, 0, false);
  for (let index = 0; index < 3; index++)
    listExit(cluster, failing, { jobId: 'req-000001', index, attempt: 70 + index }, 'error');
  assert.equal(cluster.machines.get('n-1')?.drainReason, null);
  listExit(cluster, healthy, { jobId: 'req-000001', index: 0, attempt: 80 }, 'done');
  listExit(cluster, failing, { jobId: 'req-000001', index: 3, attempt: 81 }, 'error');
  assert.equal(cluster.machines.get('n-1')?.drainReason, 'quarantined');
});
