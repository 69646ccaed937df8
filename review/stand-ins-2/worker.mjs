/** A stand-in of a worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"). */
import http from 'node:http';
import { callJson, serveJson } from './http.mjs';

const ANSWER_WITHIN_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_GAP_MS = 500;

/** Counts the listed tasks by job and state, for the record. */
function summary(hands) {
  const counts = new Map();
  for (const { hand, standing, cause } of hands) {
    const key = `${hand.split('/')[0]} ${cause ?? standing}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `, ${count} of ${key}`).join('');
}

export class Worker {
  tally = 0;
  shift = 1;
  baton = 0;
  hands = new Map();
  images = new Map();
  /** While true, every task that starts fails (trouble: "machines fail every task that they start"). */
  sick = false;
  /** The machine has no power: nothing is executed or sent, and connections to it hang. */
  gone = false;
  lastAnsweredSentAt = performance.now();
  lastSentAt = Number.NEGATIVE_INFINITY;
  reporting = false;
  changed = true;
  lastTokenChangeAt = Number.NEGATIVE_INFINITY;

  /**
   * `machine`: {id, rig, hall, loaner, type}; `jobs`: job descriptions by id, each with `runS`;
   * `nodes`: [{node, address}]; `events(kind, fields)` is called when a task starts and ends.
   */
  constructor({ machine, jobs, results, nodes, workers, record, events = () => {} }) {
    Object.assign(this, { machine, jobs, results, nodes, workers, record, events });
    this.nodeIndex = Math.floor(Math.random() * nodes.length);
    this.nextReportAt = performance.now();
  }

  async start() {
    this.server = await serveJson((method, path, _query, body) => {
      if (this.gone) return null;
      if (path === '/show') return { status: 200, body: this.report() };
      if (path === '/do' && method === 'POST') return this.direct(body);
      return { status: 404, body: {} };
    });
    this.endpoint = this.server.address;
    this.agents = new Map();
    this.timer = setInterval(() => this.tick(), 25);
  }

  /**
   * The machine is gone with everything on it. It closes no connection and answers nothing
   * (DEPLOY, "Network": "connections to it hang without any error").
   */
  powerOff() {
    this.gone = true;
    clearInterval(this.timer);
    for (const hand of this.hands.values()) this.end(hand, 'gone');
    this.hands.clear();
  }

  /** Closes the stand-in's sockets at the end of the run. */
  close() {
    this.powerOff();
    this.server.close();
    for (const agent of this.agents.values()) agent.destroy();
  }

  report() {
    return {
      cart: this.machine.id,
      endpoint: this.endpoint,
      rig: this.machine.rig,
      hall: this.machine.hall,
      loaner: this.machine.loaner,
      shift: this.shift,
      tally: ++this.tally,
      baton: this.baton,
      recallS: null,
      hands: [...this.hands.values()].map(({ hand, attempt, standing, cause }) =>
        standing === 'exited'
          ? { hand, try: attempt, standing, cause }
          : { hand, try: attempt, standing },
      ),
    };
  }

  see(token) {
    if (token <= this.baton) return;
    this.baton = token;
    const now = performance.now();
    if (now - this.lastTokenChangeAt < (this.workers.lease_s * 1000) / 2) return;
    this.lastTokenChangeAt = now;
    this.changed = true;
  }

  direct({ baton, shift, orders = [] }) {
    this.record?.line(this.machine.id, `/do: baton ${baton}, shift ${shift}, ${orders.length} orders`);
    if (baton === undefined || shift === undefined) return { status: 400, body: {} };
    if (baton < this.baton || shift !== this.shift) {
      this.record?.line(this.machine.id, `/do refused: baton ${baton}, shift ${shift}`);
      return { status: 409, body: this.report() };
    }
    this.see(baton);
    this.execute(orders, '/do');
    return { status: 200, body: this.report() };
  }

  execute(orders, source) {
    for (const { verb, hand, try: attempt, windDownS } of orders) {
      this.record?.line(this.machine.id, `${verb} ${hand} try ${attempt} (${source})`);
      const key = `${hand}#${attempt}`;
      const known = this.hands.get(key);
      if (verb === 'run' && !known) this.run(key, hand, attempt);
      else if (verb === 'kill' && known && known.standing !== 'exited') this.kill(known, windDownS);
      else if (verb === 'forget' && known?.standing === 'exited') this.hands.delete(key);
    }
  }

  run(key, hand, attempt) {
    const entry = { hand, attempt, standing: 'pulling', cause: null, onMachine: false };
    this.hands.set(key, entry);
    const [jobId, index] = hand.split('/');
    entry.job = this.jobs.get(jobId);
    if (!entry.job || Number(index) >= entry.job.hands) return this.exit(entry, 'unknown');
    const others = [...this.hands.values()].filter(
      (other) => other !== entry && other.standing !== 'exited',
    );
    if (others.some((other) => other.hand === hand)) return this.exit(entry, 'busy');
    const used = (field) => others.reduce((sum, other) => sum + other.job[field], 0);
    const { type } = this.machine;
    if (
      used('cores') + entry.job.cores > type.cores + 1e-9 ||
      used('memoryGb') + entry.job.memoryGb > type.memoryGb + 1e-9
    )
      return this.exit(entry, 'full');
    const { deck, pullGb } = entry.job;
    const pullMs = this.images.has(deck) ? 0 : (pullGb / type.pullGbPerS) * 1000;
    this.changed = true;
    entry.timer = setTimeout(() => this.begin(entry), pullMs);
  }

  begin(entry) {
    this.images.set(entry.job.deck, true);
    entry.standing = 'running';
    entry.onMachine = true;
    this.changed = true;
    this.record?.line(this.machine.id, `${entry.hand} try ${entry.attempt} is running`);
    this.events('start', { machine: this.machine, hand: entry.hand, attempt: entry.attempt });
    if (this.results.has(entry.hand)) return this.exit(entry, 'done');
    if (this.sick) {
      entry.timer = setTimeout(() => this.exit(entry, 'error'), 200);
      return;
    }
    if (entry.job.runS === null) return;
    const runMs = (entry.job.runSOf?.(Number(entry.hand.split('/')[1])) ?? entry.job.runS) * 1000;
    entry.timer = setTimeout(() => {
      this.results.add(entry.hand);
      this.exit(entry, 'done');
    }, runMs);
  }

  kill(entry) {
    // The jobs of the cases save no checkpoints, so the task exits at once.
    this.exit(entry, 'halted');
  }

  exit(entry, cause) {
    clearTimeout(entry.timer);
    entry.standing = 'exited';
    entry.cause = cause;
    this.changed = true;
    this.record?.line(this.machine.id, `${entry.hand} try ${entry.attempt} exited: ${cause}`);
    if (entry.onMachine) this.events('end', { machine: this.machine, hand: entry.hand, cause });
    entry.onMachine = false;
  }

  /** Ends the run of a running task now, with its result. */
  finish(hand) {
    const entry = [...this.hands.values()].find(
      (other) => other.hand === hand && other.standing === 'running',
    );
    if (!entry) throw new Error(`${hand} does not run on ${this.machine.id}`);
    this.results.add(hand);
    this.exit(entry, 'done');
  }

  /** Whether a task of this job would fit beside those that are on the machine now. */
  hasRoomFor({ cores, memoryGb }) {
    const present = [...this.hands.values()].filter(({ standing }) => standing !== 'exited');
    const used = (field) => present.reduce((sum, { job }) => sum + job[field], 0);
    const { type } = this.machine;
    return used('cores') + cores <= type.cores && used('memoryGb') + memoryGb <= type.memoryGb;
  }

  end(entry, cause) {
    clearTimeout(entry.timer);
    if (entry.onMachine) this.events('end', { machine: this.machine, hand: entry.hand, cause });
    entry.onMachine = false;
  }

  tick() {
    if (this.gone) return;
    const now = performance.now();
    if (now - this.lastAnsweredSentAt > this.workers.lease_s * 1000) this.nextShift(now);
    if (this.reporting) return;
    const due = now >= this.nextReportAt || (this.changed && now >= this.notBefore());
    if (due && now >= (this.waitUntil ?? 0)) void this.send();
  }

  notBefore() {
    return this.lastSentAt + MIN_GAP_MS;
  }

  nextShift(now) {
    this.record?.line(this.machine.id, `lease over, shift ${this.shift + 1} begins`);
    for (const hand of this.hands.values()) this.end(hand, 'lease');
    this.hands.clear();
    this.shift++;
    this.tally = 0;
    this.lastAnsweredSentAt = now;
    this.changed = true;
  }

  async send() {
    this.reporting = true;
    this.changed = false;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const report = this.report();
    const { node, address } = this.nodes[this.nodeIndex];
    let agent = this.agents.get(node);
    if (!agent) {
      agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
      this.agents.set(node, agent);
    }
    this.onReport?.(node, report);
    this.record?.line(
      this.machine.id,
      `reports to ${node}: shift ${report.shift}, tally ${report.tally}, baton ${report.baton}${summary(report.hands)}`,
    );
    try {
      const reply = await callJson(address, 'POST', '/agent/beat', report, {
        timeoutMs: ANSWER_WITHIN_MS,
        agent,
      });
      if (!this.gone) this.answered(reply, report, sentAt, node);
    } catch (error) {
      if (!this.gone) {
        this.record?.line(this.machine.id, `gets no answer from ${node}: ${error.message}`);
        this.toNextNode();
      }
    }
    const interval = this.workers.report_s * 1000;
    this.nextReportAt = sentAt + interval * (0.75 + Math.random() * 0.5);
    this.reporting = false;
  }

  answered({ status, body }, report, sentAt, node) {
    const what = status === 200 ? `baton ${body.baton}, ${body.orders?.length ?? 0} orders` : JSON.stringify(body);
    this.record?.line(this.machine.id, `gets ${status} from ${node} to tally ${report.tally}: ${what}`);
    if (status === 421) {
      const index = this.nodes.findIndex((other) => other.node === body.steward);
      if (index < 0 || index === this.nodeIndex) return this.toNextNode();
      this.agents.get(node)?.destroy();
      this.agents.delete(node);
      this.nodeIndex = index;
      this.waitUntil = performance.now() + Math.random() * 500;
      this.changed = true;
      return;
    }
    if (status !== 200) return this.toNextNode();
    // Answers to reports of an earlier session, and lower tokens, are dropped.
    if (report.shift !== this.shift) return;
    if (body.baton === undefined || body.baton < this.baton) return;
    this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, sentAt);
    this.see(body.baton);
    this.execute(body.orders ?? [], node);
  }

  toNextNode() {
    this.nodeIndex = (this.nodeIndex + 1) % this.nodes.length;
    this.waitUntil = performance.now() + NEXT_NODE_MS;
    this.changed = true;
  }
}
