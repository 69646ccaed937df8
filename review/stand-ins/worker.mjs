// A worker: reports to the controllers, keeps its lease, and runs tasks (PROTOCOL-passcart.md,
// "Workers -> controller nodes" and "Controller nodes -> workers").
import http from 'node:http';
import { HOST, requestJson, serveJson } from './http.mjs';
import { sleep } from './record.mjs';

const ANSWER_TIMEOUT_MS = 4000;
const RETRY_MS = 1000;
const MIN_REPORT_MS = 500;
/** A sick machine fails each task after this time. */
const SICK_RUN_MS = 500;

export class Worker {
  /**
   * `nodes`: `{ name, port }` of all controllers. `jobs`: the descriptions that users uploaded, by
   * job id, with `runS`, the time that a task of the job takes. `reaches(node)`: whether the network
   * lets this worker and that controller exchange messages. `firstTally` defaults to 1.
   */
  constructor({ record, id, rig, type, hall, loaner, port, nodes, jobs, settings, reaches, events, firstTally, sourceOf }) {
    Object.assign(this, { record, id, rig, type, hall, loaner, port, nodes, jobs, settings, events });
    this.reaches = reaches ?? (() => true);
    this.sourceOf = sourceOf ?? (() => null);
    this.endpoint = `${HOST}:${port}`;
    this.shift = 1;
    this.tally = firstTally ?? 0;
    this.baton = 0;
    this.tasks = new Map();
    this.images = new Set();
    this.results = new Set();
    this.leaseFrom = performance.now();
    this.changed = true;
    this.tokenChangeAt = -Infinity;
    this.stopped = false;
    /** The controller whose answer it last accepted. */
    this.servedBy = null;
    /** Whether the machine fails every task that it starts. */
    this.sick = false;
    this.node = 0;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async start() {
    this.server = await serveJson(this.port, (request, body) => this.serve(request, body));
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
    void this.reportLoop();
  }

  /** The machine is gone, with all that is on it. */
  stop() {
    this.stopped = true;
    clearInterval(this.leaseTimer);
    this.killAll('machine gone');
    this.server?.closeAllConnections();
    this.server?.close();
    this.agent.destroy();
  }

  /** The number is text when it may exceed what a double holds exactly. */
  nextTally() {
    this.tally = typeof this.tally === 'bigint' ? this.tally + 1n : this.tally + 1;
    return this.tally;
  }

  /** The report as JSON text. */
  report() {
    const hands = [...this.tasks.values()].map(({ hand, attempt, standing, cause, kept }) => ({
      hand,
      try: attempt,
      standing,
      ...(standing === 'exited' ? { cause } : {}),
      ...(kept ? { kept: true } : {}),
    }));
    const { id: cart, endpoint, rig, hall, loaner, shift, baton } = this;
    const tally = this.nextTally();
    return JSON.stringify({ cart, endpoint, rig, hall, loaner, shift, tally: 0, baton, recallS: null, hands }).replace(
      '"tally":0',
      `"tally":${tally}`,
    );
  }

  checkLease() {
    if (performance.now() - this.leaseFrom <= this.settings.lease_s * 1000) return;
    this.record.add(this.id, `lease over, session ${this.shift + 1} begins`);
    this.killAll('lease over');
    this.tasks.clear();
    this.shift++;
    this.leaseFrom = performance.now();
    this.changed = true;
  }

  killAll(why) {
    for (const task of this.tasks.values()) this.end(task, 'halted', why);
  }

  // Reports

  async reportLoop() {
    let lastAt = -Infinity;
    let dueAt = 0;
    while (!this.stopped) {
      const now = performance.now();
      const due = now >= dueAt || (this.changed && now - lastAt >= MIN_REPORT_MS);
      if (!due) {
        await sleep(20);
        continue;
      }
      lastAt = now;
      dueAt = now + this.settings.report_s * 1000 * (0.75 + Math.random() * 0.5);
      this.changed = false;
      await this.sendReport();
    }
  }

  async sendReport() {
    const { name, port } = this.nodes[this.node];
    const sentAt = performance.now();
    const shift = this.shift;
    const body = this.report();
    const reply = this.reaches(name)
      ? await requestJson({ port, method: 'POST', path: '/agent/beat', body, timeoutMs: ANSWER_TIMEOUT_MS, agent: this.agent })
      : await sleep(ANSWER_TIMEOUT_MS).then(() => ({ status: 0, body: {} }));
    if (this.stopped) return;
    const lost = reply.status === 200 && !this.reaches(name);
    const { status, body: answer } = lost ? { status: 0, body: {} } : reply;
    this.logReport(name, body, status, answer);
    if (status === 200) this.takeAnswer(answer, shift, sentAt, name);
    else if (status === 421) await this.redirected(answer.steward, name);
    else await this.tryNext();
  }

  logReport(node, body, status, answer) {
    const { tally, ...rest } = JSON.parse(body);
    const text = JSON.stringify({ node, status, shift: rest.shift, baton: rest.baton, hands: rest.hands, answer });
    const plain = text.replace(/"hands":\[\],/, '');
    if (plain === this.lastLogged) return;
    this.lastLogged = plain;
    this.record.add(this.id, `report to ${node}: session ${rest.shift}, token ${rest.baton}, tasks ${JSON.stringify(rest.hands)} -> ${status} ${JSON.stringify(answer)}`);
  }

  takeAnswer(answer, shift, sentAt, node) {
    // A response to a report of an earlier session, or with a lower token or none, is dropped.
    if (shift !== this.shift || !(answer.baton >= this.baton)) return;
    this.raiseToken(answer.baton);
    this.servedBy = node;
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const order of answer.orders ?? []) this.execute(order);
  }

  async redirected(steward, current) {
    const next = this.nodes.findIndex(({ name }) => name === steward);
    if (next < 0 || steward === current) return this.tryNext();
    this.node = next;
    this.changed = true;
    await sleep(Math.random() * 500);
  }

  async tryNext() {
    await sleep(RETRY_MS);
    this.node = (this.node + 1) % this.nodes.length;
    this.changed = true;
  }

  raiseToken(token) {
    if (!(token > this.baton)) return;
    this.baton = token;
    const now = performance.now();
    if (now - this.tokenChangeAt < this.settings.lease_s * 500) return;
    this.tokenChangeAt = now;
    this.changed = true;
  }

  // Direct commands

  async serve(request, body) {
    const { remotePort } = request.socket;
    const node = remotePort === undefined ? null : this.sourceOf(remotePort, this.port);
    if (node && !this.reaches(node)) {
      this.record.add(this.id, `${request.method} ${request.url} from ${node}: lost on the way`);
      return null;
    }
    if (request.method === 'GET' && request.url === '/show') return { status: 200, body: this.report() };
    if (request.method !== 'POST' || request.url !== '/do') return { status: 404, body: {} };
    const { baton, shift, orders = [] } = body;
    if (baton === undefined || shift === undefined) return { status: 400, body: { error: 'baton or shift is missing' } };
    const executed = baton >= this.baton && shift === this.shift;
    this.record.add(this.id, `direct command${node ? ` from ${node}` : ''}: ${JSON.stringify(body)} -> ${executed ? 200 : 409}`);
    if (!executed) return { status: 409, body: this.report() };
    this.raiseToken(baton);
    for (const order of orders) this.execute(order);
    return { status: 200, body: this.report() };
  }

  // Tasks

  execute({ verb, hand, try: attempt, windDownS }) {
    if (this.stopped) return;
    const key = `${hand}#${attempt}`;
    const task = this.tasks.get(key);
    if (verb === 'run' && !task) this.run(key, hand, attempt);
    else if (verb === 'kill' && task) this.kill(task, windDownS ?? 0);
    else if (verb === 'forget' && task?.standing === 'exited') this.tasks.delete(key);
  }

  run(key, hand, attempt) {
    const [jobId, index] = hand.split('/');
    const job = this.jobs.get(jobId);
    const task = { hand, attempt, jobId, job, standing: 'pulling', onMachine: false };
    this.tasks.set(key, task);
    this.changed = true;
    if (!job || Number(index) >= job.hands) return this.end(task, 'unknown');
    const others = [...this.tasks.values()].filter((other) => other !== task && other.standing !== 'exited');
    if (others.some((other) => other.hand === hand)) return this.end(task, 'busy');
    const used = (field) => others.reduce((sum, other) => sum + other.job[field], 0);
    if (used('cores') + job.cores > this.type.cores + 1e-9) return this.end(task, 'full');
    if (used('memoryGb') + job.memoryGb > this.type.memoryGb + 1e-9) return this.end(task, 'full');
    const fetchS = this.images.has(job.deck) ? 0 : job.pullGb / this.type.pullGbPerS;
    task.timer = setTimeout(() => this.begin(task), fetchS * 1000);
  }

  begin(task) {
    this.images.add(task.job.deck);
    if (this.results.has(task.hand)) return this.end(task, 'done');
    task.standing = 'running';
    task.onMachine = true;
    this.changed = true;
    this.record.add(this.id, `task ${task.hand} attempt ${task.attempt} starts`);
    this.events?.started(task.hand, task.attempt, this.id);
    const sick = this.sick;
    task.timer = setTimeout(
      () => {
        if (!sick) this.results.add(task.hand);
        this.end(task, sick ? 'error' : 'done');
      },
      sick ? SICK_RUN_MS : task.job.runS * 1000,
    );
  }

  kill(task, windDownS) {
    if (task.standing === 'exited') return;
    const { job } = task;
    if (task.standing === 'running' && job.markEveryS > 0 && windDownS >= job.markCostS) {
      clearTimeout(task.timer);
      task.standing = 'saving';
      task.timer = setTimeout(() => {
        task.kept = true;
        this.end(task, 'halted');
      }, job.markCostS * 1000);
      this.changed = true;
    } else if (task.standing !== 'saving' || windDownS === 0) this.end(task, 'halted');
  }

  end(task, cause, why = cause) {
    if (task.standing === 'exited') return;
    clearTimeout(task.timer);
    task.standing = 'exited';
    task.cause = cause;
    this.changed = true;
    this.record.add(this.id, `task ${task.hand} attempt ${task.attempt} ends: ${why}`);
    if (task.onMachine) this.events?.ended(task.hand, task.attempt, this.id);
  }
}
