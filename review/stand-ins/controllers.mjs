// Starts the service's own processes with the run line of the deploy file, and ends them.
import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, closeSync, readdirSync, readFileSync, readlinkSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { HOST, requestJson } from './http.mjs';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

function runLine() {
  const deploy = readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8');
  const line = /^run\s*=\s*"(.*)"\s*$/m.exec(deploy)?.[1];
  if (!line) throw new Error('deploy/service.toml has no run line');
  return line.split(' ').filter((word) => word !== '');
}

export class Controllers {
  /** `nodes`: `{ name, zone, port, peerPort, settings }` of each controller. */
  constructor(record, nodes) {
    this.record = record;
    this.nodes = nodes;
    this.folder = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.children = new Map();
    /** Ends of processes that were not killed by the test. */
    this.crashes = [];
    // However this process ends, it leaves no controller behind.
    process.once('exit', () => this.close());
  }

  start(name) {
    const node = this.nodes.find((other) => other.name === name);
    const file = path.join(this.folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(node.settings));
    const [program, ...args] = runLine();
    const log = openSync(path.join(this.folder, `${name}.log`), 'a');
    const child = spawn(program, [...args, file], { cwd: ROOT, stdio: ['ignore', 'ignore', log] });
    closeSync(log);
    this.children.set(name, child);
    this.record.add(name, 'process started');
    child.on('exit', (code, signal) => {
      if (child.killedByTest) return;
      this.crashes.push(name);
      this.record.add(name, `process ended by itself: ${code ?? signal}`);
    });
  }

  kill(name) {
    const child = this.children.get(name);
    if (!child) return;
    child.killedByTest = true;
    child.kill('SIGKILL');
    this.children.delete(name);
    this.record.add(name, 'process killed');
  }

  /** Name of the controller that opened the connection from this local port, or null. */
  sourceOf(fromPort, toPort) {
    const hex = (port) => port.toString(16).toUpperCase().padStart(4, '0');
    const line = readFileSync('/proc/self/net/tcp', 'utf8')
      .split('\n')
      .map((text) => text.trim().split(/\s+/))
      .find((field) => field[1]?.endsWith(`:${hex(fromPort)}`) && field[2]?.endsWith(`:${hex(toPort)}`));
    if (!line) return null;
    const socket = `socket:[${line[9]}]`;
    for (const [name, { pid }] of this.children)
      try {
        for (const fd of readdirSync(`/proc/${pid}/fd`))
          try {
            if (readlinkSync(`/proc/${pid}/fd/${fd}`) === socket) return name;
          } catch {}
      } catch {}
    return null;
  }

  async healthy(name) {
    const { port } = this.nodes.find((other) => other.name === name);
    const { status } = await requestJson({ port, method: 'GET', path: '/healthz', timeoutMs: 1000 });
    return status === 200;
  }

  close() {
    for (const name of [...this.children.keys()]) this.kill(name);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** The settings of a node, in the form of DEPLOY-passcart.md. */
export function settingsOf(node, peers, external, settings) {
  return {
    node: node.name,
    zone: node.zone,
    bind: `${HOST}:${node.port}`,
    peer_listen: `${HOST}:${node.peerPort}`,
    peers: peers.map(({ name, zone, port }) => ({ node: name, zone, address: `${HOST}:${port}` })),
    external: { cloud: `${HOST}:${external.cloud}`, state: `${HOST}:${external.state}` },
    settings,
  };
}
