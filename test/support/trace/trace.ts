import { createHash } from 'node:crypto';

/** One write of a controller to a connection. */
interface TraceLine {
  arrivesAt: number;
  text: string;
}

/** Length of a digest. The rest of the hash is dropped. */
const DIGEST_HEX_DIGITS = 16;

/**
 * Everything that the controllers sent in one history. Each pair of a
 * controller and a receiver has its own channel, because the order in which a
 * controller serves independent receivers at the same time does not matter.
 */
export class Trace {
  private readonly channels = new Map<string, TraceLine[]>();

  record(from: string, to: string, arrivesAt: number, text: string): void {
    const name = `${from} -> ${to}`;
    const lines = this.channels.get(name) ?? [];
    this.channels.set(name, lines);
    lines.push({ arrivesAt, text });
  }

  /** Returns the channels sorted by name, each with its lines in order of arrival. */
  text(): string {
    const output: string[] = [];
    for (const name of [...this.channels.keys()].sort()) {
      const lines = this.channels.get(name) as TraceLine[];
      lines.sort((a, b) => a.arrivesAt - b.arrivesAt || (a.text < b.text ? -1 : 1));
      output.push(`== ${name}`, ...lines.map((l) => `${l.arrivesAt.toFixed(3)} ${l.text}`));
    }
    return `${output.join('\n')}\n`;
  }
}

/** Returns the digest by which the test identifies the text of a trace. */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, DIGEST_HEX_DIGITS);
}
