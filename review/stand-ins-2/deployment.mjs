/**
 * A small deployment on loopback: the project's controllers as processes of their own,
 * started with the run line of deploy/service.toml, and stand-ins for everything else.
 */
import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { callJson, sleep } from './http.mjs';
import { Proxy } from './proxy.mjs';
import { Record } from './record.mjs';
import { StateService } from './state.mjs';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

const LOOPBACK = '127.0.0.1';

function canListen(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A loopback address that no other run beside this one uses, where the system has more than one. */
async function ownLoopbackAddress() {
  const part = () => 2 + Math.floor(Math.random() * 250);
  const host = `127.${part()}.${part()}.${part()}`;
  return (await canListen(host, 0)) ? host : LOOPBACK;
}

/**
 * Returns ports that are free now. They lie below those that the system gives to clients
 * and to the stand-ins, so that none is taken while a controller is away.
 */
async function freePorts(host, count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = 12_000 + Math.floor(Math.random() * 18_000);
    if (await canListen(host, port)) ports.add(port);
  }
  return [...ports];
}

/** The program and arguments of the deploy file's run line. */
function runLine() {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!line) throw new Error('deploy/service.toml has no run line');
  return line.split(' ');
}

export class Deployment {
  jobs = new Map();
  results = new Set();
  processes = new Map();
  /** Tasks on machines: what happened, in order. */
  taskEvents = [];

  /** `initial`: the machines that are up at the start, each {rig, hall}. */
  constructor({ folder, settings, zones, types, capacity, initial = [] }) {
    Object.assign(this, { folder, settings, zones, types, capacity, initial });
    this.record = new Record(join(folder, 'record.txt'));
    this.temporary = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Starts the stand-ins and the controllers, and waits until these are healthy. */
  async start() {
    const { settings, record } = this;
    const names = this.zones.map((_, i) => `wagon-${i}`);
    const host = await ownLoopbackAddress();
    const ports = await freePorts(host, names.length * 2);
    this.nodes = names.map((node, i) => ({
      node,
      zone: this.zones[i],
      bind: `${host}:${ports[i * 2]}`,
      peerListen: `${host}:${ports[i * 2 + 1]}`,
    }));
    this.state = new StateService(settings.state);
    await this.state.start(names);
    this.cloud = new Cloud({
      types: this.types,
      settings: settings.cloud,
      record,
      workerOptions: {
        jobs: this.jobs,
        results: this.results,
        nodes: this.nodes.map(({ node, bind }) => ({ node, address: bind })),
        workers: settings.workers,
        record,
        events: (kind, fields) => this.taskEvents.push({ kind, at: record.now, ...fields }),
      },
      capacity: this.capacity,
    });
    await this.cloud.start();
    this.machineIds = this.initial.map((machine) => this.cloud.add({ ...machine, loaner: false }, 0));
    await this.waitFor('the machines', () => this.workers.length === this.initial.length, 5000);
    /** By `from>to`: the link on which one controller reaches another. */
    this.links = new Map();
    /** By node: the link to the state service. */
    this.stateLinks = new Map();
    for (const from of this.nodes) {
      this.stateLinks.set(from.node, await new Proxy().start(this.state.addressFor(from.node)));
      for (const to of this.nodes)
        if (from !== to)
          this.links.set(`${from.node}>${to.node}`, await new Proxy().start(to.peerListen));
    }
    for (const node of this.nodes) this.spawn(node.node);
    for (const node of this.nodes) await this.healthy(node.node);
    record.line('test', 'all controllers are healthy');
  }

  /** The workers of the machines that are up at the start, in their order. */
  get workers() {
    return this.machineIds.map((id) => this.cloud.machines.get(id)?.worker).filter(Boolean);
  }

  node(name) {
    return this.nodes.find(({ node }) => node === name);
  }

  settingsOf({ node, zone, bind, peerListen }) {
    return {
      node,
      zone,
      bind,
      peer_listen: peerListen,
      peers: this.nodes
        .filter((other) => other.node !== node)
        .map((other) => ({
          node: other.node,
          zone: other.zone,
          address: this.links.get(`${node}>${other.node}`).address,
        })),
      external: { cloud: this.cloud.address, state: this.stateLinks.get(node).address },
      settings: this.settings,
    };
  }

  spawn(name) {
    const file = join(this.temporary, `${name}.json`);
    writeFileSync(file, JSON.stringify(this.settingsOf(this.node(name))));
    const [program, ...args] = runLine();
    const log = openSync(join(this.temporary, `${name}.log`), 'a');
    const child = spawn(program, [...args, file], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
      stdio: ['ignore', 'ignore', log],
    });
    closeSync(log);
    child.on('exit', (code, signal) => {
      if (this.processes.get(name) === child) this.processes.delete(name);
      if (!this.ending && !child.expected)
        this.record.line(name, `ended by itself: code ${code}, signal ${signal}`);
    });
    this.processes.set(name, child);
    this.record.line('test', `${name} started`);
    return child;
  }

  kill(name) {
    const child = this.processes.get(name);
    if (!child) return;
    child.expected = true;
    child.kill('SIGKILL');
    this.record.line('test', `${name} killed`);
  }

  signal(name, signal) {
    this.processes.get(name)?.kill(signal);
    this.record.line('test', `${signal} to ${name}`);
  }

  async healthy(name, withinMs = 15_000) {
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
      if (!this.processes.has(name)) throw new Error(`${name} has ended`);
      try {
        const { status } = await callJson(this.node(name).bind, 'GET', '/healthz', undefined, {
          timeoutMs: 1000,
        });
        if (status === 200) return;
      } catch {}
      await sleep(100);
    }
    throw new Error(`${name} is not healthy in time`);
  }

  /** The leader by the state service's key; null while there is none. */
  get leader() {
    return this.state.entries.get('leader')?.v.node ?? null;
  }

  async waitFor(what, condition, withinMs) {
    const until = performance.now() + withinMs;
    while (performance.now() < until) {
      const value = await condition();
      if (value) return value;
      await sleep(50);
    }
    throw new Error(`not within ${withinMs / 1000} s: ${what}`);
  }

  /** Makes the job's description known to the workers, as users do. */
  upload(job, runS, runSOf) {
    this.jobs.set(job.id, { ...job, runS, runSOf });
  }

  async user(name, method, path, body, timeoutMs = 5000) {
    const what = `${method} ${path} at ${name}`;
    const sent = path === '/v1/jobs' ? `: ${JSON.stringify(body)}` : '';
    this.record.line('user', `asks ${what}${sent}`);
    try {
      const reply = await callJson(this.node(name).bind, method, path, body, { timeoutMs });
      this.record.line('user', `gets ${reply.status} ${JSON.stringify(reply.body)} to ${what}`);
      return reply;
    } catch (error) {
      this.record.line('user', `gets nothing (${error.message}) to ${what}`);
      return { status: 0, body: {} };
    }
  }

  submit(name, job, runS, runSOf) {
    this.upload(job, runS, runSOf);
    return this.user(name, 'POST', '/v1/jobs', job);
  }

  query(name, id) {
    return this.user(name, 'GET', `/v1/jobs/${id}`, undefined, 2000);
  }

  withdraw(name, id) {
    return this.user(name, 'POST', `/v1/jobs/${id}/withdraw`, {});
  }

  /** Ends every process and server of the run. `KEEP=1` keeps the temporary folder with the logs. */
  async end() {
    this.ending = true;
    const children = [...this.processes.values()];
    for (const child of children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(
      children.map((child) => child.exitCode ?? child.signalCode ?? new Promise((r) => child.once('exit', r))),
    );
    this.cloud?.close();
    for (const link of [...(this.links?.values() ?? []), ...(this.stateLinks?.values() ?? [])])
      link.close();
    this.state?.close();
    if (process.env.KEEP) console.error(this.temporary);
    else rmSync(this.temporary, { recursive: true, force: true });
  }
}

/**
 * Runs a case and exits as the review asks: 1 if the rule was broken, 0 if it held, 2 if
 * the case couldn't run. `scenario(deployment)` resolves to what was broken, or to null.
 */
export async function runCase(options, scenario) {
  const deployment = new Deployment(options);
  let code = 2;
  const timer = setTimeout(() => {
    deployment.record.line('test', 'COULD NOT RUN: over 118 s');
    void finish(2);
  }, 118_000);
  const finish = async (exitCode) => {
    clearTimeout(timer);
    await deployment.end();
    process.exit(exitCode);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => void finish(2));
  for (const event of ['uncaughtException', 'unhandledRejection'])
    process.on(event, (error) => {
      deployment.record.line('test', `COULD NOT RUN: ${error?.stack ?? error}`);
      void finish(2);
    });
  process.on('exit', () => {
    for (const child of deployment.processes.values()) child.kill('SIGKILL');
  });
  try {
    await deployment.start();
    const broken = await scenario(deployment);
    deployment.record.line('test', broken ? `BROKEN: ${broken}` : 'HELD');
    console.log(broken ? `BROKEN: ${broken}` : 'HELD');
    code = broken ? 1 : 0;
  } catch (error) {
    deployment.record.line('test', `COULD NOT RUN: ${error.stack}`);
    console.log(`COULD NOT RUN: ${error.message}`);
  }
  await finish(code);
}
