import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RedirectedAgents } from '../src/controller/heartbeats/redirected-agents.js';

const AGENT_LEASE_MS = 1000;
/** Agents without a heartbeat for five leases are forgotten. */
const FORGET_AFTER_MS = 5 * AGENT_LEASE_MS;

test('redirected agents without a heartbeat are forgotten, active ones are kept', () => {
  const agents = new RedirectedAgents({ agentLeaseMs: AGENT_LEASE_MS });
  const inactive = agents.get('m-1', 'n-0');
  const active = agents.get('m-2', 'n-0');
  inactive.recordHeartbeat(0, 100);
  active.recordHeartbeat(FORGET_AFTER_MS, 100);
  agents.forgetInactive(FORGET_AFTER_MS);
  assert.equal(agents.get('m-1', 'n-0'), inactive, 'not yet older than five leases');
  active.recordHeartbeat(FORGET_AFTER_MS + 1, 100);
  agents.forgetInactive(FORGET_AFTER_MS + 1);
  assert.equal(agents.get('m-1', 'n-0'), inactive, 'the last sweep was a moment ago');
  active.recordHeartbeat(2 * FORGET_AFTER_MS, 100);
  agents.forgetInactive(2 * FORGET_AFTER_MS);
  assert.notEqual(agents.get('m-1', 'n-0'), inactive);
  assert.equal(agents.get('m-2', 'n-0'), active);
});

test('the state of a redirected agent is reset when the leader changes', () => {
  const agents = new RedirectedAgents({ agentLeaseMs: AGENT_LEASE_MS });
  const agent = agents.get('m-1', 'n-0');
  agent.termUnawareness = { term: 7, provenAt: 0 };
  assert.equal(agents.get('m-1', 'n-0').termUnawareness, agent.termUnawareness);
  assert.equal(agents.get('m-1', 'n-2').termUnawareness, null);
});
