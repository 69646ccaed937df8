import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createCluster, jobSpec, joinCluster, ScriptedAgent } from './support/scheduler.js';

/** Creates a job of four tasks with 4 CPUs and 8 GB each, and assigns the first one to a machine. */
function assignOne() {
  const cluster = createCluster();
  joinCluster(cluster, new ScriptedAgent('n-1'), 0);
  const machine = cluster.machines.get('n-1');
  const job = cluster.addJob(jobSpec({ tasks: 4, cpus: 4, memoryGb: 8 }), 5, 0, false);
  const index = job?.popReadyTask();
  assert.ok(machine && job && typeof index === 'number');
  return { job, machine, attempt: cluster.assign(job, index, machine, 0) };
}

test('an attempt releases its resources on the machine exactly once, at its exit or its removal', () => {
  const exited = assignOne();
  assert.deepEqual([exited.machine.usedCpus, exited.machine.usedMemoryGb], [4, 8]);
  exited.machine.markExited(exited.attempt);
  exited.machine.markExited(exited.attempt);
  assert.deepEqual([exited.machine.usedCpus, exited.machine.attempts.size], [0, 1]);
  exited.machine.removeAttempt(exited.attempt);
  assert.deepEqual([exited.machine.usedCpus, exited.machine.attempts.size], [0, 0]);

  const removed = assignOne();
  removed.machine.removeAttempt(removed.attempt);
  removed.machine.removeAttempt(removed.attempt);
  assert.deepEqual([removed.machine.usedCpus, removed.machine.attempts.size], [0, 0]);
});

test('the removal of an attempt that is not the active one of its task does not change the job', () => {
  const { job, machine, attempt } = assignOne();
  const other = { ...attempt, attempt: attempt.attempt + 1 };
  job.removeAttempt(other, 0);
  assert.deepEqual([job.readyCount, job.activeAttempts.get(0)], [3, attempt]);
  assert.equal(job.attemptsByZone.get(machine.zone), 1);
  job.removeAttempt(attempt, 0);
  assert.deepEqual([job.readyCount, job.activeAttempts.size], [4, 0]);
  assert.equal(job.attemptsByZone.get(machine.zone), 0);
});
