// A small deployment on loopback: three controllers of the service, and stand-ins for the state
// service, the cloud, the workers and the users.
import { Cloud } from './cloud.mjs';
import { Controllers, settingsOf } from './controllers.mjs';
import { freePorts, HOST, requestJson } from './http.mjs';
import { Link } from './links.mjs';
import { Record, sleep, until } from './record.mjs';
import { StateService } from './state.mjs';
import { Worker } from './worker.mjs';

/** How long a user waits for a response to a poll and to any other request. */
const POLL_TIMEOUT_MS = 2000;
const REQUEST_TIMEOUT_MS = 5000;

/** A case ends by then, whatever happens. */
const MAX_RUN_MS = 118_000;

export class Deployment {
  /**
   * `nodes`: `{ name, zone }` of each controller. `machines`: `{ id, rig, hall }`. `settings`: the
   * inner settings of DEPLOY-passcart.md. `trouble`: see StateService. `isCut(zoneA, zoneB)`:
   * whether two zones can't reach each other now.
   */
  static async create({ recordFile, nodes, machines, types, settings, trouble, isCut = () => false, firstTally }) {
    const record = new Record(recordFile);
    const n = nodes.length;
    const ports = await freePorts(2 * n + n * (n - 1) + n + 1 + machines.length);
    const take = () => ports.pop();
    const deployment = new Deployment();
    deployment.record = record;
    deployment.jobs = new Map();
    deployment.state = new StateService(record, trouble);
    deployment.cloud = new Cloud(record, types);
    deployment.links = [];
    const full = nodes.map((node) => ({ ...node, port: take(), peerPort: take() }));
    const cloudPort = take();
    await deployment.cloud.listen(cloudPort);
    for (const node of full) {
      const statePort = take();
      await deployment.state.listen(node.name, statePort);
      const peers = [];
      for (const peer of full) {
        if (peer === node) continue;
        const link = new Link(peer.peerPort, () => isCut(node.zone, peer.zone));
        const port = take();
        await link.listen(port);
        deployment.links.push(link);
        peers.push({ ...peer, port });
      }
      node.settings = settingsOf(node, peers, { cloud: cloudPort, state: statePort }, settings);
    }
    deployment.nodes = full;
    deployment.controllers = new Controllers(record, full);
    deployment.running = new Map();
    deployment.broken = [];
    deployment.starts = 0;
    deployment.workers = machines.map(({ id, rig, hall }) => {
      const zoneOf = (name) => full.find((node) => node.name === name).zone;
      return new Worker({
        record,
        id,
        rig,
        hall,
        loaner: false,
        type: types.find(({ sku }) => sku === rig),
        port: take(),
        nodes: full,
        jobs: deployment.jobs,
        settings: settings.workers,
        firstTally,
        reaches: (name) => !isCut(zoneOf(name), hall),
        events: {
          started: (hand, attempt, machine) => deployment.taskStarted(hand, attempt, machine),
          ended: (hand, attempt, machine) => deployment.taskEnded(hand, attempt, machine),
        },
        sourceOf: (from, to) => deployment.controllers.sourceOf(from, to),
      });
    });
    deployment.cloud.onReturn = (id) => deployment.workers.find((worker) => worker.id === id)?.stop();
    for (const worker of deployment.workers) {
      deployment.cloud.add(worker);
      await worker.start();
    }
    return deployment;
  }

  taskStarted(hand, attempt, machine) {
    this.starts++;
    const on = this.running.get(hand) ?? new Set();
    this.running.set(hand, on);
    for (const other of on)
      if (other !== machine) {
        this.broken.push('ran_twice');
        this.record.add('CHECK', `ran_twice: ${hand} (attempt ${attempt}) starts on ${machine} while it is on ${other}`);
      }
    on.add(machine);
  }

  taskEnded(hand, _attempt, machine) {
    this.running.get(hand)?.delete(machine);
  }

  port(name) {
    return this.nodes.find((node) => node.name === name).port;
  }

  async allHealthy(names, ms) {
    return until(async () => (await Promise.all(names.map((name) => this.controllers.healthy(name)))).every(Boolean), ms);
  }

  /** Submits a job once; `runS` is how long each of its tasks takes. */
  async submit(node, job, runS) {
    // The description is uploaded before the job is submitted.
    this.jobs.set(job.id, { ...job, runS });
    const reply = await requestJson({ port: this.port(node), method: 'POST', path: '/v1/jobs', body: job, timeoutMs: REQUEST_TIMEOUT_MS });
    this.record.add('user', `submit to ${node}: ${JSON.stringify(job)} -> ${reply.status} ${JSON.stringify(reply.body)}`);
    return reply;
  }

  /** Submits a job again and again, as users do, until it is accepted or refused for good. */
  async submitUntilAccepted(node, job, runS) {
    const start = this.nodes.findIndex(({ name }) => name === node);
    for (let n = 0; n < 20; n++) {
      const { status } = await this.submit(this.nodes[(start + n) % this.nodes.length].name, job, runS);
      if (status === 200 || status === 201) return;
      if (status === 400 || status === 422) break;
      await sleep(1000);
    }
    throw new Error(`${job.id} is not accepted`);
  }

  async poll(node, id) {
    const reply = await requestJson({ port: this.port(node), method: 'GET', path: `/v1/jobs/${id}`, timeoutMs: POLL_TIMEOUT_MS });
    this.record.add('user', `ask ${node} about ${id} -> ${reply.status || 'no response'} ${JSON.stringify(reply.body)}`);
    return reply;
  }

  close() {
    this.controllers.close();
    for (const worker of this.workers) worker.stop();
    for (const link of this.links) link.close();
    this.state.close();
    this.cloud.close();
  }
}

export { HOST };

/** The inner settings of tienlen-hanoi, as the kit prints them for a node. */
export const TIENLEN_HANOI = {
  size: 3,
  zones: ['danang', 'hanoi'],
  teams: [{ name: 'to-phantich', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  objectives: [
    { kind: 'wait', class: 'boc-tham', within_s: 10, share: 0.975 },
    { kind: 'wait', class: 'boc-tham', within_s: 50, share: 0.98 },
    { kind: 'finished', class: 'boc-tham', within_s: 60, share: 0.98 },
    { kind: 'deadline', class: 'kiem-xao', share: 0.8, times: 1 },
    { kind: 'deadline', class: 'kiem-xao', share: 0.975, times: 1.5 },
  ],
  workers: { report_s: 3, lease_s: 20, gang_wait_s: 35, gang_peer_s: 8, cancel_s: 50 },
  state: { rps: 250, write_rps: 100, value_kb: 32, txn_ops: 32 },
  cloud: { rps: 5, list_lag_s: 5 },
  quota: { cpu: 0.085, memory_mb: 242, max_sockets: 1500 },
  skew_ms: 5,
};

export const MAY16 = {
  sku: 'may16',
  cores: 16,
  accelerators: 0,
  memoryGb: 64,
  cacheGb: 50,
  pullGbPerS: 0.4,
  rate: 0.61,
  spotPrice: 0.2,
  readyS: 40,
  halls: ['danang', 'hanoi'],
};

/** The inner settings of tienlen-hanoi-next, as the kit prints them for a node. */
export const TIENLEN_HANOI_NEXT = {
  ...TIENLEN_HANOI,
  objectives: [
    { kind: 'wait', class: 'boc-tham', within_s: 4, share: 0.92 },
    { kind: 'wait', class: 'boc-tham', within_s: 40, share: 0.995 },
    { kind: 'finished', class: 'boc-tham', within_s: 60, share: 0.975 },
    { kind: 'deadline', class: 'kiem-xao', share: 0.92, times: 1 },
    { kind: 'deadline', class: 'kiem-xao', share: 0.985, times: 1.5 },
    { kind: 'deadline', class: 'cong-bo', share: 0.95, times: 1 },
    { kind: 'deadline', class: 'cong-bo', share: 0.94, times: 1.5 },
    { kind: 'wait', class: 'lam-sach', within_s: 40, share: 0.98 },
  ],
  workers: { ...TIENLEN_HANOI.workers, report_s: 4 },
  state: { ...TIENLEN_HANOI.state, next: { write_rps: 70, value_kb: 2, txn_ops: 10 } },
};

/** The inner settings of ledger-waikato, as the kit prints them for a node. */
export const LEDGER_WAIKATO = {
  size: 3,
  zones: ['hamilton', 'rotorua', 'tauranga'],
  teams: [0, 1, 2, 3, 4, 5].map((n) => ({
    name: `ledger-support-0${n}`,
    cpus: 112,
    cpus_max: 360,
    gpus: 0,
    gpus_max: 0,
  })),
  objectives: [
    { kind: 'deadline', class: 'gst-prep', share: 0.85, times: 1 },
    { kind: 'deadline', class: 'gst-prep', share: 0.96, times: 1.75 },
    { kind: 'wait', class: 'gst-prep', within_s: 25, share: 0.75 },
    { kind: 'deadline', class: 'bank-match', share: 0.88, times: 1 },
    { kind: 'guarantee', within_s: 15, share: 0.88 },
  ],
  workers: { report_s: 3, lease_s: 27, gang_wait_s: 40, gang_peer_s: 4, cancel_s: 52 },
  state: { rps: 150, write_rps: 20, value_kb: 8, txn_ops: 12 },
  cloud: { rps: 3, list_lag_s: 4 },
  quota: { cpu: 0.136, memory_mb: 146, max_sockets: 800 },
  skew_ms: 25,
};

export const KAURI = {
  sku: 'kauri',
  cores: 16,
  accelerators: 0,
  memoryGb: 128,
  cacheGb: 30,
  pullGbPerS: 0.5,
  rate: 1.38,
  spotPrice: 0.43,
  readyS: 50,
  halls: ['hamilton', 'rotorua', 'tauranga'],
};

/** A submission with usual values; `fields` replaces some of them. */
export function job(id, fields = {}) {
  return {
    id,
    bracket: 'boc-tham',
    crew: 'to-phantich',
    form: 'array',
    rank: 'urgent',
    hands: 1,
    cores: 2,
    accelerators: 0,
    memoryGb: 6.7,
    deck: 'img-01',
    pullGb: 0.4,
    rigs: null,
    hall: null,
    oneZone: false,
    scatter: false,
    loaner: false,
    expectedS: 15,
    markEveryS: 0,
    markCostS: 0,
    dueS: null,
    ...fields,
  };
}

/**
 * Runs a scenario and ends the process: 1 if a rule was broken, 0 if it held, 2 if the case could
 * not run (the scenario throws).
 */
export async function runCase(scenario) {
  let deployment;
  const stop = (reason) => {
    console.error(`the case could not run: ${reason}`);
    process.exit(2);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => stop(signal));
  process.once('uncaughtException', (error) => stop(error.stack));
  process.once('unhandledRejection', (error) => stop(error?.stack ?? error));
  setTimeout(() => stop('it took too long'), MAX_RUN_MS).unref();
  let code = 2;
  try {
    const options = scenario.options ?? {};
    deployment = await Deployment.create(options);
    const broken = await scenario.play(deployment);
    code = broken ? 1 : 0;
    deployment.record.add('CHECK', broken ? `broken: ${broken}` : 'the rule held');
    console.log(broken ? `broken: ${broken}` : 'the rule held');
  } catch (error) {
    deployment?.record.add('CHECK', `the case could not run: ${error.stack}`);
    console.error(`the case could not run: ${error.message}`);
  }
  deployment?.close();
  process.exit(code);
}
