// TCP proxies between controllers. While a link is cut, what is sent on it is held back and new
// connections get no answer; when the cut ends, its connections are reset.
import net from 'node:net';
import { HOST } from './http.mjs';

export class Link {
  constructor(toPort, isCut) {
    this.toPort = toPort;
    this.isCut = isCut;
    this.pairs = new Set();
  }

  listen(port) {
    this.server = net.createServer({ noDelay: true }, (from) => this.accept(from));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, HOST, resolve);
    });
  }

  accept(from) {
    const to = net.connect({ host: HOST, port: this.toPort, noDelay: true });
    const pair = { from, to, held: false };
    this.pairs.add(pair);
    const close = () => {
      from.destroy();
      to.destroy();
      this.pairs.delete(pair);
    };
    for (const [source, target] of [
      [from, to],
      [to, from],
    ]) {
      source.on('data', (data) => {
        if (this.isCut()) pair.held = true;
        // Held data is never delivered: the connection is reset when the cut ends.
        else if (pair.held) close();
        else target.write(data);
      });
      source.on('error', close);
      source.on('close', () => {
        if (!this.isCut()) close();
      });
    }
  }

  close() {
    this.server?.close();
    for (const { from, to } of this.pairs) {
      from.destroy();
      to.destroy();
    }
  }
}
