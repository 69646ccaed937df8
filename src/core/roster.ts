/** A machine as the durable roster holds it. */
export interface RosterEntry {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  address: string;
}

interface Page {
  key: string;
  /** 0: not written yet. Null: a write had no answer, so what stands there is not known. */
  version: number | null;
  members: Map<string, RosterEntry>;
  /** Holds machines that are gone. */
  stale: boolean;
  writing: boolean;
}

/** One write of a page: its new value, or its end. */
export interface PageWrite {
  key: string;
  /** What it is conditioned on; null: on nothing. */
  version: number | null;
  /** None: the page is to be removed. */
  entries: RosterEntry[];
  /** Machines that stand in the roster from this write on. */
  added: RosterEntry[];
  applied(revision: number): void;
  /** It was not applied and never will be. */
  dropped(): void;
  /** Whether it was or will be applied is not known. */
  unknown(): void;
}

/**
 * The durable list of machines that may have been given tasks, many to a key:
 * hundreds that boot at once cost few changes. A page is only ever rewritten
 * over the version that is known of it; once a write had no answer, a late
 * copy of it could undo a newer one, so the page is left alone until all of
 * its machines are gone, and those in doubt go to another page.
 */
export class Roster {
  private readonly pages = new Set<Page>();
  private readonly pageOf = new Map<string, Set<Page>>();
  private count = 0;

  constructor(
    private readonly term: number,
    private readonly perPage: number,
  ) {}

  /** A page as an earlier leader left it. */
  restore(key: string, version: number, entries: RosterEntry[]): void {
    const page: Page = { key, version, members: new Map(), stale: false, writing: false };
    for (const e of entries) this.put(page, e);
    this.pages.add(page);
  }

  gone(id: string): void {
    for (const page of this.pageOf.get(id) ?? []) {
      page.members.delete(id);
      page.stale = true;
    }
    this.pageOf.delete(id);
  }

  /** Adds the machines to pages with room; each page is written once, whatever it gains and loses. */
  add(entries: RosterEntry[]): PageWrite[] {
    const gains = new Map<Page, RosterEntry[]>();
    for (const e of entries) {
      const page = this.roomy();
      this.put(page, e);
      const gain = gains.get(page);
      if (gain) gain.push(e);
      else gains.set(page, [e]);
    }
    return [...gains].map(([page, gain]) => this.write(page, gain));
  }

  /** Up to `most` pages rid of what is gone. */
  clean(most: number): PageWrite[] {
    const out: PageWrite[] = [];
    for (const page of this.pages) {
      if (out.length + 1 > most) break;
      if (!page.stale || page.writing) continue;
      if (page.version === null && page.members.size > 0) continue;
      out.push(this.write(page, []));
    }
    return out;
  }

  private roomy(): Page {
    for (const page of this.pages)
      if (!page.writing && page.version !== null && page.members.size < this.perPage) return page;
    const page: Page = {
      key: `${this.term}-${++this.count}`,
      version: 0,
      members: new Map(),
      stale: false,
      writing: false,
    };
    this.pages.add(page);
    return page;
  }

  private put(page: Page, e: RosterEntry): void {
    page.members.set(e.id, e);
    const on = this.pageOf.get(e.id);
    if (on) on.add(page);
    else this.pageOf.set(e.id, new Set([page]));
  }

  private take(page: Page, id: string): void {
    page.members.delete(id);
    const on = this.pageOf.get(id);
    if (on?.delete(page) && on.size === 0) this.pageOf.delete(id);
  }

  private write(page: Page, added: RosterEntry[]): PageWrite {
    page.stale = false;
    page.writing = true;
    const entries = [...page.members.values()];
    return {
      key: page.key,
      version: page.version,
      entries,
      added,
      applied: (revision) => {
        page.writing = false;
        page.version = revision;
        if (entries.length === 0 && page.members.size === 0) this.pages.delete(page);
      },
      dropped: () => {
        page.writing = false;
        page.stale = true;
        for (const e of added) this.take(page, e.id);
        if (page.version === 0 && page.members.size === 0) this.pages.delete(page);
      },
      unknown: () => {
        page.writing = false;
        page.stale = true;
        page.version = null;
      },
    };
  }
}
