import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetController } from '../src/controller/leader/fleet-controller.js';
import { NoResponseError } from '../src/http/errors.js';
import type { ProvisionRequest } from '../src/protocol/cloud-protocol.js';
import { ScaleInPlanner } from '../src/scheduler/scaling/scale-in.js';
import { ScaleOutPlanner } from '../src/scheduler/scaling/scale-out.js';
import { FakeClock } from './support/clock.js';
import { createContext } from './support/context.js';
import { createCluster, jobSpec } from './support/scheduler.js';
import { FakeStateService, FakeStore } from './support/state.js';

type ProvisionResponder = (request: ProvisionRequest, call: number) => string[] | null;

/** A fleet controller with work for a few machines, and a cloud with scripted responses. */
function createFleetController(respond: ProvisionResponder) {
  const clock = new FakeClock();
  const ctx = createContext('n-0', new FakeStateService(new FakeStore(clock)), clock);
  const cluster = createCluster();
  cluster.addJob(jobSpec({ tasks: 200, zone: 'a', allowsSpot: false }), 1, 0, false);
  const scaleOut = new ScaleOutPlanner(cluster);
  const scaleIn = new ScaleInPlanner(cluster);
  const requests: ProvisionRequest[] = [];
  const validityChecks: (() => boolean)[] = [];
  const stop = new AbortController();
  const proof = { valid: true };
  const cloud = {
    types: async () => [],
    list: async () => ({ machines: [], more: false }),
    terminate: async () => {},
    provision: async (
      request: ProvisionRequest,
      _signal: AbortSignal,
      stillValid: () => boolean,
    ) => {
      requests.push(request);
      validityChecks.push(stillValid);
      return respond(request, requests.length);
    },
  };
  const term = { number: 4, signal: stop.signal, isProven: () => proof.valid } as never;
  const agents = { retainOnly: () => {} };
  const fleet = new FleetController({ ctx, term, cluster, scaleOut, scaleIn, cloud, agents });
  const run = () => void fleet.runScaling(stop.signal).catch(() => {});
  const firstPlanMs =
    ctx.timing.machineListIntervalMs +
    ctx.timing.scalingIntervalMs +
    ctx.timing.placementIntervalMs;
  return { clock, ctx, cluster, requests, validityChecks, stop, proof, run, firstPlanMs };
}

const machineIds = (count: number) => Array.from({ length: count }, (_, i) => `n-${i + 1}`);

test('a provision request without a response is retried under the same name, so machines are provisioned only once', async () => {
  const node = createFleetController((request, call) => {
    if (call < 3) throw new NoResponseError('timed out');
    return machineIds(request.count);
  });
  node.run();
  await node.clock.advance(node.firstPlanMs + node.ctx.timing.scalingIntervalMs * 1.5);
  node.stop.abort();
  assert.equal(node.requests.length, 3);
  assert.deepEqual(
    node.requests.map(({ name }) => name),
    ['n-0-1-4-1', 'n-0-1-4-1', 'n-0-1-4-1'],
  );
  assert.equal(node.cluster.machines.size, node.requests[0]?.count);
});

test('a leader without proof of leadership provisions nothing, and its requests are rechecked before they are sent', async () => {
  const node = createFleetController(() => {
    node.proof.valid = false;
    throw new NoResponseError('timed out');
  });
  node.proof.valid = false;
  node.run();
  await node.clock.advance(node.firstPlanMs * 2);
  assert.equal(node.requests.length, 0);
  node.proof.valid = true;
  await node.clock.advance(node.firstPlanMs);
  // The proof expired with the first request, so it is not retried and would not be sent either.
  assert.equal(node.requests.length, 1);
  assert.equal(node.validityChecks[0]?.(), false);
  node.stop.abort();
});

test('a pool is not requested for a while after the cloud provided fewer than requested or none', async () => {
  for (const providedCount of [0, 1]) {
    const node = createFleetController(() =>
      providedCount === 0 ? null : machineIds(providedCount),
    );
    node.run();
    await node.clock.advance(node.firstPlanMs);
    const first = node.requests.length;
    assert.ok(first > 0);
    assert.ok((node.requests[0]?.count ?? 0) > 1);
    await node.clock.advance(node.ctx.timing.scalingIntervalMs * 3);
    assert.equal(node.requests.length, first, `${providedCount} provided`);
    node.stop.abort();
  }
});

test('no machines are provisioned in the first machine list interval', async () => {
  const node = createFleetController(() => null);
  node.run();
  await node.clock.advance(node.ctx.timing.machineListIntervalMs);
  assert.equal(node.requests.length, 0);
  await node.clock.advance(node.firstPlanMs);
  assert.ok(node.requests.length > 0);
  node.stop.abort();
});
